package origin_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/origin"
)

// Guards against streams that nobody keeps, or that are lost with one data centre.
func TestKeepersAreOtherInstancesInTwoDataCenters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, centers := []origin.Member{}, map[string]string{}
		for i := range rapid.IntRange(1, 40).Draw(t, "members") {
			instance, center := fmt.Sprint("i", i), fmt.Sprint("dc", rapid.IntRange(0, 3).Draw(t, "data center"))
			members, centers[instance] = append(members, origin.NewMember(instance, center)), center
		}
		hash := rapid.Uint64().Draw(t, "hash")
		sender := members[rapid.IntRange(0, len(members)-1).Draw(t, "sender")].Instance
		others := map[string]bool{} // data centres of other instances
		for _, member := range members {
			if member.Instance != sender {
				others[member.DataCenter] = true
			}
		}
		keepers := origin.Keepers(hash, members, sender)
		if len(keepers) != min(2, len(members)-1) || slices.Contains(keepers, sender) {
			t.Fatalf("Keepers() = %v of %d members without %s, want two others", keepers, len(members), sender)
		}
		if len(keepers) == 2 && (keepers[0] == keepers[1] || (len(others) > 1 && centers[keepers[0]] == centers[keepers[1]])) {
			t.Errorf("Keepers() = %v in %s and %s, want two data centres", keepers, centers[keepers[0]], centers[keepers[1]])
		}
	})
}

// keeperSite is a few instances whose datagrams take a millisecond or get lost.
type keeperSite struct {
	members []origin.Member

	mutex    sync.Mutex
	trackers map[string]*origin.Tracker
	lost     func(from, to string) bool // called with the mutex held
}

// keeperPeers is the view of one instance.
type keeperPeers struct {
	site *keeperSite
	self string
}

func newKeeperSite(count int) *keeperSite {
	site := &keeperSite{trackers: map[string]*origin.Tracker{}, lost: func(string, string) bool { return false }}
	for i := range count {
		name := fmt.Sprint("i", i)
		site.members = append(site.members, origin.NewMember(name, fmt.Sprint("dc", i%3)))
		site.start(name)
	}
	return site
}

// start starts an instance, or starts it again.
func (site *keeperSite) start(name string) {
	tracker := newTracker(origin.WithFirstStart(), origin.WithPeers(name, keeperPeers{site, name}))
	tracker.SetTargets(targets("v1", "v2"))
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.trackers[name] = tracker
}

// tracker returns the tracker of an instance, nil if it was killed.
func (site *keeperSite) tracker(name string) *origin.Tracker {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	return site.trackers[name]
}

func (site *keeperSite) kill(name string) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	delete(site.trackers, name)
}

func (site *keeperSite) isLost(from, to string) bool {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	return site.lost(from, to)
}

// lose has the next datagrams get lost.
func (site *keeperSite) lose(count int) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.lost = func(string, string) bool {
		count--
		return count >= 0
	}
}

func (site *keeperSite) send(from, to string, receive func(*origin.Tracker)) {
	if site.isLost(from, to) {
		return
	}
	time.AfterFunc(time.Millisecond, func() {
		if tracker := site.tracker(to); tracker != nil {
			receive(tracker)
		}
	})
}

func (peers keeperPeers) Members() []origin.Member { return peers.site.members }

func (peers keeperPeers) Tell(instances []string, streams origin.Streams) {
	for _, instance := range instances {
		peers.site.send(peers.self, instance, func(tracker *origin.Tracker) { tracker.Keep(streams) })
	}
}

func (peers keeperPeers) Ask(instances []string, hash uint64) {
	for _, instance := range instances {
		peers.site.send(peers.self, instance, func(tracker *origin.Tracker) {
			if known := tracker.Kept([]uint64{hash}); len(known) > 0 {
				peers.site.send(instance, peers.self, func(asker *origin.Tracker) { asker.Keep(known...) })
			}
		})
	}
}

// An instance is killed within a heartbeat of the first event of its streams, so that no report
// tells them. Guards against streams that cannot be taken up then (LOST), and against going on
// at another version (ORDER).
func TestStreamsOutliveTheirInstance(t *testing.T) {
	for _, count := range []int{2, 3, 7, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newKeeperSite(count)
				begun := map[string]string{}
				for i := range 40 {
					attempt, version := fmt.Sprint("stream-", i), fmt.Sprint("v", 1+i%2)
					site.tracker("i0").Record(service, attempt, version)
					begun[attempt] = version
				}
				time.Sleep(2 * time.Millisecond)
				site.kill("i0")
				for i := 1; i < count; i++ {
					name := fmt.Sprint("i", i)
					tracker := site.tracker(name)
					for attempt, want := range begun {
						version, ok := tracker.Await(t.Context(), service, attempt, 250*time.Millisecond)
						if version != want || !ok {
							t.Errorf("Await(%s) at %s = %q, %t, want %s", attempt, name, version, ok, want)
						}
					}
				}
				if version, ok := site.tracker("i1").Await(t.Context(), service, "unknown", 250*time.Millisecond); ok {
					t.Errorf("Await() of a stream that nobody knows = %s, want none", version)
				}
			})
		})
	}
}

// Datagrams get lost, and the first keeper is started again. A second question, or the other
// keeper, has to make up for each.
func TestStreamIsFoundDespiteLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newKeeperSite(7)
		for i := range 20 {
			attempt := fmt.Sprint("stream-", i)
			site.lose(1) // to the first keeper
			site.tracker("i0").Record(service, attempt, "v2")
			time.Sleep(2 * time.Millisecond)
			site.lose(4) // the first questions
			taker := site.tracker("i1")
			if version, ok := taker.Await(t.Context(), service, attempt, 250*time.Millisecond); version != "v2" || !ok {
				t.Errorf("Await(%s) with losses = %q, %t, want v2", attempt, version, ok)
			}
		}
		for i := range 20 {
			attempt, restarted := fmt.Sprint("again-", i), fmt.Sprint("i", 2+i%5)
			site.lose(0)
			site.tracker("i0").Record(service, attempt, "v1")
			time.Sleep(2 * time.Millisecond)
			site.start(restarted)
			if version, ok := site.tracker("i1").Await(t.Context(), service, attempt, 250*time.Millisecond); version != "v1" || !ok {
				t.Errorf("Await(%s) after a restart of %s = %q, %t, want v1", attempt, restarted, version, ok)
			}
		}
	})
}

// A single version is in service. Guards against datagrams that no decision needs.
func TestKeepersAreNotToldWhileOneVersionServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newKeeperSite(3)
		for _, tracker := range site.trackers {
			tracker.SetTargets(targets("v1"))
		}
		time.Sleep(memory + time.Millisecond) // v2 has left
		sent := 0
		site.lost = func(string, string) bool { sent++; return false }
		site.tracker("i0").SetTargets(targets("v1"))
		site.tracker("i0").Record(service, "a", "v1")
		if version, ok := site.tracker("i1").Await(t.Context(), service, "a", time.Second); version != "v1" || !ok || sent > 0 {
			t.Errorf("Await() = %q, %t with %d datagrams, want v1 with none", version, ok, sent)
		}
	})
}

// Reports tell all streams of a large site. Guards against forgetting the few that this
// instance keeps over them.
func TestKeptStreamsOutlastReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(origin.WithFirstStart())
		tracker.SetTargets(targets("v1", "v2"))
		tracker.Record(service, "a", "v2")
		for batch := range uint64(30) {
			hashes := make([]uint64, 10_000)
			for i := range hashes {
				hashes[i] = batch*10_000 + uint64(i)
			}
			tracker.Merge(origin.Report{Streams: []origin.Streams{{Service: service, Version: "v1", Hashes: hashes}}})
		}
		expect(t, tracker, "after reports of 300,000 streams", "a", "v2")
	})
}
