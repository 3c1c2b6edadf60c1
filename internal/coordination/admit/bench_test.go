package admit_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

type way struct {
	name string
	run  func(workload workload, arrivals []*arrival, start time.Time)
}

var ways = []way{
	{"fair", func(w workload, arrivals []*arrival, start time.Time) { runQueued(w, arrivals, start, false, true) }},
	{"fair-silent", func(w workload, arrivals []*arrival, start time.Time) { runQueued(w, arrivals, start, false, false) }},
	{"first-come", func(w workload, arrivals []*arrival, start time.Time) { runQueued(w, arrivals, start, true, false) }},
	{"token-bucket", runBucketed},
}

func runQueued(workload workload, arrivals []*arrival, start time.Time, firstCome, exchange bool) {
	fleet := &fleet{now: start}
	var all []*queued
	for range workload.entries {
		scheduler := admit.NewScheduler(
			admit.WithCapacity(fleetCapacity), admit.WithMembers(workload.entries),
			admit.WithRate(fleetCapacity/float64(workload.entries)), admit.WithQueue(256, 1024))
		queued := &queued{fleet: fleet, scheduler: scheduler, firstCome: firstCome, waiting: map[*admit.Ticket]*arrival{}}
		all = append(all, queued)
		fleet.instances = append(fleet.instances, queued)
	}
	if !exchange {
		fleet.run(arrivals, nil)
		return
	}
	fleet.run(arrivals, func(now time.Time) { exchangeAll(now, all) })
}

func exchangeAll(now time.Time, all []*queued) {
	peers := make([]admit.Peer, len(all))
	for i, queued := range all {
		peers[i] = admit.Peer{Name: fmt.Sprint(i), At: now, Demands: queued.scheduler.Demand()}
	}
	for i, queued := range all {
		others := slices.Concat(peers[:i], peers[i+1:])
		queued.scheduler.Exchange(now, len(all), others)
		queued.dispatch(now)
	}
}

func runBucketed(workload workload, arrivals []*arrival, start time.Time) {
	fleet := &fleet{now: start}
	rate := fleetCapacity / float64(workload.teams*workload.entries)
	for range workload.entries {
		bucket := admit.NewTokenBucket(rate, max(4, 2*rate))
		fleet.instances = append(fleet.instances, &bucketed{fleet, bucket})
	}
	fleet.run(arrivals, nil)
}

// BenchmarkFlood measures the teams beside one that floods: the served share
// of the worst of them, the served share and the 99th percentile of the wait
// of all of them together, and how full the targets were.
func BenchmarkFlood(b *testing.B) {
	const seeds = 5
	for _, entries := range []int{1, 7} {
		for _, teams := range []int{8, 4700} {
			for _, way := range ways {
				b.Run(fmt.Sprintf("entries=%d/teams=%d/%s", entries, teams, way.name), func(b *testing.B) {
					for range b.N {
						var total measured
						for seed := range uint64(seeds) {
							workload := workload{teams: teams, entries: entries, flood: 3, length: time.Minute}
							start := time.UnixMilli(1e12)
							arrivals := workload.draw(seed+1, start)
							way.run(workload, arrivals, start)
							total.add(measure(arrivals), seeds)
						}
						b.ReportMetric(100*total.worst, "worst-team-served-%")
						b.ReportMetric(100*total.served, "others-served-%")
						b.ReportMetric(1000*total.p99, "others-wait-p99-ms")
						b.ReportMetric(total.units, "served-units/s")
					}
				})
			}
		}
	}
}

// TestFloodLeavesOthersAlone checks that one team's flood costs the others
// nothing, and that the exchange lets it use what they leave.
func TestFloodLeavesOthersAlone(t *testing.T) {
	for seed := range uint64(3) {
		workload := workload{teams: 8, entries: 7, flood: 3, length: 20 * time.Second}
		var results []measured
		for _, way := range ways[:2] {
			start := time.UnixMilli(1e12)
			arrivals := workload.draw(seed+1, start)
			way.run(workload, arrivals, start)
			results = append(results, measure(arrivals))
		}
		exchanged, silent := results[0], results[1]
		if exchanged.worst < 0.99 || silent.worst < 0.99 || exchanged.p99 > 0.5 {
			t.Errorf("seed %d: exchanged %+v, silent %+v", seed+1, exchanged, silent)
		}
		if exchanged.units < 1.3*silent.units {
			t.Errorf("seed %d: %v units/s with the exchange, %v without", seed+1, exchanged.units, silent.units)
		}
	}
}

type measured struct {
	worst, served, p99, units float64
}

func (measured *measured) add(other measured, seeds float64) {
	measured.worst += other.worst / seeds
	measured.served += other.served / seeds
	measured.p99 += other.p99 / seeds
	measured.units += other.units / seeds
}

func measure(arrivals []*arrival) measured {
	asked, served := map[string]float64{}, map[string]float64{}
	var waits []float64
	var result measured
	var allAsked, allServed float64
	for _, arrival := range arrivals {
		if arrival.at.After(arrivals[len(arrivals)-1].at.Add(-deadlineMS * time.Millisecond)) {
			continue
		}
		asked[arrival.team] += arrival.cost
		if arrival.started.IsZero() {
			continue
		}
		served[arrival.team] += arrival.cost
		result.units += arrival.cost
		if arrival.team != "team0" {
			waits = append(waits, arrival.started.Sub(arrival.at).Seconds())
		}
	}
	result.worst = 1
	for team := range asked {
		if team == "team0" {
			continue
		}
		allAsked, allServed = allAsked+asked[team], allServed+served[team]
		result.worst = min(result.worst, served[team]/asked[team])
	}
	result.units /= arrivals[len(arrivals)-1].at.Sub(arrivals[0].at).Seconds() - deadlineMS/1000
	slices.Sort(waits)
	result.served = allServed / allAsked
	if len(waits) > 0 {
		result.p99 = waits[len(waits)*99/100]
	}
	return result
}

// BenchmarkAdmit measures one admission and its release.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{8, 4700} {
		queue := admit.New(admit.WithCapacity(1e9))
		names := make([]string, count)
		for i := range names {
			names[i] = fmt.Sprint("team", i)
		}
		b.Run(fmt.Sprint("teams=", count), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					release, err := queue.Admit(context.Background(), admit.Request{Team: names[i%count], Cost: 1})
					if err != nil {
						b.Fatal(err)
					}
					release(1)
				}
			})
		})
	}
}

// BenchmarkExchange measures one exchange, during which Admit waits in part.
func BenchmarkExchange(b *testing.B) {
	for _, count := range []int{8, 4700} {
		queue := admit.New(admit.WithCapacity(1e9))
		demands := make([]admit.Demand, count)
		for i := range demands {
			demands[i] = admit.Demand{Team: fmt.Sprint("team", i), Weight: 1, Units: 10}
			if _, err := queue.Admit(context.Background(), admit.Request{Team: demands[i].Team, Cost: 1}); err != nil {
				b.Fatal(err)
			}
		}
		peers := make([]admit.Peer, 6)
		for i := range peers {
			peers[i] = admit.Peer{Name: fmt.Sprint(i), At: time.Now().Add(time.Hour), Demands: demands}
		}
		b.Run(fmt.Sprint("teams=", count), func(b *testing.B) {
			for range b.N {
				queue.Exchange(7, peers)
			}
		})
	}
}
