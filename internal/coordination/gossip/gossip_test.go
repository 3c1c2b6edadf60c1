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

// wire lists and answers as told.
type wire struct {
	listed []gossip.Instance
	answer func(address string) (*peerpb.State, error)
}

func (wire *wire) List(context.Context) ([]gossip.Instance, error) { return wire.listed, nil }

func (wire *wire) Exchange(_ context.Context, address string, _ *peerpb.State) (*peerpb.State, error) {
	if wire.answer == nil {
		return nil, code.Errorf(code.PeerUnreachable, "no answer")
	}
	return wire.answer(address)
}

func (wire *wire) FetchNote(context.Context, string, *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	return nil, code.Errorf(code.PeerUnreachable, "no answer")
}

// notes is a feed with one note in force.
type notes struct{ fresh time.Time }

func (notes) Number() uint64                { return 3 }
func (notes notes) Fresh() time.Time        { return notes.fresh }
func (notes) StoreDown() bool               { return true }
func (notes) Offer(uint64)                  {}
func (notes) Witness(uint64, time.Time)     {}
func (notes) Subscribe(func(*note.Catalog)) {}

func self(id string) gossip.Instance {
	return gossip.Instance{ID: id, Address: "10.0.0.1:7000", DataCenter: "kosice-1"}
}

func stateOf(id string, incarnation, sequence uint64) *peerpb.State {
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

func handle(t *testing.T, members *gossip.Members, state *peerpb.State) *peerpb.State {
	t.Helper()
	reply, err := members.Handle(t.Context(), state)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func run(t *testing.T, members *gossip.Members, test func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := members.Start(ctx)
	time.Sleep(2 * time.Second)
	test()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestMalformedMessagesChangeNothing(t *testing.T) {
	long := strings.Repeat("x", 200)
	cases := map[string]func(*peerpb.State){
		"no sender":       func(state *peerpb.State) { state.Sender = "" },
		"long sender":     func(state *peerpb.State) { state.Sender = long },
		"huge number":     func(state *peerpb.State) { state.Number = math.MaxUint64 },
		"no version":      func(state *peerpb.State) { state.Heartbeats[0].Version = nil },
		"bad address":     func(state *peerpb.State) { state.Heartbeats[0].Address = "nowhere" },
		"huge sequence":   func(state *peerpb.State) { state.Heartbeats[0].Version.Sequence = math.MaxUint64 },
		"rate not number": func(state *peerpb.State) { state.Loads[0].Teams[0].Rate = math.NaN() },
		"negative cost":   func(state *peerpb.State) { state.Loads[0].Targets[0].Cost = -1 },
		"unknown health":  func(state *peerpb.State) { state.Loads[0].Targets[0].Health = 9 },
		"long print":      func(state *peerpb.State) { state.Suspects[0].Fingerprint = []byte(long) },
		"late expiry":     func(state *peerpb.State) { state.Suspects[0].ExpiresMs = math.MaxUint32 },
		"too many":        func(state *peerpb.State) { state.Heartbeats = make([]*peerpb.Heartbeat, 65) },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			members := gossip.New(self("a"), &wire{}, &wire{})
			handle(t, members, stateOf("b", 1, 1))
			bad := stateOf("b", 1, 2)
			bad.Suspects[0].Fingerprint = []byte("g")
			spoil(bad)
			if _, err := members.Handle(t.Context(), bad); !code.Is(err, code.MessageMalformed) {
				t.Errorf("got %v", err)
			}
			reply := handle(t, members, &peerpb.State{Sender: "c"})
			if len(members.Suspects()) != 1 || reply.Heartbeats[1].Version.Sequence != 1 {
				t.Errorf("state changed: %v", reply)
			}
		})
	}
}

// FuzzHandle feeds arbitrary messages to an instance. It may refuse them, but
// must not crash, and what it passes on must be good for another instance.
func FuzzHandle(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		state := &peerpb.State{}
		if proto.Unmarshal(data, state) != nil {
			return
		}
		members, other := gossip.New(self("a"), &wire{}, &wire{}), gossip.New(self("b"), &wire{}, &wire{})
		reply, err := members.Handle(t.Context(), state)
		if err != nil && !code.Is(err, code.MessageMalformed) {
			t.Fatal(err)
		}
		if err != nil {
			reply = handle(t, members, &peerpb.State{Sender: "c"})
			if len(reply.Heartbeats) != 1 || len(reply.Loads) != 0 || len(reply.Suspects) != 0 {
				t.Fatalf("a refused message left %v", reply)
			}
		}
		handle(t, other, reply)
	})
}

func TestPeersComeAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &wire{listed: []gossip.Instance{self("a"), self("c"), {ID: "d", Address: "10.0.0.4:1", Leaving: true}}}
		members := gossip.New(self("a"), lister, lister)
		handle(t, members, stateOf("b", 5, 2))
		handle(t, members, stateOf("b", 5, 1))
		stale := stateOf("b", 4, 9)
		stale.Heartbeats[0].Number = 1
		handle(t, members, stale)
		run(t, members, func() {
			peers := members.Peers()
			if len(peers) != 3 || members.Count() != 3 || !peers[0].Heard || peers[0].Number != 3 || peers[1].Heard {
				t.Fatalf("count %d, peers %+v", members.Count(), peers)
			}
			load := peers[0].Load
			if load == nil || load.Teams[0].Rate != 2 || load.Targets[0].Health != gossip.HealthSlow {
				t.Fatalf("got load %+v", load)
			}
			time.Sleep(10 * time.Second)
			if peers := members.Peers(); len(peers) != 2 || members.Count() != 2 {
				t.Fatalf("a silent peer is kept: %+v", peers)
			}
		})
	})
}

func TestRestartWithClockSetBack(t *testing.T) {
	members := gossip.New(self("a"), &wire{}, &wire{}, gossip.WithIncarnation(10))
	reply := handle(t, members, stateOf("a", 99, 7))
	if version := reply.Heartbeats[0].Version; version.Incarnation <= 99 {
		t.Fatalf("peers would ignore %v", version)
	}
	reply = handle(t, members, stateOf("a", 1<<62, 7))
	handle(t, gossip.New(self("b"), &wire{}, &wire{}), reply)
}

func TestSuspectsAddUpAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := gossip.New(self("a"), &wire{}, &wire{}), gossip.New(self("b"), &wire{}, &wire{})
		var reports []gossip.Suspect
		second.OnSuspect(func(suspect gossip.Suspect) { reports = append(reports, suspect) })
		expires := time.Now().Add(time.Minute)
		second.PublishSuspect(gossip.Suspect{Fingerprint: "f", Targets: []string{"t2"}, Expires: expires})
		first.PublishSuspect(gossip.Suspect{Fingerprint: "f", Targets: []string{"t1"}, Expires: expires})
		for range 10 {
			handle(t, first, handle(t, second, handle(t, first, &peerpb.State{Sender: "c"})))
		}
		if len(reports) != 1 || !reflect.DeepEqual(reports[0].Targets, []string{"t1", "t2"}) {
			t.Fatalf("got %+v", reports)
		}
		for range 65 {
			time.Sleep(time.Second)
			handle(t, first, handle(t, second, handle(t, first, &peerpb.State{Sender: "c"})))
		}
		if left := append(first.Suspects(), second.Suspects()...); len(left) > 0 {
			t.Fatalf("suspects live on: %+v", left)
		}
	})
}

func TestMessageHasABound(t *testing.T) {
	const boundBytes = 64 << 10
	name := func(i int) string { return fmt.Sprintf("%0128d", i) }
	load := &peerpb.Load{}
	var own gossip.Load
	for j := range gossip.TargetsMax {
		load.Targets = append(load.Targets, &peerpb.TargetLoad{Target: name(j), Cost: 1})
		own.Targets = append(own.Targets, gossip.TargetLoad{Target: name(j), Cost: 1})
		if j < gossip.TeamsMax {
			load.Teams = append(load.Teams, &peerpb.TeamLoad{Team: name(j), Rate: 1, Queued: 1})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		net := &wire{listed: []gossip.Instance{self("a")}}
		for i := range 100 {
			net.listed = append(net.listed, gossip.Instance{ID: name(i), Address: "10.0.0.2:7000"})
		}
		members := gossip.New(self("a"), net, net)
		members.PublishLoad(own)
		run(t, members, func() {
			for i := range 100 {
				if size := proto.Size(handle(t, members, fullState(name, i, load))); size > boundBytes {
					t.Errorf("message of %d bytes", size)
				}
			}
		})
	})
}

// fullState returns a message that holds as much as one may.
func fullState(name func(int) string, i int, load *peerpb.Load) *peerpb.State {
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

func TestMajority(t *testing.T) {
	cases := map[string]struct {
		answering, admitted int
		number              uint64
		fresh, want         bool
	}{
		"half without this one":   {3, 6, 3, true, true},
		"fewer":                   {2, 6, 3, true, false},
		"newer note":              {6, 6, 4, true, false},
		"forgetful, half":         {3, 6, 3, false, false},
		"forgetful, more than so": {4, 6, 3, false, true},
		"others forgetful":        {6, 2, 3, true, false},
		"others partly forgetful": {6, 3, 3, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := &wire{listed: []gossip.Instance{self("a")}}
				for i := range 6 {
					id := fmt.Sprint("p", i)
					net.listed = append(net.listed, gossip.Instance{ID: id, Address: fmt.Sprintf("10.0.1.%d:1", i)})
				}
				net.answer = func(address string) (*peerpb.State, error) {
					var i int
					_, _ = fmt.Sscanf(address, "10.0.1.%d:", &i)
					if i >= test.answering {
						return nil, code.Errorf(code.PeerUnreachable, "no answer")
					}
					state := stateOf(fmt.Sprint("p", i), 1, uint64(time.Now().UnixMilli()))
					state.Heartbeats[0].Address = address
					state.Number, state.Admitted = test.number, i < test.admitted
					return state, nil
				}
				members := gossip.New(self("a"), net, net)
				feed := notes{}
				if test.fresh {
					feed.fresh = time.Now().Add(time.Second)
				}
				members.Follow(feed)
				run(t, members, func() {
					time.Sleep(3 * time.Second)
					if got := members.Majority(3); got != test.want {
						t.Errorf("got %v", got)
					}
				})
			})
		})
	}
}
