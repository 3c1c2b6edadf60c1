// Package poison offers the detection of requests that crash the targets that
// run them.
//
// A request is known by a fingerprint. A target's crash makes suspects of all
// requests that it ran. A suspect may run again, but with no other suspect
// beside it. One that has lost two distinct targets is quarantined, and those
// whose crashes it explains are cleared. A completed run clears a suspect, and
// so does the loss of several targets at once.
package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies equal requests of a team.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a team's request by the hash of
// its body.
func FingerprintOf(team string, body uint64) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(team)
	var bytes [9]byte
	for i := range 8 {
		bytes[i+1] = byte(body >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return Fingerprint(digest.Sum64())
}

// Verdict tells how a request may run.
type Verdict int

// Verdicts on requests.
const (
	Clear       Verdict = iota
	Alone               // only at a target that runs no other suspect
	Quarantined         // not for now
)

// Suspect is what is known of a fingerprint, as shared among instances.
type Suspect struct {
	Fingerprint Fingerprint
	Lost        []string  // distinct targets that crashed under it, sorted
	Last        time.Time // newest crash, or newest clearing
	Cleared     bool      // a completed run, or another request's guilt, cleared it
}

// Tracker keeps suspects. Its methods may be called by several goroutines.
type Tracker struct {
	config   config
	mutex    sync.Mutex
	suspects map[Fingerprint]*Suspect
	running  map[string]map[Fingerprint]int // by target
	crashes  []crash                        // newest last
	freed    chan struct{}
}

// crash is one target's loss and the requests that it ran.
type crash struct {
	target string
	at     time.Time // when it was first told of
	ran    []Fingerprint
}

// New returns a tracker without suspects.
func New(opts ...Option) *Tracker {
	return &Tracker{
		config:   newConfig(opts),
		suspects: map[Fingerprint]*Suspect{},
		running:  map[string]map[Fingerprint]int{},
		freed:    make(chan struct{}),
	}
}

// Check returns how a request may run now.
func (tracker *Tracker) Check(fingerprint Fingerprint) Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.check(fingerprint, time.Now())
}

// Begin records that a request goes to a target. It returns false, and records
// nothing, when the request is quarantined or has to run alone and the target
// runs another suspect.
func (tracker *Tracker) Begin(fingerprint Fingerprint, target string) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	verdict := tracker.check(fingerprint, now)
	if verdict == Quarantined || (verdict == Alone && tracker.hasSuspect(target, fingerprint, now)) {
		return false
	}
	if tracker.running[target] == nil {
		tracker.running[target] = map[Fingerprint]int{}
	}
	tracker.running[target][fingerprint]++
	return true
}

// End records that a request no longer runs at a target. A completed run
// clears the request.
func (tracker *Tracker) End(fingerprint Fingerprint, target string, completed bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.leave(fingerprint, target)
	if suspect, ok := tracker.suspects[fingerprint]; ok && completed {
		tracker.acquit(suspect, time.Now())
	}
}

// Crashed records that a target crashed, and returns the requests that it ran
// by this instance. It may be called for each request that failed by the same
// crash. It is not for targets that were stopped or reclaimed. The requests'
// End still has to be called.
func (tracker *Tracker) Crashed(target string) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	ran := slices.Sorted(maps.Keys(tracker.running[target]))
	tracker.record(target, ran, now)
	tracker.expire(now)
	for _, fingerprint := range ran {
		tracker.blame(fingerprint, now)
	}
	tracker.pardonMassLoss(now)
	tracker.clearNeighbours(now)
	return ran
}

// Freed returns a channel that is closed when a request leaves a target the
// next time, so that one which has to run alone may find room.
func (tracker *Tracker) Freed() <-chan struct{} {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.freed
}

// Size returns how many suspects are remembered.
func (tracker *Tracker) Size() int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.suspects)
}

func (tracker *Tracker) check(fingerprint Fingerprint, now time.Time) Verdict {
	suspect, ok := tracker.suspects[fingerprint]
	switch {
	case !ok, suspect.Cleared, now.Sub(suspect.Last) >= tracker.config.expiry:
		return Clear
	case len(suspect.Lost) >= tracker.config.losses:
		return Quarantined
	default:
		return Alone
	}
}

func (tracker *Tracker) hasSuspect(target string, except Fingerprint, now time.Time) bool {
	for other := range tracker.running[target] {
		if other != except && tracker.check(other, now) != Clear {
			return true
		}
	}
	return false
}

func (tracker *Tracker) leave(fingerprint Fingerprint, target string) {
	close(tracker.freed)
	tracker.freed = make(chan struct{})
	running := tracker.running[target]
	running[fingerprint]--
	if running[fingerprint] <= 0 {
		delete(running, fingerprint)
	}
	if len(running) == 0 {
		delete(tracker.running, target)
	}
}
