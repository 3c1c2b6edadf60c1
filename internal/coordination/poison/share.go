package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	lossesDefault = 2
	limitDefault  = 1024 // suspects
	expiryDefault = 10 * time.Minute
)

type config struct {
	losses int
	limit  int
	expiry time.Duration
}

// Option changes a setting of a tracker.
type Option func(*config)

// WithLosses sets how many distinct targets a request may crash before it is
// quarantined.
func WithLosses(targets int) Option {
	return func(config *config) { config.losses = targets }
}

// WithLimit bounds the suspects remembered.
func WithLimit(suspects int) Option {
	return func(config *config) { config.limit = suspects }
}

// WithExpiry sets how long after its newest crash a suspect is remembered.
func WithExpiry(expiry time.Duration) Option {
	return func(config *config) { config.expiry = expiry }
}

func newConfig(opts []Option) config {
	config := config{losses: lossesDefault, limit: limitDefault, expiry: expiryDefault}
	for _, opt := range opts {
		opt(&config)
	}
	return config
}

// Export returns the suspects for other instances, in the order of their
// fingerprints.
func (tracker *Tracker) Export() []Suspect {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.expire(time.Now())
	suspects := make([]Suspect, 0, len(tracker.suspects))
	for _, suspect := range tracker.suspects {
		shared := *suspect
		shared.Lost = slices.Clone(suspect.Lost)
		suspects = append(suspects, shared)
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return suspects
}

// Merge takes what another instance exported. The result is the same in
// whatever order and however often exports are merged. Times in the future
// count as now, so that a wrong clock can't keep a suspect for good.
func (tracker *Tracker) Merge(suspects []Suspect) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	for _, suspect := range suspects {
		if suspect.Last.After(now) {
			suspect.Last = now
		}
		if now.Sub(suspect.Last) < tracker.config.expiry {
			tracker.merge(suspect)
		}
	}
	tracker.clearNeighbours(now)
}

func (tracker *Tracker) merge(suspect Suspect) {
	own, ok := tracker.suspects[suspect.Fingerprint]
	if !ok {
		tracker.makeRoom()
		own = &Suspect{Fingerprint: suspect.Fingerprint}
		tracker.suspects[suspect.Fingerprint] = own
	}
	switch {
	case own.Cleared == suspect.Cleared:
		for _, target := range suspect.Lost {
			own.Lost = insert(own.Lost, target, tracker.config.losses)
		}
	case suspect.Last.After(own.Last):
		own.Cleared, own.Lost = suspect.Cleared, nil
		for _, target := range suspect.Lost {
			own.Lost = insert(own.Lost, target, tracker.config.losses)
		}
	}
	if suspect.Last.After(own.Last) {
		own.Last = suspect.Last
	}
}
