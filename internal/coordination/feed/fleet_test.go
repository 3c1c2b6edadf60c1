package feed_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/state/memory"
)

const latency = time.Millisecond

// fleet is a number of instances on an in-memory network that can be cut.
type fleet struct {
	t     *testing.T
	store *memory.Store
	mu    sync.Mutex
	nodes map[string]*node
	list  []gossip.Instance
	cut   func(from, to string) bool
	bytes int
}

type node struct {
	id      string
	feed    *feed.Feed
	members *gossip.Members
	stop    func()
}

func newFleet(t *testing.T, count int) *fleet {
	fleet := &fleet{t: t, store: memory.New(), nodes: map[string]*node{}}
	fleet.partition(func(string, string) bool { return false })
	fleet.publish(`{"after": 0, "teams": {"set": [{"name": "press"}]},
		"keys": {"set": [{"digest": "` + note.Digest("secret") + `", "team": "press"}]}}`)
	for i := range count {
		id := name(i)
		fleet.list = append(fleet.list, gossip.Instance{ID: id, Address: address(id)})
	}
	for i := range count {
		fleet.start(name(i))
	}
	return fleet
}

func name(i int) string { return fmt.Sprintf("i%03d", i) }

func address(id string) string {
	var i int
	_, _ = fmt.Sscanf(id, "i%d", &i)
	return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
}

func (fleet *fleet) start(id string) {
	ctx, cancel := context.WithCancel(context.Background())
	self := gossip.Instance{ID: id, Address: address(id), DataCenter: "kosice-1"}
	link := &link{fleet: fleet, id: id}
	seed := xxhash.Sum64String(id)
	members := gossip.New(self, link, link, gossip.WithRandom(rand.NewPCG(1, seed)))
	notes := feed.New(fleet.store.Client(id), feed.WithPeers(members), feed.WithRandom(rand.NewPCG(2, seed)))
	members.Follow(notes)
	members.PublishLoad(load())
	first, second := members.Start(ctx), notes.Start(ctx)
	started := &node{id: id, feed: notes, members: members, stop: func() {
		cancel()
		if err := errors.Join(<-first, <-second); err != nil {
			fleet.t.Error(err)
		}
	}}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.nodes[id] = started
}

// load is that of an instance with eight teams and twelve targets.
func load() gossip.Load {
	var load gossip.Load
	for i := range 12 {
		load.Targets = append(load.Targets, gossip.TargetLoad{Target: fmt.Sprint("target-", i), Cost: 1, InFlight: 1})
	}
	for i := range 8 {
		load.Teams = append(load.Teams, gossip.TeamLoad{Team: fmt.Sprint("team-", i), Rate: 1, Queued: 1})
	}
	return load
}

func (fleet *fleet) kill(id string) {
	fleet.mu.Lock()
	killed := fleet.nodes[id]
	delete(fleet.nodes, id)
	fleet.mu.Unlock()
	killed.stop()
}

func (fleet *fleet) stop() {
	for id := range fleet.snapshot() {
		fleet.kill(id)
	}
}

func (fleet *fleet) snapshot() map[string]*node {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return maps.Clone(fleet.nodes)
}

// partition makes the network silent between pairs. The ID "store" stands for
// the store and "list" for the platform's list.
func (fleet *fleet) partition(cut func(from, to string) bool) {
	fleet.mu.Lock()
	fleet.cut = cut
	fleet.mu.Unlock()
	fleet.store.SetFault(func(call memory.Call) memory.Fault {
		return memory.Fault{Down: call.Client != "operator" && cut(call.Client, "store")}
	})
}

func (fleet *fleet) publish(text string) uint64 {
	fleet.t.Helper()
	change, err := note.Decode([]byte(text))
	if err != nil {
		fleet.t.Fatal(err)
	}
	number, err := feed.Publish(context.Background(), fleet.store.Client("operator"), change)
	if err != nil {
		fleet.t.Fatal(err)
	}
	return number
}

func (fleet *fleet) withdraw(after uint64) uint64 {
	return fleet.publish(fmt.Sprintf(`{"after": %d, "keys": {"withdraw": [%q]}}`, after, note.Digest("secret")))
}

// until waits for condition on every node and returns how long that took.
func (fleet *fleet) until(limit time.Duration, condition func(*node) bool) (time.Duration, bool) {
	begin := time.Now()
	for ; time.Since(begin) <= limit; time.Sleep(5 * time.Millisecond) {
		holds := true
		for _, node := range fleet.snapshot() {
			holds = holds && condition(node)
		}
		if holds {
			return time.Since(begin), true
		}
	}
	return limit, false
}

func (fleet *fleet) sent() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.bytes
}

func serves(number uint64) func(*node) bool {
	return func(node *node) bool { return node.feed.Number() == number && node.feed.Serving() == nil }
}

// link is the network as seen by one instance.
type link struct {
	fleet *fleet
	id    string
}

func (link *link) reach(ctx context.Context, address string) (*node, error) {
	link.fleet.mu.Lock()
	var found *node
	for _, instance := range link.fleet.list {
		if instance.Address == address {
			found = link.fleet.nodes[instance.ID]
		}
	}
	silent := found != nil && link.fleet.cut(link.id, found.id)
	link.fleet.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	time.Sleep(latency)
	if found == nil || silent {
		return nil, code.Errorf(code.PeerUnreachable, "no answer")
	}
	return found, nil
}

func (link *link) List(context.Context) ([]gossip.Instance, error) {
	link.fleet.mu.Lock()
	defer link.fleet.mu.Unlock()
	if link.fleet.cut(link.id, "list") {
		return nil, code.Errorf(code.StoreDown, "no list")
	}
	return link.fleet.list, nil
}

func (link *link) Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error) {
	peer, err := link.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := peer.members.Handle(ctx, link.carry(state))
	if err != nil {
		return nil, err
	}
	time.Sleep(latency)
	return link.carry(reply), nil
}

func (link *link) carry(state *peerpb.State) *peerpb.State {
	link.fleet.mu.Lock()
	defer link.fleet.mu.Unlock()
	link.fleet.bytes += proto.Size(state)
	return proto.CloneOf(state)
}

func (link *link) FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	peer, err := link.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return peer.feed.FetchNote(ctx, request)
}

func inFleet(t *testing.T, count int, test func(t *testing.T, fleet *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, count)
		defer fleet.stop()
		if _, ok := fleet.until(4*time.Second, serves(1)); !ok {
			t.Fatal("the fleet does not start")
		}
		test(t, fleet)
	})
}
