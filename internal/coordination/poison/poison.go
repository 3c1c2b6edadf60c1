// Package poison detects requests that crash the targets that run them.
//
// Requests are identified by a fingerprint. When a target crashes, all requests
// that were running on it become suspects. A suspect may run again, but not on a
// target that runs another suspect. One that was running in the crashes of two
// distinct targets is quarantined, and the suspects whose crashes it explains
// are cleared. A completed run clears a suspect, and so does the crash of several
// targets at almost the same time.
package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is equal for equal requests of a team.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a team's request with the given hash
// of its body.
func NewFingerprint(team string, body uint64) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(team)
	var bytes [9]byte
	for i := range 8 {
		bytes[i+1] = byte(body >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return Fingerprint(digest.Sum64())
}

// Status states whether and where a request may run.
type Status int

// Statuses of requests.
const (
	Clear       Status = iota // at any target
	Suspected                 // only at a target that runs no other suspect
	Quarantined               // at no target until the suspect expires or is cleared
)

// Suspect holds the crashes counted against a fingerprint. Instances exchange
// their suspects.
type Suspect struct {
	Fingerprint    Fingerprint
	CrashedTargets []string  // distinct targets that crashed while running it, sorted, at most the crash threshold
	UpdatedAt      time.Time // time of the newest crash or clearing
	Cleared        bool      // by a completed run, a mass crash, or because another request explains the crashes
}

// Tracker tracks running requests, crashes and suspects. It is safe for
// concurrent use.
type Tracker struct {
	config   config
	mutex    sync.Mutex
	suspects map[Fingerprint]*Suspect
	running  map[string]map[Fingerprint]int // run counts by target
	crashes  []crash                        // newest last
	ended    chan struct{}                  // closed and replaced when a request ends
}

// crash is the crash of a target and the requests that were running on it.
type crash struct {
	target     string
	reportedAt time.Time // first report
	requests   []Fingerprint
}

// New returns a tracker without suspects.
func New(opts ...Option) *Tracker {
	return &Tracker{
		config:   newConfig(opts),
		suspects: map[Fingerprint]*Suspect{},
		running:  map[string]map[Fingerprint]int{},
		ended:    make(chan struct{}),
	}
}

// Status returns the current status of a request.
func (tracker *Tracker) Status(fingerprint Fingerprint) Status {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.statusAt(fingerprint, time.Now())
}

// TryBegin records that a request starts at a target and returns true. It returns
// false and records nothing if the request is quarantined, or if it is a suspect
// and the target runs another suspect.
func (tracker *Tracker) TryBegin(fingerprint Fingerprint, target string) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	status := tracker.statusAt(fingerprint, now)
	if status == Quarantined || (status == Suspected && tracker.runsOtherSuspect(target, fingerprint, now)) {
		return false
	}
	if tracker.running[target] == nil {
		tracker.running[target] = map[Fingerprint]int{}
	}
	tracker.running[target][fingerprint]++
	return true
}

// End records that a request no longer runs at a target. A completed run clears
// the request.
func (tracker *Tracker) End(fingerprint Fingerprint, target string, completed bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.removeRunning(fingerprint, target)
	if suspect, ok := tracker.suspects[fingerprint]; ok && completed {
		tracker.clearCompleted(suspect, time.Now())
	}
}

// RecordCrash records that a target crashed, and returns the requests that this
// instance was running on it. It may be called once for each request that failed
// in the same crash. It must not be called for targets that were stopped or
// reclaimed. End still has to be called for the requests.
func (tracker *Tracker) RecordCrash(target string) []Fingerprint {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	requests := slices.Sorted(maps.Keys(tracker.running[target]))
	tracker.addCrash(target, requests, now)
	tracker.expire(now)
	for _, fingerprint := range requests {
		tracker.countCrashes(fingerprint, now)
	}
	tracker.clearMassCrash(now)
	tracker.clearExplained(now)
	return requests
}

// NextEnd returns a channel that is closed when the next request ends at any
// target. A suspect that found no target without another suspect can then try
// again.
func (tracker *Tracker) NextEnd() <-chan struct{} {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.ended
}

// SuspectCount returns the number of stored suspects, including cleared ones.
func (tracker *Tracker) SuspectCount() int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.suspects)
}

func (tracker *Tracker) statusAt(fingerprint Fingerprint, now time.Time) Status {
	suspect, ok := tracker.suspects[fingerprint]
	switch {
	case !ok, suspect.Cleared, now.Sub(suspect.UpdatedAt) >= tracker.config.expiry:
		return Clear
	case len(suspect.CrashedTargets) >= tracker.config.crashThreshold:
		return Quarantined
	default:
		return Suspected
	}
}

func (tracker *Tracker) runsOtherSuspect(target string, except Fingerprint, now time.Time) bool {
	for other := range tracker.running[target] {
		if other != except && tracker.statusAt(other, now) != Clear {
			return true
		}
	}
	return false
}

func (tracker *Tracker) removeRunning(fingerprint Fingerprint, target string) {
	close(tracker.ended)
	tracker.ended = make(chan struct{})
	running := tracker.running[target]
	running[fingerprint]--
	if running[fingerprint] <= 0 {
		delete(running, fingerprint)
	}
	if len(running) == 0 {
		delete(tracker.running, target)
	}
}
