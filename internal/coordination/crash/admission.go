package crash

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// trialInterval is for how long one instance may let a request run whose quarantine has
// ended, before another one may.
const trialInterval = 10 * time.Second

// Quarantine states for how long requests with a feature must not run.
type Quarantine struct {
	Feature   Feature
	Remaining time.Duration
}

// Admission lets one request run. A feature whose quarantine has ended gets a trial: of
// all instances one lets one request run at a time, until that completes or crashes its
// target.
type Admission struct {
	tracker  *Tracker
	features []Feature
	trials   []Fingerprint // that the request makes
}

// Admit returns the admission of a request with some features, which has to be released.
func (tracker *Tracker) Admit(features []Feature) *Admission {
	admission := &Admission{tracker: tracker, features: features}
	beliefs := tracker.beliefs.Load()
	for _, feature := range features {
		if _, convicted := beliefs.convicted[feature.Fingerprint]; !convicted {
			continue
		}
		overdue := time.Since(beliefs.suspects[feature.Fingerprint].changedAt) - tracker.quarantine
		if overdue >= 0 && tracker.beginTrial(feature.Fingerprint, overdue) {
			admission.trials = append(admission.trials, feature.Fingerprint)
		}
	}
	if _, quarantined := admission.Quarantined(); quarantined {
		admission.Release()
	}
	return admission
}

// beginTrial reports whether a request may run whose quarantine ended some time ago.
func (tracker *Tracker) beginTrial(fingerprint Fingerprint, overdue time.Duration) bool {
	if !tracker.isTrialOwner(fingerprint, uint64(overdue/trialInterval)) {
		return false
	}
	_, running := tracker.trials.LoadOrStore(fingerprint, struct{}{})
	return !running
}

// isTrialOwner reports whether this instance makes the trials of a feature in an
// interval, by rendezvous hashing over the instances.
func (tracker *Tracker) isTrialOwner(fingerprint Fingerprint, interval uint64) bool {
	rank := func(instance string) uint64 {
		digest := xxhash.NewWithSeed(uint64(fingerprint) ^ interval)
		_, _ = digest.WriteString(instance)
		return digest.Sum64()
	}
	own := rank(tracker.self)
	for _, instance := range tracker.instances() {
		if instance != tracker.self && rank(instance) >= own {
			return false
		}
	}
	return true
}

// Quarantined returns the longest quarantine that keeps the request from running, and
// whether there is one. The answer may change while the request is served.
func (admission *Admission) Quarantined() (longest Quarantine, quarantined bool) {
	tracker := admission.tracker
	beliefs := tracker.beliefs.Load()
	for _, feature := range admission.features {
		if _, convicted := beliefs.convicted[feature.Fingerprint]; !convicted {
			continue
		}
		remaining := tracker.quarantine - time.Since(beliefs.suspects[feature.Fingerprint].changedAt)
		if remaining <= 0 && !admission.makesTrial(feature.Fingerprint) {
			remaining = trialInterval
		}
		if remaining > longest.Remaining {
			longest = Quarantine{feature, remaining}
		}
	}
	return longest, longest.Remaining > 0
}

func (admission *Admission) makesTrial(fingerprint Fingerprint) bool {
	for _, trial := range admission.trials {
		if trial == fingerprint {
			return true
		}
	}
	return false
}

// Release ends the admission. Its request must not run any more.
func (admission *Admission) Release() {
	for _, trial := range admission.trials {
		admission.tracker.trials.Delete(trial)
	}
	admission.trials = nil
}
