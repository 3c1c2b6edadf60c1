package feed

import (
	"context"
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Option changes a feed that New makes.
type Option func(*Feed)

// WithPeers lets the feed ask other instances. Without it the feed takes
// itself for the only instance.
func WithPeers(peers Peers) Option {
	return func(feed *Feed) { feed.peers = peers }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(feed *Feed) { feed.log = logger.With().Str("part", "feed").Logger() }
}

// WithRegisterer registers the feed's metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(feed *Feed) { feed.metrics.register(registerer) }
}

// WithRandom sets the source of jitter.
func WithRandom(source rand.Source) Option {
	return func(feed *Feed) { feed.random = rand.New(source) }
}

// nobody stands for the peers of a single instance.
type nobody struct{}

func (nobody) Count() int           { return 1 }
func (nobody) Majority(uint64) bool { return true }

func (nobody) FetchNote(context.Context, *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	return nil, code.Errorf(code.PeerUnreachable, "there are no other instances")
}
