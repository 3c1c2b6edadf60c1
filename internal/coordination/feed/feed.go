// Package feed brings release notes from the store to every instance. A note
// is accepted by one compare-and-set on the head row; instances poll that row
// sparsely, tell one another of new numbers and fetch notes from one another.
//
// A feed never goes back to a lower number, and tells whether the instance may
// take keyed work: see Feed.Serving.
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

// Peers is what a feed needs of the other instances.
type Peers interface {
	// Count returns the number of live instances, this one included.
	Count() int
	// Majority reports whether more than half of the instances answered this
	// one in the last seconds and none of them had a number above number.
	Majority(number uint64) bool
	// FetchNote asks an instance that has at least the number of request.
	FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error)
}

// Feed follows the release notes. It is safe for concurrent use.
type Feed struct {
	store   Store
	peers   Peers
	log     zerolog.Logger
	metrics *metrics

	randomMu sync.Mutex
	random   *rand.Rand

	installMu   sync.Mutex // is held while a note is put in force
	subscribers []func(*note.Catalog)
	inForce     atomic.Pointer[release]

	proofMu   sync.Mutex // guards the writes to inForce, fresh and ahead
	fresh     atomic.Pointer[time.Time]
	ahead     atomic.Pointer[proof] // of a note that is not in force yet
	storeDown atomic.Bool

	offered atomic.Uint64
	offers  chan struct{}
	hurry   chan struct{}
}

// New returns a feed that has nothing in force yet.
func New(store Store, opts ...Option) *Feed {
	feed := &Feed{
		store:  timed{Store: store},
		peers:  nobody{},
		log:    zerolog.Nop(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		offers: make(chan struct{}, 1),
		hurry:  make(chan struct{}, 1),
	}
	feed.metrics = newMetrics()
	for _, opt := range opts {
		opt(feed)
	}
	return feed
}

// Start follows the notes until ctx ends. The channel then yields nil once.
func (feed *Feed) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	ended := make(chan struct{}, 2)
	go feed.poll(ctx, ended)
	go feed.follow(ctx, ended)
	go func() {
		<-ended
		<-ended
		done <- nil
	}()
	return done
}

// Current returns the catalog in force, nil before the first.
func (feed *Feed) Current() *note.Catalog {
	release := feed.inForce.Load()
	if release == nil {
		return nil
	}
	return release.catalog
}

// Number returns the number of the note in force, 0 before the first.
func (feed *Feed) Number() uint64 {
	release := feed.inForce.Load()
	if release == nil {
		return 0
	}
	return release.head.Number
}

// StoreDown reports whether the last call to the store failed.
func (feed *Feed) StoreDown() bool {
	return feed.storeDown.Load()
}

// Subscribe makes the feed call function with each catalog that it puts in
// force, in order, one call at a time. It is called before Start.
func (feed *Feed) Subscribe(function func(*note.Catalog)) {
	feed.installMu.Lock()
	defer feed.installMu.Unlock()
	feed.subscribers = append(feed.subscribers, function)
}

// jitter returns a random duration between half of delay and one and a half.
func (feed *Feed) jitter(delay time.Duration) time.Duration {
	return delay/2 + feed.randomBelow(delay)
}

func (feed *Feed) randomBelow(limit time.Duration) time.Duration {
	feed.randomMu.Lock()
	defer feed.randomMu.Unlock()
	return time.Duration(feed.random.Int64N(int64(limit)))
}
