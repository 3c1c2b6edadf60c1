package feed

import (
	"context"
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Option configures a feed in New.
type Option func(*Feed)

// WithPeers sets the access to other instances. Without it the feed assumes
// that there is only one instance.
func WithPeers(peers Peers) Option {
	return func(feed *Feed) { feed.peers = peers }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(feed *Feed) { feed.logger = logger.With().Str("part", "feed").Logger() }
}

// WithRegisterer registers the feed's metrics.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(feed *Feed) { feed.metrics.register(registerer) }
}

// WithRandSource sets the random source for jitter.
func WithRandSource(randSource rand.Source) Option {
	return func(feed *Feed) { feed.random = rand.New(randSource) }
}

// noPeers implements Peers for a fleet of one instance.
type noPeers struct{}

func (noPeers) InstanceCount() int      { return 1 }
func (noPeers) HasMajority(uint64) bool { return true }

func (noPeers) FetchNote(context.Context, *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	return nil, code.Errorf(code.PeerUnreachable, "there are no other instances")
}
