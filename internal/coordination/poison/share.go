package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultCrashThreshold = 2
	defaultMaxSuspects    = 1024
	defaultExpiry         = 10 * time.Minute
)

type config struct {
	crashThreshold int
	maxSuspects    int
	expiry         time.Duration
}

// Option changes a setting of a tracker.
type Option func(*config)

// WithCrashThreshold sets after how many crashes of distinct targets a request is
// quarantined.
func WithCrashThreshold(targets int) Option {
	return func(config *config) { config.crashThreshold = targets }
}

// WithMaxSuspects sets the maximum number of stored suspects.
func WithMaxSuspects(suspects int) Option {
	return func(config *config) { config.maxSuspects = suspects }
}

// WithExpiry sets how long a suspect is stored after its newest crash or
// clearing.
func WithExpiry(expiry time.Duration) Option {
	return func(config *config) { config.expiry = expiry }
}

func newConfig(opts []Option) config {
	config := config{crashThreshold: defaultCrashThreshold, maxSuspects: defaultMaxSuspects, expiry: defaultExpiry}
	for _, opt := range opts {
		opt(&config)
	}
	return config
}

// Snapshot returns the suspects, to be sent to other instances, sorted by
// fingerprint.
func (tracker *Tracker) Snapshot() []Suspect {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.expire(time.Now())
	suspects := make([]Suspect, 0, len(tracker.suspects))
	for _, suspect := range tracker.suspects {
		exported := *suspect
		exported.CrashedTargets = slices.Clone(suspect.CrashedTargets)
		suspects = append(suspects, exported)
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return suspects
}

// Merge adds the suspects that another instance exported. The result does not
// depend on the order of merges or on repeated ones. Times in the future count as
// now, so that a wrong clock can't keep a suspect forever.
func (tracker *Tracker) Merge(suspects []Suspect) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	for _, suspect := range suspects {
		if suspect.UpdatedAt.After(now) {
			suspect.UpdatedAt = now
		}
		if now.Sub(suspect.UpdatedAt) < tracker.config.expiry {
			tracker.merge(suspect)
		}
	}
	tracker.clearExplained(now)
}

func (tracker *Tracker) merge(suspect Suspect) {
	local, ok := tracker.suspects[suspect.Fingerprint]
	if !ok {
		tracker.evictIfFull()
		local = &Suspect{Fingerprint: suspect.Fingerprint}
		tracker.suspects[suspect.Fingerprint] = local
	}
	switch {
	case local.Cleared == suspect.Cleared:
		for _, target := range suspect.CrashedTargets {
			local.CrashedTargets = insertTarget(local.CrashedTargets, target, tracker.config.crashThreshold)
		}
	case suspect.UpdatedAt.After(local.UpdatedAt):
		local.Cleared, local.CrashedTargets = suspect.Cleared, nil
		for _, target := range suspect.CrashedTargets {
			local.CrashedTargets = insertTarget(local.CrashedTargets, target, tracker.config.crashThreshold)
		}
	}
	if suspect.UpdatedAt.After(local.UpdatedAt) {
		local.UpdatedAt = suspect.UpdatedAt
	}
}
