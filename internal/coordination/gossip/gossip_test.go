package gossip_test

import (
	"context"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// fakeNetwork is a Lister with a fixed list and a PeerClient whose exchanges are
// handled by a function.
type fakeNetwork struct {
	listed   []gossip.Instance
	exchange func(address string) (*peerpb.State, error)
}

func (network *fakeNetwork) List(context.Context) ([]gossip.Instance, error) {
	return network.listed, nil
}

func (network *fakeNetwork) Exchange(_ context.Context, address string, _ *peerpb.State) (*peerpb.State, error) {
	if network.exchange == nil {
		return nil, code.Errorf(code.PeerUnreachable, "no response")
	}
	return network.exchange(address)
}

func (network *fakeNetwork) FetchNote(context.Context, string, *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	return nil, code.Errorf(code.PeerUnreachable, "no response")
}

// fakeNoteFeed is a feed with note 3 in force.
type fakeNoteFeed struct{ provenAt time.Time }

func (fakeNoteFeed) Number() uint64                 { return 3 }
func (feed fakeNoteFeed) ProvenAt() time.Time       { return feed.provenAt }
func (fakeNoteFeed) StoreDown() bool                { return true }
func (fakeNoteFeed) ObserveNumber(uint64)           {}
func (fakeNoteFeed) ObserveProof(uint64, time.Time) {}
func (fakeNoteFeed) Subscribe(func(*note.Catalog))  {}

func instanceWithID(id string) gossip.Instance {
	return gossip.Instance{ID: id, PeerAddress: "10.0.0.1:7000", DataCenter: "kosice-1"}
}

func newState(id string, incarnation, sequence uint64) *peerpb.State {
	version := &peerpb.Version{Incarnation: incarnation, Sequence: sequence}
	return &peerpb.State{
		Sender:     id,
		Number:     3,
		Admitted:   true,
		Heartbeats: []*peerpb.Heartbeat{{Origin: id, Version: version, Address: "10.0.0.2:7000", Number: 3}},
		Loads: []*peerpb.Load{{
			Origin: id, Version: version,
			Teams:   []*peerpb.TeamLoad{{Team: "press", Rate: float64(sequence)}},
			Targets: []*peerpb.TargetLoad{{Target: "t1", InFlight: 1, Health: peerpb.Health_HEALTH_SLOW}},
		}},
		Suspects: []*peerpb.Suspect{{Fingerprint: []byte("f"), Targets: []string{"t1"}, ExpiresMs: 1000}},
	}
}

func handleExchange(t *testing.T, members *gossip.Members, state *peerpb.State) *peerpb.State {
	t.Helper()
	reply, err := members.HandleExchange(t.Context(), state)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// whileRunning starts members and calls test after 2 s.
func whileRunning(t *testing.T, members *gossip.Members, test func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := members.Start(ctx)
	time.Sleep(2 * time.Second)
	test()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A message with one invalid value must be refused as a whole: none of its entries
// may be merged.
func TestMalformedMessageHasNoEffect(t *testing.T) {
	long := strings.Repeat("x", 200)
	cases := map[string]func(*peerpb.State){
		"sender missing":        func(state *peerpb.State) { state.Sender = "" },
		"sender too long":       func(state *peerpb.State) { state.Sender = long },
		"note number too large": func(state *peerpb.State) { state.Number = math.MaxUint64 },
		"version missing":       func(state *peerpb.State) { state.Heartbeats[0].Version = nil },
		"address invalid":       func(state *peerpb.State) { state.Heartbeats[0].Address = "nowhere" },
		"sequence too large":    func(state *peerpb.State) { state.Heartbeats[0].Version.Sequence = math.MaxUint64 },
		"rate not a number":     func(state *peerpb.State) { state.Loads[0].Teams[0].Rate = math.NaN() },
		"cost negative":         func(state *peerpb.State) { state.Loads[0].Targets[0].Cost = -1 },
		"health unknown":        func(state *peerpb.State) { state.Loads[0].Targets[0].Health = 9 },
		"fingerprint too long":  func(state *peerpb.State) { state.Suspects[0].Fingerprint = []byte(long) },
		"expiry too late":       func(state *peerpb.State) { state.Suspects[0].ExpiresMs = math.MaxUint32 },
		"too many heartbeats":   func(state *peerpb.State) { state.Heartbeats = make([]*peerpb.Heartbeat, 65) },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			members := gossip.New(instanceWithID("a"), &fakeNetwork{}, &fakeNetwork{})
			handleExchange(t, members, newState("b", 1, 1))
			bad := newState("b", 1, 2)
			bad.Suspects[0].Fingerprint = []byte("g")
			corrupt(bad)
			if _, err := members.HandleExchange(t.Context(), bad); !code.Is(err, code.MessageMalformed) {
				t.Errorf("HandleExchange() = %v, want code.MessageMalformed", err)
			}
			reply := handleExchange(t, members, &peerpb.State{Sender: "c"})
			if len(members.Suspects()) != 1 || reply.Heartbeats[1].Version.Sequence != 1 {
				t.Errorf("after a malformed message: reply %v, %d suspects, want sequence 1, 1 suspect", reply, len(members.Suspects()))
			}
		})
	}
}

// FuzzHandle sends arbitrary messages to an instance. It may refuse them but must
// not crash, and another instance must accept what it forwards.
func FuzzHandle(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		state := &peerpb.State{}
		if proto.Unmarshal(data, state) != nil {
			return
		}
		members, other := gossip.New(instanceWithID("a"), &fakeNetwork{}, &fakeNetwork{}), gossip.New(instanceWithID("b"), &fakeNetwork{}, &fakeNetwork{})
		reply, err := members.HandleExchange(t.Context(), state)
		if err != nil && !code.Is(err, code.MessageMalformed) {
			t.Fatal(err)
		}
		if err != nil {
			reply = handleExchange(t, members, &peerpb.State{Sender: "c"})
			if len(reply.Heartbeats) != 1 || len(reply.Loads) != 0 || len(reply.Suspects) != 0 {
				t.Fatalf("after a refused message: reply %v, want one heartbeat and no loads or suspects", reply)
			}
		}
		handleExchange(t, other, reply)
	})
}

// Peers appear through heartbeats and the platform's list, older heartbeats do not
// replace newer ones, and a peer without new heartbeats is removed.
func TestSilentPeerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{listed: []gossip.Instance{instanceWithID("a"), instanceWithID("c"), {ID: "d", PeerAddress: "10.0.0.4:1", Leaving: true}}}
		members := gossip.New(instanceWithID("a"), network, network)
		handleExchange(t, members, newState("b", 5, 2))
		handleExchange(t, members, newState("b", 5, 1))
		stale := newState("b", 4, 9)
		stale.Heartbeats[0].Number = 1
		handleExchange(t, members, stale)
		whileRunning(t, members, func() {
			peers := members.Peers()
			if len(peers) != 3 || members.InstanceCount() != 3 || !peers[0].Alive || peers[0].NoteNumber != 3 || peers[1].Alive {
				t.Fatalf("InstanceCount() = %d, Peers() = %+v, want 3 each, the first alive with note 3, the second only listed", members.InstanceCount(), peers)
			}
			load := peers[0].Load
			if load == nil || load.Teams[0].CostPerSecond != 2 || load.Targets[0].Health != gossip.HealthSlow {
				t.Fatalf("load = %+v, want 2 cost units per second and a slow target", load)
			}
			time.Sleep(10 * time.Second)
			if peers := members.Peers(); len(peers) != 2 || members.InstanceCount() != 2 {
				t.Fatalf("after 10 s without heartbeats: Peers() = %+v, InstanceCount() = %d, want 2 each", peers, members.InstanceCount())
			}
		})
	})
}

// An instance that restarts after its wall clock was set back must raise its
// incarnation above the earlier one, or its peers would ignore it.
func TestIncarnationExceedsEarlierStart(t *testing.T) {
	members := gossip.New(instanceWithID("a"), &fakeNetwork{}, &fakeNetwork{}, gossip.WithIncarnation(10))
	reply := handleExchange(t, members, newState("a", 99, 7))
	if version := reply.Heartbeats[0].Version; version.Incarnation <= 99 {
		t.Fatalf("version = %v, want an incarnation above 99", version)
	}
	reply = handleExchange(t, members, newState("a", 1<<62, 7))
	handleExchange(t, gossip.New(instanceWithID("b"), &fakeNetwork{}, &fakeNetwork{}), reply)
}

// Targets that two instances report for one request are merged and notified once,
// and forwarding between instances must not keep a suspect beyond its expiry.
func TestSuspectTargetsMergeAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := gossip.New(instanceWithID("a"), &fakeNetwork{}, &fakeNetwork{}), gossip.New(instanceWithID("b"), &fakeNetwork{}, &fakeNetwork{})
		var reports []gossip.Suspect
		second.OnSuspect(func(suspect gossip.Suspect) { reports = append(reports, suspect) })
		expiresAt := time.Now().Add(time.Minute)
		second.PublishSuspect(gossip.Suspect{Fingerprint: "f", CrashedTargets: []string{"t2"}, ExpiresAt: expiresAt})
		first.PublishSuspect(gossip.Suspect{Fingerprint: "f", CrashedTargets: []string{"t1"}, ExpiresAt: expiresAt})
		for range 10 {
			handleExchange(t, first, handleExchange(t, second, handleExchange(t, first, &peerpb.State{Sender: "c"})))
		}
		if len(reports) != 1 || !reflect.DeepEqual(reports[0].CrashedTargets, []string{"t1", "t2"}) {
			t.Fatalf("reports = %+v, want one with targets t1 and t2", reports)
		}
		for range 65 {
			time.Sleep(time.Second)
			handleExchange(t, first, handleExchange(t, second, handleExchange(t, first, &peerpb.State{Sender: "c"})))
		}
		if remaining := append(first.Suspects(), second.Suspects()...); len(remaining) > 0 {
			t.Fatalf("after the expiry: suspects = %+v, want none", remaining)
		}
	})
}

func TestMessageSizeIsBounded(t *testing.T) {
	const maxMessageBytes = 64 << 10
	name := func(i int) string { return fmt.Sprintf("%0128d", i) }
	load := &peerpb.Load{}
	var own gossip.Load
	for j := range gossip.MaxTargets {
		load.Targets = append(load.Targets, &peerpb.TargetLoad{Target: name(j), Cost: 1})
		own.Targets = append(own.Targets, gossip.TargetLoad{Target: name(j), DecodeTokens: 1})
		if j < gossip.MaxTeams {
			load.Teams = append(load.Teams, &peerpb.TeamLoad{Team: name(j), Rate: 1, Queued: 1})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{listed: []gossip.Instance{instanceWithID("a")}}
		for i := range 100 {
			network.listed = append(network.listed, gossip.Instance{ID: name(i), PeerAddress: "10.0.0.2:7000"})
		}
		members := gossip.New(instanceWithID("a"), network, network)
		members.PublishLoad(own)
		whileRunning(t, members, func() {
			for i := range 100 {
				if size := proto.Size(handleExchange(t, members, newFullState(name, i, load))); size > maxMessageBytes {
					t.Errorf("message has %d bytes, want at most %d", size, maxMessageBytes)
				}
			}
		})
	})
}

// newFullState returns a message with the maximum number of entries.
func newFullState(name func(int) string, i int, load *peerpb.Load) *peerpb.State {
	state := &peerpb.State{Sender: name(i)}
	version := &peerpb.Version{Incarnation: 1, Sequence: 1}
	for j := range 64 {
		id := name(1000*j + i)
		state.Heartbeats = append(state.Heartbeats, &peerpb.Heartbeat{
			Origin: id, Version: version, Address: "10.0.0.2:7000", DataCenter: id,
		})
		if j < 4 {
			state.Loads = append(state.Loads, &peerpb.Load{Origin: id, Version: version, Teams: load.Teams, Targets: load.Targets})
		}
		if j < 8 {
			state.Suspects = append(state.Suspects, &peerpb.Suspect{
				Fingerprint: []byte(id[100:]), ExpiresMs: 60_000,
				Targets: []string{name(1), name(2), name(3), name(4), name(5), name(6), name(7), name(8)},
			})
		}
	}
	return state
}

// A majority needs votes from more than half of the instances, this one counting
// only once it is admitted, no vote with a newer note, and no votes of instances
// that restarted and are not admitted yet.
func TestMajority(t *testing.T) {
	cases := map[string]struct {
		responding, admitted int
		number               uint64
		proven, want         bool
	}{
		"half of all and this one":     {3, 6, 3, true, true},
		"too few responses":            {2, 6, 3, true, false},
		"peer has newer note":          {6, 6, 4, true, false},
		"not admitted, half of all":    {3, 6, 3, false, false},
		"not admitted, more than half": {4, 6, 3, false, true},
		"too few peers admitted":       {6, 2, 3, true, false},
		"half of the peers admitted":   {6, 3, 3, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakeNetwork{listed: []gossip.Instance{instanceWithID("a")}}
				for i := range 6 {
					id := fmt.Sprint("p", i)
					network.listed = append(network.listed, gossip.Instance{ID: id, PeerAddress: fmt.Sprintf("10.0.1.%d:1", i)})
				}
				network.exchange = func(address string) (*peerpb.State, error) {
					var i int
					_, _ = fmt.Sscanf(address, "10.0.1.%d:", &i)
					if i >= test.responding {
						return nil, code.Errorf(code.PeerUnreachable, "no response")
					}
					state := newState(fmt.Sprint("p", i), 1, uint64(time.Now().UnixMilli()))
					state.Heartbeats[0].Address = address
					state.Number, state.Admitted = test.number, i < test.admitted
					return state, nil
				}
				members := gossip.New(instanceWithID("a"), network, network)
				feed := fakeNoteFeed{}
				if test.proven {
					feed.provenAt = time.Now().Add(time.Second)
				}
				members.SetNoteFeed(feed)
				whileRunning(t, members, func() {
					time.Sleep(3 * time.Second)
					if got := members.HasMajority(3); got != test.want {
						t.Errorf("HasMajority(3) = %v, want %v", got, test.want)
					}
				})
			})
		})
	}
}
