package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Option changes members that New makes.
type Option func(*Members)

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(members *Members) { members.log = logger.With().Str("part", "gossip").Logger() }
}

// WithRegisterer registers the members' metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(members *Members) { members.metrics.register(registerer) }
}

// WithRandom sets the source of jitter and of the order of peers.
func WithRandom(source rand.Source) Option {
	return func(members *Members) { members.random = rand.New(source) }
}

// WithIncarnation sets the number of this start of the instance, which must
// grow from start to start. Without it, it is the time in milliseconds.
func WithIncarnation(incarnation uint64) Option {
	return func(members *Members) { members.version.Incarnation = incarnation }
}

// noNotes stands for a feed that was not set.
type noNotes struct{}

func (noNotes) Number() uint64                { return 0 }
func (noNotes) Fresh() time.Time              { return time.Time{} }
func (noNotes) StoreDown() bool               { return false }
func (noNotes) Offer(uint64)                  {}
func (noNotes) Witness(uint64, time.Time)     {}
func (noNotes) Subscribe(func(*note.Catalog)) {}
