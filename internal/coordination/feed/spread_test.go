package feed_test

import (
	"flag"
	"testing"
	"time"
)

var fleetSize = flag.Int("instances", 7, "size of the fleet in TestSpread")

// TestSpread checks how soon a note reaches all instances, also after a store
// outage. With -v and -instances it logs the times, store reads and traffic.
func TestSpread(t *testing.T) {
	withFleet(t, *fleetSize, func(t *testing.T, fleet *fleet) {
		time.Sleep(10 * time.Second)
		reads, sentBytes, start := fleet.store.Counts().Reads, fleet.totalSentBytes(), time.Now()
		const idleTime = 20 * time.Second
		time.Sleep(idleTime)
		t.Logf("%d instances: store reads %.1f/s, sent %.1f KB/s per instance", *fleetSize,
			float64(fleet.store.Counts().Reads-reads)/time.Since(start).Seconds(),
			float64(fleet.totalSentBytes()-sentBytes)/time.Since(start).Seconds()/float64(*fleetSize)/1000)
		reads = fleet.store.Counts().Reads
		number := fleet.withdrawKey(1)
		took, ok := fleet.waitUntil(4*time.Second, servesNote(number))
		t.Logf("all instances serve the note after %v, %d store reads in that time", took, fleet.store.Counts().Reads-reads)
		if !ok {
			t.Fatalf("not all instances serve note %d within 4 s", number)
		}
		fleet.partition(func(_, to string) bool { return to == "store" })
		time.Sleep(20 * time.Second)
		if _, ok := fleet.waitUntil(0, servesNote(number)); !ok {
			t.Errorf("not all instances serve note %d after 20 s without the store", number)
		}
		number = fleet.publish(`{"after": 2, "teams": {"set": [{"name": "guides"}]}}`)
		reads = fleet.store.Counts().Reads
		fleet.partition(func(_, _ string) bool { return false })
		took, ok = fleet.waitUntil(8*time.Second, servesNote(number))
		t.Logf("after the store outage: all instances serve the note after %v, %d store reads in that time", took, fleet.store.Counts().Reads-reads)
		if !ok {
			t.Fatalf("not all instances serve note %d within 8 s of the store outage's end", number)
		}
	})
}
