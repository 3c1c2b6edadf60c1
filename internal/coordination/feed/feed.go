// Package feed replicates release notes from the store to every instance. A
// note is accepted by one compare-and-set on the head row. Instances poll that
// row at a low rate, announce new note numbers to one another and fetch notes
// from one another.
//
// A feed never returns to a lower number. It also decides whether the instance
// may accept requests that need an API key: see Feed.CheckServing.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Peers gives a feed access to the other instances.
type Peers interface {
	// InstanceCount returns the number of live instances, this one included.
	InstanceCount() int
	// HasMajority reports whether more than half of the instances responded to
	// this one within the last few seconds and none of them has a note above number.
	HasMajority(number uint64) bool
	// FetchNote sends request to an instance that has the requested note or a
	// newer one. It fails with code.PeerUnreachable if none responds.
	FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error)
}

// Feed keeps the catalog of the newest release note. It is safe for concurrent
// use.
type Feed struct {
	store   Store
	peers   Peers
	logger  zerolog.Logger
	metrics *metrics

	randomMu sync.Mutex
	random   *rand.Rand

	installMu   sync.Mutex // held while a note is installed and subscribers are called
	subscribers []func(*note.Catalog)
	current     atomic.Pointer[snapshot]

	proofMu    sync.Mutex // guards writes to current, provenAt and aheadProof
	provenAt   atomic.Pointer[time.Time]
	aheadProof atomic.Pointer[proof] // for a note that is not installed yet
	storeDown  atomic.Bool

	peerNumber       atomic.Uint64 // highest number that a peer announced
	peerNumberSignal chan struct{}
	pollSignal       chan struct{} // requests an early poll of the store
}

// New returns a feed that has no catalog yet.
func New(store Store, opts ...Option) *Feed {
	feed := &Feed{
		store:            timeoutStore{Store: store},
		peers:            noPeers{},
		logger:           zerolog.Nop(),
		random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peerNumberSignal: make(chan struct{}, 1),
		pollSignal:       make(chan struct{}, 1),
	}
	feed.metrics = newMetrics()
	for _, opt := range opts {
		opt(feed)
	}
	return feed
}

// Start replicates notes until ctx ends. The returned channel then receives
// nil once.
func (feed *Feed) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	stopped := make(chan struct{}, 2)
	go feed.pollStore(ctx, stopped)
	go feed.followPeers(ctx, stopped)
	go func() {
		<-stopped
		<-stopped
		done <- nil
	}()
	return done
}

// Catalog returns the current catalog, or nil before the first note. The
// catalog must not be changed.
func (feed *Feed) Catalog() *note.Catalog {
	current := feed.current.Load()
	if current == nil {
		return nil
	}
	return current.catalog
}

// Number returns the number of the current note, or 0 before the first.
func (feed *Feed) Number() uint64 {
	current := feed.current.Load()
	if current == nil {
		return 0
	}
	return current.head.Number
}

// StoreDown reports whether the last poll of the store failed.
func (feed *Feed) StoreDown() bool {
	return feed.storeDown.Load()
}

// Subscribe registers function to be called with each catalog that the feed
// installs, in order and one call at a time. It must be called before Start.
func (feed *Feed) Subscribe(function func(*note.Catalog)) {
	feed.installMu.Lock()
	defer feed.installMu.Unlock()
	feed.subscribers = append(feed.subscribers, function)
}

// jitter returns a random duration between 0.5 and 1.5 times delay.
func (feed *Feed) jitter(delay time.Duration) time.Duration {
	return delay/2 + feed.randomBelow(delay)
}

func (feed *Feed) randomBelow(limit time.Duration) time.Duration {
	feed.randomMu.Lock()
	defer feed.randomMu.Unlock()
	return time.Duration(feed.random.Int64N(int64(limit)))
}
