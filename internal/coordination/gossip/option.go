package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Option configures Members.
type Option func(*Members)

// WithLogger sets the logger. Log entries have the part "gossip".
func WithLogger(logger zerolog.Logger) Option {
	return func(members *Members) { members.logger = logger.With().Str("part", "gossip").Logger() }
}

// WithRegisterer registers the metrics of Members.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(members *Members) { members.metrics.register(registerer) }
}

// WithRandSource sets the random source of jitter and of the order of peers.
func WithRandSource(randSource rand.Source) Option {
	return func(members *Members) { members.random = rand.New(randSource) }
}

// WithIncarnation sets the incarnation of the instance, which must increase with
// each start. The default is the Unix time in milliseconds.
func WithIncarnation(incarnation uint64) Option {
	return func(members *Members) { members.ownVersion.Incarnation = incarnation }
}

// emptyNoteFeed is used until Members.SetNoteFeed is called.
type emptyNoteFeed struct{}

func (emptyNoteFeed) Number() uint64                 { return 0 }
func (emptyNoteFeed) ProvenAt() time.Time            { return time.Time{} }
func (emptyNoteFeed) StoreDown() bool                { return false }
func (emptyNoteFeed) ObserveNumber(uint64)           {}
func (emptyNoteFeed) ObserveProof(uint64, time.Time) {}
func (emptyNoteFeed) Subscribe(func(*note.Catalog))  {}
