// Package crash finds requests, and parts of prompts, that crash the targets that run
// them.
//
// A run has features: its request, and the parts of its prompt. If it ends without a
// complete answer, that is only suspicious: connections break for many reasons. It
// counts against its features once the target is known to have ended without announcing
// that, since it refuses connections or its entry in the list of targets is gone or
// shows a later start. A run that completes clears its features. Of those under which a
// number of distinct targets ended, as few as explain the crashes are quarantined: no
// instance runs requests with such a feature for some time. Then one is tried.
//
// Instances exchange their suspects, so that all of them, also one that has just
// started, refuse the same requests.
package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	defaultThreshold  = 3
	defaultQuarantine = 10 * time.Minute
)

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
// by default. Then it gets a trial; one crash more suffices to refuse it again.
func WithQuarantine(length time.Duration) Option {
	return func(tracker *Tracker) { tracker.quarantine = length }
}

// WithInstances sets the name of this instance and the function that returns the names of
// the live ones, one of which makes a trial after a quarantine. By default there is no
// other instance.
func WithInstances(self string, instances func() []string) Option {
	return func(tracker *Tracker) { tracker.self, tracker.instances = self, instances }
}

// Tracker attributes crashes of targets to features of requests. It is safe for concurrent use.
// Looking up a request takes no lock.
type Tracker struct {
	logger     zerolog.Logger
	threshold  int
	quarantine time.Duration
	self       string
	instances  func() []string

	beliefs           atomic.Pointer[beliefs] // replaced as a whole
	completedRequests completedSet
	completedParts    completedSet
	trials            sync.Map     // fingerprints of features of which a request is on trial
	news              atomic.Int32 // reports that are to go to all instances at once

	mutex      sync.Mutex // held while the fields below and suspects change
	listed     map[targetRun]listedTarget
	unanswered []endedRun              // oldest first
	crashed    map[targetRun]time.Time // when connections were refused, or another target had the address
	checkedAt  map[targetRun]time.Time // of connections to targets that lost runs
}

// endedRun is a run that ended without a complete answer.
type endedRun struct {
	features []runFeature
	target   targetRun
	endedAt  time.Time
}

// isSuspect reports whether crashes were known against a feature when the run began.
func (ended *endedRun) isSuspect() bool {
	return slices.ContainsFunc(ended.features, func(feature runFeature) bool { return feature.known > 0 })
}

// knownSuspect holds the crashes that count against a feature.
type knownSuspect struct {
	Suspect

	changedAt time.Time // of the last crash or clearing
}

// completed returns the features of a kind whose runs completed at this instance.
func (tracker *Tracker) completed(part int) *completedSet {
	if part > 0 {
		return &tracker.completedParts
	}
	return &tracker.completedRequests
}

// New returns a tracker without suspects.
func New(opts ...Option) *Tracker {
	tracker := &Tracker{
		logger: zerolog.Nop(), threshold: defaultThreshold, quarantine: defaultQuarantine,
		instances: func() []string { return nil },
		listed:    map[targetRun]listedTarget{}, crashed: map[targetRun]time.Time{}, checkedAt: map[targetRun]time.Time{},
	}
	tracker.beliefs.Store(&beliefs{suspects: map[Fingerprint]knownSuspect{}})
	for _, opt := range opts {
		opt(tracker)
	}
	return tracker
}

// Run is one run of a request at a target.
type Run struct {
	tracker  *Tracker
	features []runFeature
	target   site.Target
}

// runFeature is a feature of a run, with the number of waves of crashes that were known
// against it when the run began.
type runFeature struct {
	Feature

	known int
}

// Begin returns the record of a run with some features that is sent to a target now.
func (tracker *Tracker) Begin(features []Feature, target site.Target) *Run {
	run := &Run{tracker: tracker, target: target, features: make([]runFeature, 0, len(features))}
	for _, feature := range features {
		run.features = append(run.features, runFeature{feature, tracker.waves(feature)})
	}
	return run
}

// waves returns the number of waves of crashes that are known against a feature.
func (tracker *Tracker) waves(feature Feature) int {
	return len(tracker.beliefs.Load().suspects[feature.Fingerprint].Crashed)
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
		for _, feature := range run.features {
			tracker.completed(feature.Part).add(feature.Fingerprint)
			if tracker.waves(feature.Feature) > 0 {
				tracker.clear(feature.Fingerprint)
			}
		}
		return false
	case Abandoned, Lost:
	}
	return tracker.endUnanswered(endedRun{run.features, newTargetRun(run.target), time.Now()}, result)
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
	if result == Abandoned || (!ended.isSuspect() && ended.endedAt.Sub(tracker.checkedAt[ended.target]) < checkInterval) {
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

// IsSuspect reports whether a crash counts against a feature of the run.
func (run *Run) IsSuspect() bool {
	return slices.ContainsFunc(run.features, func(feature runFeature) bool { return run.tracker.waves(feature.Feature) > 0 })
}
