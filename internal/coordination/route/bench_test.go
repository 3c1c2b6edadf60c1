package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/coordination/route"
)

var pickers = []struct {
	name string
	make func(*rand.Rand) route.Picker
}{
	{"cost", func(random *rand.Rand) route.Picker { return route.NewCostPicker(route.WithRandSource(random.Uint64)) }},
	{"round-robin", func(*rand.Rand) route.Picker { return &route.RoundRobin{} }},
	{"random", func(random *rand.Rand) route.Picker { return &route.Random{RandSource: random.Uint64} }},
	{"least-outstanding", func(random *rand.Rand) route.Picker { return &route.LeastOutstanding{RandSource: random.Uint64} }},
}

// BenchmarkFirstToken compares the time to the first token and the cache hit ratio
// of the pickers in a simulation, with and without shared prefixes, at several
// lags of reports and cache events.
func BenchmarkFirstToken(b *testing.B) {
	for _, uniquePrompts := range []bool{false, true} {
		for _, lagMS := range []int{20, 100, 500} {
			for _, picker := range pickers {
				b.Run(fmt.Sprintf("unique=%v/lag=%dms/%s", uniquePrompts, lagMS, picker.name), func(b *testing.B) {
					for range b.N {
						reportFirstToken(b, picker.make, uniquePrompts, time.Duration(lagMS)*time.Millisecond)
					}
				})
			}
		}
	}
}

func reportFirstToken(b *testing.B, newPicker func(*rand.Rand) route.Picker, uniquePrompts bool, lag time.Duration) {
	const seeds, requests, ratePerSecond = 5, 8000, 20
	var meanMS, p99MS, hitRatio float64
	for seed := range uint64(seeds) {
		simulation := newSimulation(seed+1, lag, newPicker)
		simulation.uniquePrompts = uniquePrompts
		runMeanMS, runP99MS, runHitRatio := simulation.run(requests, ratePerSecond)
		meanMS, p99MS, hitRatio = meanMS+runMeanMS/seeds, p99MS+runP99MS/seeds, hitRatio+runHitRatio/seeds
	}
	b.ReportMetric(meanMS, "ttft-mean-ms")
	b.ReportMetric(p99MS, "ttft-p99-ms")
	b.ReportMetric(100*hitRatio, "hit-%")
}

// BenchmarkPick measures CostPicker.Pick, with the start and end of the request,
// by the number of targets.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{12, 128, 12000} {
		table := newTable(count)
		request := &route.Request{Model: "guide", PromptTokens: 4096, Repeatable: true, BlockHashes: make([]uint64, 64)}
		for i := range request.BlockHashes {
			request.BlockHashes[i] = uint64(i+1) * 0x9e3779b97f4a7c15
		}
		picker := route.NewCostPicker()
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					view := table.View()
					choice, err := picker.Pick(view, request)
					if err != nil {
						b.Fatal(err)
					}
					view.StartRequest(choice)
					choice.Release()
				}
			})
		})
	}
}

// BenchmarkPublish measures SetTargets by the number of targets.
func BenchmarkPublish(b *testing.B) {
	for _, count := range []int{12, 128, 12000} {
		targets := newTargets(count)
		table := route.NewTable(route.WithInstance("entry-1"))
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				table.SetTargets(targets)
			}
		})
	}
}

func newTargets(count int) []route.Target {
	targets := make([]route.Target, count)
	for i := range targets {
		targets[i].Target = engineTarget(i)
		targets[i].DataCenter = fmt.Sprint("dc", i%40)
	}
	return targets
}

func newTable(count int) *route.Table {
	table := route.NewTable(route.WithInstance("entry-1"))
	table.SetTargets(newTargets(count))
	return table
}
