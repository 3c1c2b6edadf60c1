// Package gossip tracks the live entry instances and replicates soft state among
// them without consensus.
//
// Members come from the platform's list, which lags, and from heartbeats. In each
// round an instance exchanges messages of bounded size with a few others in turn.
// A message holds the sender's own state and part of the state received from
// others, so the traffic per instance has a bound that does not grow with the
// number of instances.
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
	ID          string
	DataCenter  string
	PeerAddress string // IP:port that peers connect to
	Leaving     bool   // is shutting down
}

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}

// PeerClient calls other instances.
type PeerClient interface {
	Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error)
	FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error)
}

// NoteFeed is this instance's feed of release notes.
type NoteFeed interface {
	// Number returns the number of the note in force, 0 before the first.
	Number() uint64
	// ProvenAt returns the latest time at which the note in force is known to have
	// been the newest, the zero time if none.
	ProvenAt() time.Time
	// StoreDown reports whether the last call to the store failed.
	StoreDown() bool
	// ObserveNumber reports that a peer has the note with a number.
	ObserveNumber(number uint64)
	// ObserveProof reports a peer's proof that number was the newest in the store
	// at a time.
	ObserveProof(number uint64, at time.Time)
	// Subscribe registers a function that is called for each new catalog in force.
	Subscribe(function func(*note.Catalog))
}

// Members tracks the instances that this one knows and gossips with them. It is
// safe for concurrent use.
type Members struct {
	self      Instance
	lister    Lister
	client    PeerClient
	noteFeed  NoteFeed
	logger    zerolog.Logger
	metrics   *metrics
	startedAt time.Time

	mu              sync.Mutex // guards the fields up to the next blank line
	random          *rand.Rand
	ownVersion      peerpb.Version // of this instance's state
	ownLoad         *peerpb.Load
	listed          map[string]Instance
	origins         map[string]*origin
	heartbeatQueue  queue // origins whose heartbeat is still to be forwarded
	loadQueue       queue // origins whose load is still to be forwarded
	suspects        map[string]*suspect
	votes           map[string]vote
	rotation        []Instance
	triedAt         map[string]time.Time
	admitted        bool   // see HasMajority
	publishedNumber uint64 // note number in the last message sent

	leaving   atomic.Bool
	peers     atomic.Pointer[[]Peer]
	count     atomic.Int64
	quorum    atomic.Pointer[quorumState]
	onSuspect []func(Suspect)
	wake      chan struct{}
}

// New returns the members as seen by self. No exchange is started before
// Start.
func New(self Instance, lister Lister, client PeerClient, opts ...Option) *Members {
	members := &Members{
		self:      self,
		lister:    lister,
		client:    client,
		noteFeed:  emptyNoteFeed{},
		logger:    zerolog.Nop(),
		metrics:   newMetrics(),
		startedAt: time.Now(),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		origins:   map[string]*origin{},
		suspects:  map[string]*suspect{},
		votes:     map[string]vote{},
		triedAt:   map[string]time.Time{},
		wake:      make(chan struct{}, 1),
	}
	members.ownVersion.Incarnation = uint64(time.Now().UnixMilli())
	members.ownVersion.Sequence = 1
	for _, opt := range opts {
		opt(members)
	}
	members.count.Store(1)
	members.peers.Store(&[]Peer{})
	members.quorum.Store(&quorumState{})
	return members
}

// SetNoteFeed makes the members gossip the note numbers of feed, and starts a
// round for each new note. It must be called before Start.
func (members *Members) SetNoteFeed(feed NoteFeed) {
	members.noteFeed = feed
	feed.Subscribe(func(*note.Catalog) { members.triggerRound() })
}

// OnSuspect registers a function that is called each time a message from another
// instance adds or extends a suspect. It must be called before Start.
func (members *Members) OnSuspect(function func(Suspect)) {
	members.onSuspect = append(members.onSuspect, function)
}

// Start gossips with other instances until ctx ends. The channel then yields nil
// once.
func (members *Members) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	ended := make(chan struct{}, 2)
	go members.pollList(ctx, ended)
	go members.runRounds(ctx, ended)
	go func() {
		<-ended
		<-ended
		done <- nil
	}()
	return done
}

// Leave announces to the other instances that this one is shutting down.
func (members *Members) Leave() {
	members.leaving.Store(true)
	members.triggerRound()
}

// InstanceCount returns the number of live instances, this one included.
func (members *Members) InstanceCount() int {
	return int(members.count.Load())
}

// triggerRound starts the next round as soon as the minimum interval allows.
func (members *Members) triggerRound() {
	select {
	case members.wake <- struct{}{}:
	default:
	}
}
