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

const oneWayLatency = time.Millisecond

// fleet is a set of instances on an in-memory network that can be partitioned.
type fleet struct {
	t         *testing.T
	store     *memory.Store
	mu        sync.Mutex
	nodes     map[string]*node
	instances []gossip.Instance
	isBlocked func(from, to string) bool
	sentBytes int
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
		"keys": {"set": [{"digest": "` + note.KeyDigest("secret") + `", "team": "press"}]}}`)
	for i := range count {
		id := instanceID(i)
		fleet.instances = append(fleet.instances, gossip.Instance{ID: id, PeerAddress: addressOf(id)})
	}
	for i := range count {
		fleet.start(instanceID(i))
	}
	return fleet
}

func instanceID(i int) string { return fmt.Sprintf("i%03d", i) }

func addressOf(id string) string {
	var i int
	_, _ = fmt.Sscanf(id, "i%d", &i)
	return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
}

func (fleet *fleet) start(id string) {
	ctx, cancel := context.WithCancel(context.Background())
	self := gossip.Instance{ID: id, PeerAddress: addressOf(id), DataCenter: "kosice-1"}
	transport := &transport{fleet: fleet, id: id}
	seed := xxhash.Sum64String(id)
	members := gossip.New(self, transport, transport, gossip.WithRandSource(rand.NewPCG(1, seed)))
	notes := feed.New(fleet.store.Client(id), feed.WithPeers(members), feed.WithRandSource(rand.NewPCG(2, seed)))
	members.SetNoteFeed(notes)
	members.PublishLoad(testLoad())
	membersDone, notesDone := members.Start(ctx), notes.Start(ctx)
	started := &node{id: id, feed: notes, members: members, stop: func() {
		cancel()
		if err := errors.Join(<-membersDone, <-notesDone); err != nil {
			fleet.t.Error(err)
		}
	}}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.nodes[id] = started
}

// testLoad returns the load of an instance with eight teams and twelve targets.
func testLoad() gossip.Load {
	var load gossip.Load
	for i := range 12 {
		load.Targets = append(load.Targets, gossip.TargetLoad{Target: fmt.Sprint("target-", i), DecodeTokens: 1, InFlight: 1})
	}
	for i := range 8 {
		load.Teams = append(load.Teams, gossip.TeamLoad{Team: fmt.Sprint("team-", i), CostPerSecond: 1, QueuedCost: 1})
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
	for id := range fleet.runningNodes() {
		fleet.kill(id)
	}
}

func (fleet *fleet) runningNodes() map[string]*node {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return maps.Clone(fleet.nodes)
}

// partition drops messages between the pairs for which isBlocked is true. The ID
// "store" stands for the store and "list" for the platform's list of instances.
func (fleet *fleet) partition(isBlocked func(from, to string) bool) {
	fleet.mu.Lock()
	fleet.isBlocked = isBlocked
	fleet.mu.Unlock()
	fleet.store.SetFault(func(call memory.Call) memory.Fault {
		return memory.Fault{Unavailable: call.Client != "operator" && isBlocked(call.Client, "store")}
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

func (fleet *fleet) withdrawKey(after uint64) uint64 {
	return fleet.publish(fmt.Sprintf(`{"after": %d, "keys": {"withdraw": [%q]}}`, after, note.KeyDigest("secret")))
}

// waitUntil waits until condition holds for all running nodes and returns how
// long that took, and whether it held within limit.
func (fleet *fleet) waitUntil(limit time.Duration, condition func(*node) bool) (time.Duration, bool) {
	start := time.Now()
	for ; time.Since(start) <= limit; time.Sleep(5 * time.Millisecond) {
		holds := true
		for _, node := range fleet.runningNodes() {
			holds = holds && condition(node)
		}
		if holds {
			return time.Since(start), true
		}
	}
	return limit, false
}

func (fleet *fleet) totalSentBytes() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.sentBytes
}

func servesNote(number uint64) func(*node) bool {
	return func(node *node) bool { return node.feed.Number() == number && node.feed.CheckServing() == nil }
}

// transport is the network as used by one instance.
type transport struct {
	fleet *fleet
	id    string
}

func (transport *transport) dial(ctx context.Context, address string) (*node, error) {
	transport.fleet.mu.Lock()
	var found *node
	for _, instance := range transport.fleet.instances {
		if instance.PeerAddress == address {
			found = transport.fleet.nodes[instance.ID]
		}
	}
	dropped := found != nil && transport.fleet.isBlocked(transport.id, found.id)
	transport.fleet.mu.Unlock()
	if dropped {
		<-ctx.Done()
	}
	time.Sleep(oneWayLatency)
	if found == nil || dropped {
		return nil, code.Errorf(code.PeerUnreachable, "no response")
	}
	return found, nil
}

func (transport *transport) List(context.Context) ([]gossip.Instance, error) {
	transport.fleet.mu.Lock()
	defer transport.fleet.mu.Unlock()
	if transport.fleet.isBlocked(transport.id, "list") {
		return nil, code.Errorf(code.StoreDown, "no list")
	}
	return transport.fleet.instances, nil
}

func (transport *transport) Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error) {
	peer, err := transport.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := peer.members.HandleExchange(ctx, transport.transmit(state))
	if err != nil {
		return nil, err
	}
	time.Sleep(oneWayLatency)
	return transport.transmit(reply), nil
}

func (transport *transport) transmit(state *peerpb.State) *peerpb.State {
	transport.fleet.mu.Lock()
	defer transport.fleet.mu.Unlock()
	transport.fleet.sentBytes += proto.Size(state)
	return proto.CloneOf(state)
}

func (transport *transport) FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	peer, err := transport.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return peer.feed.FetchNote(ctx, request)
}

func withFleet(t *testing.T, count int, test func(t *testing.T, fleet *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, count)
		defer fleet.stop()
		if _, ok := fleet.waitUntil(4*time.Second, servesNote(1)); !ok {
			t.Fatalf("not all %d instances serve note 1 within 4 s", count)
		}
		test(t, fleet)
	})
}
