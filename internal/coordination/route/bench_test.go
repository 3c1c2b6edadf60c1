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
	{"cost", func(random *rand.Rand) route.Picker { return route.New(route.WithRandom(random.Uint64)) }},
	{"round-robin", func(*rand.Rand) route.Picker { return &route.RoundRobin{} }},
	{"random", func(random *rand.Rand) route.Picker { return &route.Random{Source: random.Uint64} }},
	{"least-outstanding", func(random *rand.Rand) route.Picker { return &route.LeastOutstanding{Source: random.Uint64} }},
}

// BenchmarkFirstToken measures the pickers on one workload, over seeds: with
// prompts that share prefixes, and with prompts that don't.
func BenchmarkFirstToken(b *testing.B) {
	for _, unique := range []bool{false, true} {
		for _, lagMS := range []int{20, 100, 500} {
			for _, picker := range pickers {
				b.Run(fmt.Sprintf("unique=%v/lag=%dms/%s", unique, lagMS, picker.name), func(b *testing.B) {
					for range b.N {
						reportFirstToken(b, picker.make, unique, time.Duration(lagMS)*time.Millisecond)
					}
				})
			}
		}
	}
}

func reportFirstToken(b *testing.B, picker func(*rand.Rand) route.Picker, unique bool, lag time.Duration) {
	const seeds, requests, perSecond = 5, 8000, 20
	var mean, p99, hits float64
	for seed := range uint64(seeds) {
		fleet := newFleet(seed+1, lag, picker)
		fleet.unique = unique
		m, p, h := fleet.run(requests, perSecond)
		mean, p99, hits = mean+m/seeds, p99+p/seeds, hits+h/seeds
	}
	b.ReportMetric(mean, "ttft-mean-ms")
	b.ReportMetric(p99, "ttft-p99-ms")
	b.ReportMetric(100*hits, "hit-%")
}

// BenchmarkPick measures one decision.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{12, 128, 12000} {
		table := bigTable(count)
		request := &route.Request{Model: "guide", PromptTokens: 4096, Repeatable: true, Blocks: make([]uint64, 64)}
		for i := range request.Blocks {
			request.Blocks[i] = uint64(i+1) * 0x9e3779b97f4a7c15
		}
		picker := route.New()
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					view := table.View()
					choice, err := picker.Pick(view, request)
					if err != nil {
						b.Fatal(err)
					}
					view.Start(choice)
					choice.Done()
				}
			})
		})
	}
}

// BenchmarkPublish measures taking in a list of targets.
func BenchmarkPublish(b *testing.B) {
	for _, count := range []int{12, 128, 12000} {
		targets := manyTargets(count)
		table := route.NewTable(route.WithInstance("entry-1"))
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				table.SetTargets(targets)
			}
		})
	}
}

func manyTargets(count int) []route.Target {
	targets := make([]route.Target, count)
	for i := range targets {
		targets[i].Target = engineTarget(i)
		targets[i].DataCenter = fmt.Sprint("dc", i%40)
	}
	return targets
}

func bigTable(count int) *route.Table {
	table := route.NewTable(route.WithInstance("entry-1"))
	table.SetTargets(manyTargets(count))
	return table
}
