// Package crash finds requests that crash the targets that run them.
//
// A run that ends without a complete answer is only suspicious: connections break
// for many reasons. It counts against its request once the target is known to have
// ended without announcing that, since it refuses connections or its entry in the
// list of targets is gone or shows a later start. A request under which a number of
// distinct targets ended is quarantined: no instance runs it for some time. A run
// that completes clears its request.
//
// Instances exchange their suspects, so that all of them, also one that has just
// started, refuse the request.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	defaultThreshold  = 3
	defaultQuarantine = 10 * time.Minute
	maxSuspects       = 1024
	// maxUnanswered bounds the runs that are remembered until their targets are
	// known to have ended.
	maxUnanswered = 4096
	// rowEvidenceWindow is how long after a run ended the list of targets may show
	// that its target had crashed. Entries of crashed targets expire after three
	// missed heartbeats.
	rowEvidenceWindow = 6 * time.Second
	// minWaves is under how many crashes, each known when the next run began, a request
	// that was answered before is quarantined if the threshold counts all crashes.
	minWaves = 2
	// refusalWindow is how long before a refused connection a run must have ended
	// for both to have the same cause.
	refusalWindow = 2 * time.Second
)

// Fingerprint identifies equal requests of a team.
type Fingerprint = poison.Fingerprint

// NewFingerprint returns the fingerprint of a team's request. Requests differ if
// their methods, paths or bodies do; queries and headers are left out.
func NewFingerprint(team string, request *site.Request) Fingerprint {
	digest := xxhash.New()
	for _, text := range []string{request.Method, request.Path} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return poison.NewFingerprint(team, digest.Sum64())
}

// Result is how a run at a target ended.
type Result int

// Results of runs.
const (
	Inconclusive Result = iota // not run, or answered with an error or with wrong bytes
	Completed                  // answered completely
	Abandoned                  // ended by this instance
	Lost                       // the connection ended before the answer was complete
)

// Option configures a Tracker.
type Option func(*Tracker)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(tracker *Tracker) { tracker.logger = logger.With().Str("part", "crash").Logger() }
}

// WithThreshold sets under how many targets that ended a request is quarantined, 3
// by default.
func WithThreshold(targets int) Option {
	return func(tracker *Tracker) { tracker.threshold = targets }
}

// WithQuarantine sets how long after its last crash a request is refused, 10 minutes
// by default. Then it may run again; one crash more suffices to refuse it again.
func WithQuarantine(length time.Duration) Option {
	return func(tracker *Tracker) { tracker.quarantine = length }
}

// Tracker attributes crashes of targets to requests. It is safe for concurrent use.
// Looking up a request takes no lock.
type Tracker struct {
	logger     zerolog.Logger
	threshold  int
	quarantine time.Duration

	suspects  atomic.Pointer[map[Fingerprint]knownSuspect] // replaced as a whole
	completed completedSet
	news      atomic.Int32 // reports that are to go to all instances at once

	mutex      sync.Mutex // held while the fields below and suspects change
	listed     map[targetRun]listedTarget
	unanswered []endedRun              // oldest first
	crashed    map[targetRun]time.Time // when connections were refused, or another target had the address
	checkedAt  map[targetRun]time.Time // of connections to targets that lost runs
}

// targetRun identifies the time from a start of a target until its end.
type targetRun struct {
	id      string
	started int64 // Unix milliseconds, 0 if unknown
}

func newTargetRun(target site.Target) targetRun {
	if target.Started.IsZero() {
		return targetRun{id: target.ID}
	}
	return targetRun{target.ID, target.Started.UnixMilli()}
}

// hash returns a number that is the same at all instances.
func (targetRun targetRun) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(targetRun.id)
	var bytes [9]byte
	for i := range 8 {
		bytes[i+1] = byte(targetRun.started >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return digest.Sum64()
}

// listedTarget is the entry of a target in the list.
type listedTarget struct{ leaving bool }

// endedRun is a run that ended without a complete answer.
type endedRun struct {
	fingerprint Fingerprint
	target      targetRun
	known       int // crashes that were known against the request when the run began
	endedAt     time.Time
}

// knownSuspect holds the crashes that count against a request.
type knownSuspect struct {
	Suspect

	changedAt time.Time // of the last crash or clearing
}

// New returns a tracker without suspects.
func New(opts ...Option) *Tracker {
	tracker := &Tracker{
		logger: zerolog.Nop(), threshold: defaultThreshold, quarantine: defaultQuarantine,
		listed: map[targetRun]listedTarget{}, crashed: map[targetRun]time.Time{}, checkedAt: map[targetRun]time.Time{},
	}
	tracker.suspects.Store(&map[Fingerprint]knownSuspect{})
	for _, opt := range opts {
		opt(tracker)
	}
	return tracker
}

// Quarantined returns how long a request must not run, and whether there is such a
// time.
func (tracker *Tracker) Quarantined(fingerprint Fingerprint) (time.Duration, bool) {
	suspect, ok := (*tracker.suspects.Load())[fingerprint]
	if !ok || !tracker.isConvicted(suspect.Suspect) {
		return 0, false
	}
	remaining := tracker.quarantine - time.Since(suspect.changedAt)
	return remaining, remaining > 0
}

// isConvicted reports whether enough targets ended under a request. Crashes at the same
// time are one wave.
func (tracker *Tracker) isConvicted(suspect Suspect) bool {
	waves := len(suspect.Crashed)
	return waves >= tracker.threshold || (waves >= minWaves && waves+len(suspect.Concurrent) >= tracker.threshold)
}

// Run is one run of a request at a target.
type Run struct {
	tracker     *Tracker
	fingerprint Fingerprint
	target      site.Target
	known       int
}

// Begin returns the record of a run that is sent to a target now.
func (tracker *Tracker) Begin(fingerprint Fingerprint, target site.Target) *Run {
	return &Run{tracker: tracker, fingerprint: fingerprint, target: target, known: tracker.crashCount(fingerprint)}
}

func (tracker *Tracker) crashCount(fingerprint Fingerprint) int {
	return len((*tracker.suspects.Load())[fingerprint].Crashed)
}

// End records how the run ended. It returns true if the caller should check whether
// the target still takes connections, and tell the tracker with RecordRefused if it
// refuses one.
func (run *Run) End(result Result) (check bool) {
	tracker := run.tracker
	switch result {
	case Inconclusive:
		return false
	case Completed:
		tracker.completed.add(run.fingerprint)
		if tracker.crashCount(run.fingerprint) > 0 {
			tracker.clear(run.fingerprint)
		}
		return false
	case Abandoned, Lost:
	}
	return tracker.endUnanswered(endedRun{run.fingerprint, newTargetRun(run.target), run.known, time.Now()}, result)
}

// endUnanswered handles a run that ended without a complete answer. The result is
// that of Run.End.
func (tracker *Tracker) endUnanswered(ended endedRun, result Result) (check bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	crashedAt, crashed := tracker.crashed[ended.target]
	switch {
	case result == Lost && crashed && ended.endedAt.Sub(crashedAt) < refusalWindow:
		tracker.blame([]endedRun{ended}, ended.endedAt)
		return false
	case !tracker.isListed(ended.target): // targets that leave end as planned
		return false
	}
	tracker.remember(ended)
	if result == Abandoned || (ended.known == 0 && ended.endedAt.Sub(tracker.checkedAt[ended.target]) < checkInterval) {
		return false
	}
	tracker.checkedAt[ended.target] = ended.endedAt
	return true
}

// checkInterval is the least time between two connections that are made to check a
// target, unless the run is one of a suspect.
const checkInterval = 200 * time.Millisecond

// Target returns the target of the run.
func (run *Run) Target() site.Target { return run.target }

// urgentReports is how many reports with a new crash go to all instances at once: a
// round of heartbeats takes two, and one round may get lost.
const urgentReports = 4

// IsSuspect reports whether a crash counts against the request of the run.
func (run *Run) IsSuspect() bool { return run.tracker.crashCount(run.fingerprint) > 0 }

// remember keeps a run that ended without an answer, and drops old ones.
func (tracker *Tracker) remember(ended endedRun) {
	expired, _ := slices.BinarySearchFunc(tracker.unanswered, ended.endedAt.Add(-rowEvidenceWindow), func(run endedRun, limit time.Time) int {
		return run.endedAt.Compare(limit)
	})
	expired = max(expired, len(tracker.unanswered)+1-maxUnanswered)
	tracker.unanswered = append(slices.Delete(tracker.unanswered, 0, expired), ended)
}

// RecordRefused records that a target refuses connections. Runs at it that were lost
// a moment ago count against their requests, unless the target leaves or was not
// listed.
func (tracker *Tracker) RecordRefused(target site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	run := newTargetRun(target)
	if tracker.isListed(run) {
		tracker.markCrashed(run)
		tracker.recordCrash(run, "refuses connections", refusalWindow)
	}
}

// RecordReplaced records that another target has the address of a target.
func (tracker *Tracker) RecordReplaced(target site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	run := newTargetRun(target)
	if tracker.isListed(run) {
		tracker.markCrashed(run)
		tracker.recordCrash(run, "replaced at its address", rowEvidenceWindow)
	}
}

// SetTargets replaces the list of targets. A target that is not listed any more, or
// with a later start, has crashed unless it was listed as leaving.
func (tracker *Tracker) SetTargets(targets []site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	listed := make(map[targetRun]listedTarget, len(targets))
	for _, target := range targets {
		run := newTargetRun(target)
		listed[run] = listedTarget{leaving: target.Draining || tracker.listed[run].leaving}
	}
	for run, before := range tracker.listed {
		if _, ok := listed[run]; !ok && !before.leaving {
			tracker.recordCrash(run, "not listed any more", rowEvidenceWindow)
		}
	}
	tracker.listed = listed
	tracker.expire(time.Now())
}

// MarkLeaving records that a target, which started at a Unix time in milliseconds, 0
// if unknown, has announced its end.
func (tracker *Tracker) MarkLeaving(id string, startedMS int64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if run := (targetRun{id, startedMS}); tracker.isListed(run) {
		tracker.listed[run] = listedTarget{leaving: true}
	}
}

// isListed reports whether a target is listed and does not leave.
func (tracker *Tracker) isListed(run targetRun) bool {
	listed, ok := tracker.listed[run]
	return ok && !listed.leaving
}

// markCrashed keeps the time at which a target was seen to have ended, for runs that
// are found lost after that.
func (tracker *Tracker) markCrashed(run targetRun) {
	if _, ok := tracker.crashed[run]; !ok {
		tracker.crashed[run] = time.Now()
	}
}

// recordCrash counts the crash of a target against the requests whose runs at it
// ended within the window before now.
func (tracker *Tracker) recordCrash(target targetRun, evidence string, window time.Duration) {
	now := time.Now()
	var ended []endedRun
	tracker.unanswered = slices.DeleteFunc(tracker.unanswered, func(run endedRun) bool {
		if run.target != target || now.Sub(run.endedAt) >= window {
			return false
		}
		ended = append(ended, run)
		return true
	})
	if len(ended) == 0 {
		return
	}
	tracker.logger.Warn().Str("target", target.id).Str("evidence", evidence).Int("requests", len(ended)).
		Int64("age-ms", now.Sub(ended[0].endedAt).Milliseconds()).Msg("target ended while it ran requests")
	tracker.blame(ended, now)
}

// blame counts the crash of a target against requests.
func (tracker *Tracker) blame(ended []endedRun, now time.Time) {
	tracker.update(func(suspects map[Fingerprint]knownSuspect) {
		for _, run := range ended {
			tracker.blameOne(suspects, run, now)
		}
	})
}

// blameOne counts a crash against the request of a run. Equal requests that targets
// have answered before run at many targets at once and are hit by crashes of several
// targets: of those, a crash whose run began before all others were known belongs to
// the same wave as these.
func (tracker *Tracker) blameOne(suspects map[Fingerprint]knownSuspect, run endedRun, now time.Time) {
	before := suspects[run.fingerprint]
	suspect := before
	suspect.Fingerprint = run.fingerprint
	if tracker.completed.has(run.fingerprint) {
		suspect.setAnswered(tracker.threshold)
	}
	changed := suspect.addCrash(run.target.hash(), suspect.Answered && run.known != len(suspect.Crashed), tracker.threshold)
	if !changed && !tracker.isConvicted(before.Suspect) {
		return // another run of the request ended in the same crash
	}
	suspect.changedAt = now
	suspects[run.fingerprint] = suspect
	if suspect.crashCount() > 1 {
		tracker.news.Store(urgentReports)
	}
	tracker.logQuarantine(before, suspect, "own run")
}

func (tracker *Tracker) logQuarantine(before, suspect knownSuspect, source string) {
	if !tracker.isConvicted(before.Suspect) && tracker.isConvicted(suspect.Suspect) {
		tracker.logger.Error().Uint64("fingerprint", uint64(suspect.Fingerprint)).Int("targets", suspect.crashCount()).Str("from", source).
			Dur("quarantine-ms", tracker.quarantine).Msg("request quarantined: targets ended under it")
	}
}

// clear removes the crashes that count against a request.
func (tracker *Tracker) clear(fingerprint Fingerprint) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.update(func(suspects map[Fingerprint]knownSuspect) {
		suspect, ok := suspects[fingerprint]
		if !ok || len(suspect.Crashed) == 0 {
			return
		}
		suspect.Clearings++
		suspect.Crashed, suspect.Concurrent, suspect.Answered, suspect.changedAt = nil, nil, true, time.Now()
		suspects[fingerprint] = suspect
	})
}

// update replaces the suspects by a changed copy. The caller holds the mutex.
func (tracker *Tracker) update(change func(suspects map[Fingerprint]knownSuspect)) {
	suspects := maps.Clone(*tracker.suspects.Load())
	change(suspects)
	evict(suspects, len(suspects)-maxSuspects)
	tracker.suspects.Store(&suspects)
}

// evict removes a number of suspects: those with the fewest crashes, of these the
// oldest.
func evict(suspects map[Fingerprint]knownSuspect, count int) {
	if count <= 0 {
		return
	}
	victims := slices.SortedFunc(maps.Values(suspects), func(a, b knownSuspect) int {
		return cmp.Or(cmp.Compare(len(a.Crashed), len(b.Crashed)), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, victim := range victims[:count] {
		delete(suspects, victim.Fingerprint)
	}
}

// expire removes what is too old to matter. A request stays known for as long after
// its quarantine as that took.
func (tracker *Tracker) expire(now time.Time) {
	for run, at := range tracker.crashed {
		if now.Sub(at) > rowEvidenceWindow {
			delete(tracker.crashed, run)
		}
	}
	for run, at := range tracker.checkedAt {
		if now.Sub(at) > checkInterval {
			delete(tracker.checkedAt, run)
		}
	}
	for _, suspect := range *tracker.suspects.Load() {
		if now.Sub(suspect.changedAt) > 2*tracker.quarantine {
			tracker.update(func(suspects map[Fingerprint]knownSuspect) { tracker.deleteExpired(suspects, now) })
			return
		}
	}
}

func (tracker *Tracker) deleteExpired(suspects map[Fingerprint]knownSuspect, now time.Time) {
	maps.DeleteFunc(suspects, func(_ Fingerprint, known knownSuspect) bool { return now.Sub(known.changedAt) > 2*tracker.quarantine })
}

// insertSorted returns a sorted list with a value added, unless the list has it or
// has reached the limit. The given list is not changed.
func insertSorted(list []uint64, value uint64, limit int) []uint64 {
	index, found := slices.BinarySearch(list, value)
	if found || len(list) >= limit {
		return list
	}
	return slices.Insert(slices.Clone(list), index, value)
}
