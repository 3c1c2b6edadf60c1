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

// settle is the time after which the rule must show: FreshLimit, and one
// rotation of exchanges.
const settle = feed.FreshLimit + 2*time.Second

func TestCutOffInstanceRefusesWithdrawnKey(t *testing.T) {
	inFleet(t, 7, func(t *testing.T, fleet *fleet) {
		alone := func(id string) bool { return id <= name(1) }
		fleet.partition(func(from, to string) bool { return alone(from) != alone(to) })
		number := fleet.withdraw(1)
		time.Sleep(feed.FreshLimit)
		for id, node := range fleet.snapshot() {
			err := node.feed.Serving()
			switch {
			case alone(id) && !code.Is(err, code.InstanceIsolated):
				t.Errorf("%s is cut off and serves note %d: %v", id, node.feed.Number(), err)
			case !alone(id) && (err != nil || node.feed.Number() != number):
				t.Errorf("%s serves note %d: %v", id, node.feed.Number(), err)
			}
		}
		fleet.partition(func(string, string) bool { return false })
		if _, ok := fleet.until(4*time.Second, serves(number)); !ok {
			t.Error("instances do not come back")
		}
	})
}

// TestRestartAmongOldPeersDoesNotRevert starts an instance that knew of a
// withdrawal among three of seven that do not: together they are a majority.
func TestRestartAmongOldPeersDoesNotRevert(t *testing.T) {
	inFleet(t, 7, func(t *testing.T, fleet *fleet) {
		old := func(id string) bool { return id <= name(2) }
		fleet.partition(func(from, to string) bool { return old(from) != old(to) })
		number := fleet.withdraw(1)
		time.Sleep(settle)
		last := name(6)
		if fleet.snapshot()[last].feed.Number() != number {
			t.Fatal("note is not in force")
		}
		fleet.kill(last)
		amongOld := func(id string) bool { return id <= name(2) || id == last }
		fleet.partition(func(from, to string) bool { return to == "store" || to != "list" && amongOld(from) != amongOld(to) })
		fleet.start(last)
		for range 20 {
			time.Sleep(time.Second)
			for id, node := range fleet.snapshot() {
				if node.feed.Number() < number && node.feed.Serving() == nil {
					t.Fatalf("%s serves note %d among old peers", id, node.feed.Number())
				}
			}
		}
	})
}

func TestRestartInOutageServesWithMajority(t *testing.T) {
	inFleet(t, 7, func(t *testing.T, fleet *fleet) {
		fleet.partition(func(_, to string) bool { return to == "store" })
		for i := range 7 {
			time.Sleep(settle)
			fleet.kill(name(i))
			fleet.start(name(i))
			if _, ok := fleet.until(settle, serves(1)); !ok {
				t.Fatalf("the fleet does not serve after %d restarts", i+1)
			}
		}
	})
}

// TestPartitions splits the fleet at random while keys are withdrawn and
// instances start anew. The oracle knows each group's reach: one that has the
// store is current, one with at most half of the instances and no store
// refuses, and no instance goes back.
func TestPartitions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(3, 8).Draw(rt, "instances")
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) { split(t, count, rand.New(rand.NewPCG(seed, 0))) })
	})
}

func split(t *testing.T, count int, random *rand.Rand) {
	fleet := newFleet(t, count)
	defer fleet.stop()
	time.Sleep(settle)
	number := uint64(1)
	known := map[string]uint64{}
	for range 6 {
		groups, storeOf := map[string]int{}, [3]bool{}
		size := [3]int{}
		for i := range count {
			groups[name(i)] = random.IntN(3)
			size[groups[name(i)]]++
		}
		for group := range storeOf {
			storeOf[group] = random.IntN(2) == 0
		}
		fleet.partition(func(from, to string) bool {
			if to == "store" {
				return !storeOf[groups[from]]
			}
			return to != "list" && groups[from] != groups[to]
		})
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		if random.IntN(2) == 0 {
			number = fleet.publish(release1(number))
		}
		if id := name(random.IntN(count)); random.IntN(3) == 0 {
			fleet.kill(id)
			fleet.start(id)
			delete(known, id)
		}
		time.Sleep(settle + time.Second)
		for id, node := range fleet.snapshot() {
			group, err := groups[id], node.feed.Serving()
			if node.feed.Number() < known[id] {
				t.Errorf("%s went back from %d to %d", id, known[id], node.feed.Number())
			}
			known[id] = node.feed.Number()
			switch {
			case storeOf[group] && (err != nil || node.feed.Number() != number):
				t.Errorf("%s reaches the store and has %d of %d: %v", id, node.feed.Number(), number, err)
			case !storeOf[group] && size[group]*2 <= count && err == nil:
				t.Errorf("%s serves in a group of %d of %d without the store", id, size[group], count)
			}
		}
	}
}

func release1(after uint64) string {
	data, _ := release(after, "next").Encode()
	return string(data)
}
