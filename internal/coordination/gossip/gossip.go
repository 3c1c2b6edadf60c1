// Package gossip keeps the members of the fleet and the soft state that they
// share, without agreement among them.
//
// Members come from the platform's list, which lags, and from the instances
// that answer. In each round an instance exchanges bounded messages with a
// few others in turn. Each message holds the sender's own state and a share of
// what it heard from others, so that an instance's traffic has a bound that
// does not grow with the fleet.
package gossip

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

// Instance is an entry instance.
type Instance struct {
	ID         string
	DataCenter string
	Address    string // IP:port for peers
	Leaving    bool
}

// Lister is the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}

// Exchanger calls other instances.
type Exchanger interface {
	Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error)
	FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error)
}

// Notes is the feed of release notes of this instance.
type Notes interface {
	Number() uint64
	Fresh() time.Time
	StoreDown() bool
	Offer(number uint64)
	Witness(number uint64, at time.Time)
	Subscribe(function func(*note.Catalog))
}

// Members are the instances of the fleet as this one knows them. It is safe
// for concurrent use.
type Members struct {
	self      Instance
	lister    Lister
	exchanger Exchanger
	notes     Notes
	log       zerolog.Logger
	metrics   *metrics
	startedAt time.Time

	mu       sync.Mutex // guards the fields up to the next blank line
	random   *rand.Rand
	version  peerpb.Version // of this instance's own state
	load     *peerpb.Load
	listed   map[string]Instance
	origins  map[string]*origin
	hot      queue // origins whose heartbeat is still to be passed on
	hotLoads queue // origins whose load is still to be passed on
	suspects map[string]*suspect
	answers  map[string]answer
	rotation []Instance
	tried    map[string]time.Time
	admitted bool   // see Majority
	told     uint64 // number of the note in the latest state

	leaving   atomic.Bool
	peers     atomic.Pointer[[]Peer]
	count     atomic.Int64
	evidence  atomic.Pointer[evidence]
	onSuspect []func(Suspect)
	wake      chan struct{}
}

// New returns the members as seen by self. Nothing is exchanged before Start.
func New(self Instance, lister Lister, exchanger Exchanger, opts ...Option) *Members {
	members := &Members{
		self:      self,
		lister:    lister,
		exchanger: exchanger,
		notes:     noNotes{},
		log:       zerolog.Nop(),
		metrics:   newMetrics(),
		startedAt: time.Now(),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		origins:   map[string]*origin{},
		suspects:  map[string]*suspect{},
		answers:   map[string]answer{},
		tried:     map[string]time.Time{},
		wake:      make(chan struct{}, 1),
	}
	members.version.Incarnation = uint64(time.Now().UnixMilli())
	members.version.Sequence = 1
	for _, opt := range opts {
		opt(members)
	}
	members.count.Store(1)
	members.peers.Store(&[]Peer{})
	members.evidence.Store(&evidence{})
	return members
}

// Follow lets the members carry the numbers of notes and tells them of each
// new one. It is called before Start.
func (members *Members) Follow(notes Notes) {
	members.notes = notes
	notes.Subscribe(func(*note.Catalog) { members.hurry() })
}

// OnSuspect makes the members call function with each suspect that another
// instance reported, once for each change. It is called before Start.
func (members *Members) OnSuspect(function func(Suspect)) {
	members.onSuspect = append(members.onSuspect, function)
}

// Start exchanges state until ctx ends. The channel then yields nil once.
func (members *Members) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	ended := make(chan struct{}, 2)
	go members.follow(ctx, ended)
	go members.gossip(ctx, ended)
	go func() {
		<-ended
		<-ended
		done <- nil
	}()
	return done
}

// Leave tells the other instances that this one is shutting down.
func (members *Members) Leave() {
	members.leaving.Store(true)
	members.hurry()
}

// Count returns the number of live instances, this one included.
func (members *Members) Count() int {
	return int(members.count.Load())
}

// hurry makes the next round come at once.
func (members *Members) hurry() {
	select {
	case members.wake <- struct{}{}:
	default:
	}
}
