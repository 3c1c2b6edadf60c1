package feed_test

import (
	"flag"
	"testing"
	"time"
)

var instances = flag.Int("instances", 7, "size of the fleet in TestSpread")

// TestSpread measures with -v and -instances.
func TestSpread(t *testing.T) {
	inFleet(t, *instances, func(t *testing.T, fleet *fleet) {
		time.Sleep(10 * time.Second)
		reads, bytes, begin := fleet.store.Counts().Reads, fleet.sent(), time.Now()
		const quiet = 20 * time.Second
		time.Sleep(quiet)
		t.Logf("%d instances: store reads %.1f/s, sent %.1f KB/s per instance", *instances,
			float64(fleet.store.Counts().Reads-reads)/time.Since(begin).Seconds(),
			float64(fleet.sent()-bytes)/time.Since(begin).Seconds()/float64(*instances)/1000)
		reads = fleet.store.Counts().Reads
		number := fleet.withdraw(1)
		took, ok := fleet.until(4*time.Second, serves(number))
		t.Logf("note in force everywhere after %v, %d store reads in that time", took, fleet.store.Counts().Reads-reads)
		if !ok {
			t.Fatal("note is not in force everywhere after 4 s")
		}
		fleet.partition(func(_, to string) bool { return to == "store" })
		time.Sleep(20 * time.Second)
		if _, ok := fleet.until(0, serves(number)); !ok {
			t.Error("the fleet stopped serving when the store was lost to all")
		}
		number = fleet.publish(`{"after": 2, "teams": {"set": [{"name": "guides"}]}}`)
		reads = fleet.store.Counts().Reads
		fleet.partition(func(_, _ string) bool { return false })
		took, ok = fleet.until(8*time.Second, serves(number))
		t.Logf("after the store's return: everywhere after %v, %d store reads in that time", took, fleet.store.Counts().Reads-reads)
		if !ok {
			t.Fatal("note is not in force everywhere 8 s after the store's return")
		}
	})
}
