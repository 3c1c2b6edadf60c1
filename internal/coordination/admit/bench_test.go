package admit_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
)

type admissionPolicy struct {
	name string
	run  func(workload workload, arrivals []*arrival, start time.Time)
}

var admissionPolicies = []admissionPolicy{
	{"fair", func(w workload, arrivals []*arrival, start time.Time) { runSchedulers(w, arrivals, start, false, true) }},
	{"fair-silent", func(w workload, arrivals []*arrival, start time.Time) {
		runSchedulers(w, arrivals, start, false, false)
	}},
	{"first-come", func(w workload, arrivals []*arrival, start time.Time) { runSchedulers(w, arrivals, start, true, false) }},
	{"token-bucket", runTokenBuckets},
}

func runSchedulers(workload workload, arrivals []*arrival, start time.Time, firstCome, exchange bool) {
	fleet := &fleet{now: start}
	var all []*schedulerInstance
	for range workload.instances {
		scheduler := admit.NewScheduler(
			admit.WithCapacity(fleetCapacity), admit.WithInstanceCount(workload.instances),
			admit.WithRate(fleetCapacity/float64(workload.instances)), admit.WithQueueLimits(256, 1024))
		instance := &schedulerInstance{fleet: fleet, scheduler: scheduler, firstCome: firstCome, waiting: map[*admit.Ticket]*arrival{}}
		all = append(all, instance)
		fleet.instances = append(fleet.instances, instance)
	}
	if !exchange {
		fleet.run(arrivals, nil)
		return
	}
	fleet.run(arrivals, func(now time.Time) { rebalanceAll(now, all) })
}

func rebalanceAll(now time.Time, all []*schedulerInstance) {
	peers := make([]admit.PeerDemand, len(all))
	for i, instance := range all {
		peers[i] = admit.PeerDemand{Instance: fmt.Sprint(i), ReportedAt: now, Demands: instance.scheduler.Demands()}
	}
	for i, instance := range all {
		others := slices.Concat(peers[:i], peers[i+1:])
		instance.scheduler.Rebalance(now, len(all), others)
		instance.dispatch(now)
	}
}

func runTokenBuckets(workload workload, arrivals []*arrival, start time.Time) {
	fleet := &fleet{now: start}
	rate := fleetCapacity / float64(workload.teams*workload.instances)
	for range workload.instances {
		bucket := admit.NewTokenBucket(rate, max(4, 2*rate))
		fleet.instances = append(fleet.instances, &bucketInstance{fleet, bucket})
	}
	fleet.run(arrivals, nil)
}

// BenchmarkFlood measures the other teams while one floods: the served fraction
// of the worst-served team, the served fraction and the 99th percentile of the
// wait over all of them, and the cost units served per second to all teams, which
// shows how well the targets are used.
func BenchmarkFlood(b *testing.B) {
	const seeds = 5
	for _, instances := range []int{1, 7} {
		for _, teams := range []int{8, 4700} {
			for _, policy := range admissionPolicies {
				b.Run(fmt.Sprintf("entries=%d/teams=%d/%s", instances, teams, policy.name), func(b *testing.B) {
					for range b.N {
						var total floodResult
						for seed := range uint64(seeds) {
							workload := workload{teams: teams, instances: instances, floodFactor: 3, duration: time.Minute}
							start := time.UnixMilli(1e12)
							arrivals := workload.generate(seed+1, start)
							policy.run(workload, arrivals, start)
							total.addMean(newFloodResult(arrivals), seeds)
						}
						b.ReportMetric(100*total.worstServed, "worst-team-served-%")
						b.ReportMetric(100*total.othersServed, "others-served-%")
						b.ReportMetric(1000*total.othersWaitP99, "others-wait-p99-ms")
						b.ReportMetric(total.servedPerSecond, "served-units/s")
					}
				})
			}
		}
	}
}

// TestFloodDoesNotDelayOtherTeams checks that a flood by one team neither refuses
// nor delays the requests of others, and that the flooding team may use their
// unused capacity when the instances exchange demands.
func TestFloodDoesNotDelayOtherTeams(t *testing.T) {
	for seed := range uint64(3) {
		workload := workload{teams: 8, instances: 7, floodFactor: 3, duration: 20 * time.Second}
		var results []floodResult
		for _, policy := range admissionPolicies[:2] {
			start := time.UnixMilli(1e12)
			arrivals := workload.generate(seed+1, start)
			policy.run(workload, arrivals, start)
			results = append(results, newFloodResult(arrivals))
		}
		rebalanced, isolated := results[0], results[1]
		if rebalanced.worstServed < 0.99 || isolated.worstServed < 0.99 || rebalanced.othersWaitP99 > 0.5 {
			t.Errorf("seed %d: with exchange %+v, without %+v, want worstServed >= 0.99 in both, othersWaitP99 <= 0.5 with exchange", seed+1, rebalanced, isolated)
		}
		if rebalanced.servedPerSecond < 1.3*isolated.servedPerSecond {
			t.Errorf("seed %d: %v units/s with exchange, %v without, want a ratio of at least 1.3", seed+1, rebalanced.servedPerSecond, isolated.servedPerSecond)
		}
	}
}

// floodResult holds the served fractions and the wait in seconds of the teams
// that don't flood, and the cost units per second served to all teams.
type floodResult struct {
	worstServed, othersServed, othersWaitP99, servedPerSecond float64
}

func (result *floodResult) addMean(other floodResult, seeds float64) {
	result.worstServed += other.worstServed / seeds
	result.othersServed += other.othersServed / seeds
	result.othersWaitP99 += other.othersWaitP99 / seeds
	result.servedPerSecond += other.servedPerSecond / seeds
}

func newFloodResult(arrivals []*arrival) floodResult {
	demanded, served := map[string]float64{}, map[string]float64{}
	var waits []float64
	var result floodResult
	var allDemanded, allServed float64
	for _, arrival := range arrivals {
		if arrival.arrivedAt.After(arrivals[len(arrivals)-1].arrivedAt.Add(-deadlineMS * time.Millisecond)) {
			continue
		}
		demanded[arrival.team] += arrival.cost
		if arrival.startedAt.IsZero() {
			continue
		}
		served[arrival.team] += arrival.cost
		result.servedPerSecond += arrival.cost
		if arrival.team != "team0" {
			waits = append(waits, arrival.startedAt.Sub(arrival.arrivedAt).Seconds())
		}
	}
	result.worstServed = 1
	for team := range demanded {
		if team == "team0" {
			continue
		}
		allDemanded, allServed = allDemanded+demanded[team], allServed+served[team]
		result.worstServed = min(result.worstServed, served[team]/demanded[team])
	}
	result.servedPerSecond /= arrivals[len(arrivals)-1].arrivedAt.Sub(arrivals[0].arrivedAt).Seconds() - deadlineMS/1000
	slices.Sort(waits)
	result.othersServed = allServed / allDemanded
	if len(waits) > 0 {
		result.othersWaitP99 = waits[len(waits)*99/100]
	}
	return result
}

// BenchmarkAdmit measures one admission with its release.
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

// BenchmarkExchange measures one exchange. Admit blocks during the parts of it
// that hold the queue's lock.
func BenchmarkExchange(b *testing.B) {
	for _, count := range []int{8, 4700} {
		queue := admit.New(admit.WithCapacity(1e9))
		demands := make([]admit.TeamDemand, count)
		for i := range demands {
			demands[i] = admit.TeamDemand{Team: fmt.Sprint("team", i), Weight: 1, Cost: 10}
			if _, err := queue.Admit(context.Background(), admit.Request{Team: demands[i].Team, Cost: 1}); err != nil {
				b.Fatal(err)
			}
		}
		peers := make([]admit.PeerDemand, 6)
		for i := range peers {
			peers[i] = admit.PeerDemand{Instance: fmt.Sprint(i), ReportedAt: time.Now().Add(time.Hour), Demands: demands}
		}
		b.Run(fmt.Sprint("teams=", count), func(b *testing.B) {
			for range b.N {
				queue.Rebalance(7, peers)
			}
		})
	}
}
