package feed_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/protocol/code"
)

// settleTime is the time after which CheckServing must reflect a change of the
// network: MaxProofAge and one rotation of exchanges.
const settleTime = feed.MaxProofAge + 2*time.Second

func TestIsolatedInstanceStopsServing(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, fleet *fleet) {
		isolated := func(id string) bool { return id <= instanceID(1) }
		fleet.partition(func(from, to string) bool { return isolated(from) != isolated(to) })
		number := fleet.withdrawKey(1)
		time.Sleep(feed.MaxProofAge)
		for id, node := range fleet.runningNodes() {
			err := node.feed.CheckServing()
			switch {
			case isolated(id) && !code.Is(err, code.InstanceIsolated):
				t.Errorf("%s is isolated with note %d: CheckServing() = %v, want code %v", id, node.feed.Number(), err, code.InstanceIsolated)
			case !isolated(id) && (err != nil || node.feed.Number() != number):
				t.Errorf("%s has note %d, want %d; CheckServing() = %v, want nil", id, node.feed.Number(), number, err)
			}
		}
		fleet.partition(func(string, string) bool { return false })
		if _, ok := fleet.waitUntil(4*time.Second, servesNote(number)); !ok {
			t.Errorf("not all instances serve note %d within 4 s of the partition's end", number)
		}
	})
}

// TestRestartAmongStalePeersDoesNotServeOldNote restarts an instance that knew
// of a key's withdrawal among three of seven that do not. The four are a
// majority without the store, but must not serve the older note.
func TestRestartAmongStalePeersDoesNotServeOldNote(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, fleet *fleet) {
		stale := func(id string) bool { return id <= instanceID(2) }
		fleet.partition(func(from, to string) bool { return stale(from) != stale(to) })
		number := fleet.withdrawKey(1)
		time.Sleep(settleTime)
		restarted := instanceID(6)
		if fleet.runningNodes()[restarted].feed.Number() != number {
			t.Fatalf("%s does not have note %d after %v", restarted, number, settleTime)
		}
		fleet.kill(restarted)
		inGroup := func(id string) bool { return id <= instanceID(2) || id == restarted }
		fleet.partition(func(from, to string) bool { return to == "store" || to != "list" && inGroup(from) != inGroup(to) })
		fleet.start(restarted)
		for range 20 {
			time.Sleep(time.Second)
			for id, node := range fleet.runningNodes() {
				if node.feed.Number() < number && node.feed.CheckServing() == nil {
					t.Fatalf("%s serves note %d among stale peers, want none below %d", id, node.feed.Number(), number)
				}
			}
		}
	})
}

func TestRestartDuringStoreOutageServesWithMajority(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, fleet *fleet) {
		fleet.partition(func(_, to string) bool { return to == "store" })
		for i := range 7 {
			time.Sleep(settleTime)
			fleet.kill(instanceID(i))
			fleet.start(instanceID(i))
			if _, ok := fleet.waitUntil(settleTime, servesNote(1)); !ok {
				t.Fatalf("not all instances serve note 1 within %v of restart %d", settleTime, i+1)
			}
		}
	})
}

// TestServingUnderRandomPartitions partitions the fleet at random while notes are
// published and instances restart. Instances in a group that reaches the store
// must serve the newest note, those in a group without the store and with at
// most half of the instances must not serve, and no instance may return to an
// older note.
func TestServingUnderRandomPartitions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(3, 8).Draw(rt, "instances")
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { checkRandomPartitions(t, count, rand.New(rand.NewPCG(seed, 0))) })
	})
}

func checkRandomPartitions(t *testing.T, count int, random *rand.Rand) {
	fleet := newFleet(t, count)
	defer fleet.stop()
	time.Sleep(settleTime)
	number := uint64(1)
	lastNumbers := map[string]uint64{}
	for range 6 {
		groups, storeReachable := map[string]int{}, [3]bool{}
		sizes := [3]int{}
		for i := range count {
			groups[instanceID(i)] = random.IntN(3)
			sizes[groups[instanceID(i)]]++
		}
		for group := range storeReachable {
			storeReachable[group] = random.IntN(2) == 0
		}
		fleet.partition(func(from, to string) bool {
			if to == "store" {
				return !storeReachable[groups[from]]
			}
			return to != "list" && groups[from] != groups[to]
		})
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		if random.IntN(2) == 0 {
			number = fleet.publish(nextNoteJSON(number))
		}
		if id := instanceID(random.IntN(count)); random.IntN(3) == 0 {
			fleet.kill(id)
			fleet.start(id)
			delete(lastNumbers, id)
		}
		time.Sleep(settleTime + time.Second)
		for id, node := range fleet.runningNodes() {
			group, err := groups[id], node.feed.CheckServing()
			if node.feed.Number() < lastNumbers[id] {
				t.Errorf("%s returned from note %d to %d", id, lastNumbers[id], node.feed.Number())
			}
			lastNumbers[id] = node.feed.Number()
			switch {
			case storeReachable[group] && (err != nil || node.feed.Number() != number):
				t.Errorf("%s reaches the store and has note %d, want %d; CheckServing() = %v, want nil", id, node.feed.Number(), number, err)
			case !storeReachable[group] && sizes[group]*2 <= count && err == nil:
				t.Errorf("%s serves without the store in a group of %d of %d instances", id, sizes[group], count)
			}
		}
	}
}

func nextNoteJSON(after uint64) string {
	data, _ := testNote(after, "next").Encode()
	return string(data)
}
