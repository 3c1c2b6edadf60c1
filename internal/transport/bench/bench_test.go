package bench_test

import (
	"bytes"
	"context"
	"flag"
	"image/png"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/bench"
)

var update = flag.Bool("update", false, "write the golden files")

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestArrivals(t *testing.T) {
	workload := bench.Workload{
		Duration: 400 * time.Second,
		Teams: []bench.TeamLoad{
			{Team: "press", Rate: 20, Surge: bench.Surge{From: 100 * time.Second, Until: 200 * time.Second, Factor: 5}},
			{Team: "council", Rate: 5},
			{Team: "idle"},
		},
		Mixes: []bench.Mix{{PromptTokens: 300, OutputTokens: 50}, {From: 200 * time.Second, PromptTokens: 60, OutputTokens: 200, Prefixes: 4, PrefixTokens: 9}},
	}
	arrivals := slices.Collect(bench.Arrivals(workload, 7))
	if !slices.Equal(arrivals, slices.Collect(bench.Arrivals(workload, 7))) {
		t.Fatal("the same seed gives other arrivals")
	}
	if slices.Equal(arrivals, slices.Collect(bench.Arrivals(workload, 8))) {
		t.Fatal("another seed gives the same arrivals")
	}
	if !slices.IsSortedFunc(arrivals, func(a, b bench.Arrival) int { return int(a.At - b.At) }) {
		t.Fatal("arrivals are out of order")
	}
	half := 200 * time.Second
	near(t, "press before", count(arrivals, "press", 0, half/2), 2000)
	near(t, "press in its surge", count(arrivals, "press", half/2, half), 10000)
	near(t, "press after", count(arrivals, "press", half, 2*half), 4000)
	near(t, "council", count(arrivals, "council", 0, 2*half), 2000)
	near(t, "idle", count(arrivals, "idle", 0, 2*half), 0)
	near(t, "prompt before", meanPrompt(arrivals, 0, half), 300)
	near(t, "prompt after", meanPrompt(arrivals, half, 2*half), 60)
}

// near fails if a value is further than a twelfth from what is expected.
func near(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > want/12 {
		t.Errorf("%s: got %.0f, want about %.0f", name, got, want)
	}
}

func count(arrivals []bench.Arrival, team string, from, until time.Duration) float64 {
	count := 0.0
	for _, arrival := range arrivals {
		if arrival.Team == team && arrival.At >= from && arrival.At < until {
			count++
		}
	}
	return count
}

func meanPrompt(arrivals []bench.Arrival, from, until time.Duration) float64 {
	sum, count := 0.0, 0.0
	for _, arrival := range arrivals {
		if arrival.At >= from && arrival.At < until {
			sum += float64(arrival.PromptTokens)
			count++
		}
	}
	return sum / count
}

func TestMergedLatencyEqualsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SliceOf(rapid.Int64Range(-1, 700_000_000))).Draw(t, "parts")
		whole, merged := bench.NewLatency(), bench.NewLatency()
		for _, part := range parts {
			latency := bench.NewLatency()
			for _, microseconds := range part {
				latency.Record(time.Duration(microseconds) * time.Microsecond)
				whole.Record(time.Duration(microseconds) * time.Microsecond)
			}
			merged.Merge(latency)
		}
		for _, share := range []float64{0, 0.5, 0.99, 1} {
			if merged.Quantile(share) != whole.Quantile(share) || merged.Count() != whole.Count() {
				t.Fatalf("quantile %v: %v of %d, want %v of %d", share, merged.Quantile(share), merged.Count(), whole.Quantile(share), whole.Count())
			}
		}
	})
}

// twoVariants is a scenario of models with known figures.
func twoVariants() bench.Scenario {
	model := func(goodput float64) func(uint64) bench.Sample {
		return func(seed uint64) bench.Sample {
			value := goodput - float64(seed)
			return bench.Sample{
				Measures: []bench.Measure{{Name: "goodput", Unit: "%", Value: value}, {Name: "changes", Value: 12345}},
				Timeline: []bench.Point{{Seconds: 0, Goodput: 1}, {Seconds: 1, Goodput: value / 100}},
			}
		}
	}
	return bench.Scenario{Name: "two", Variants: []bench.Variant{
		{Name: "ours", Model: model(99.75)},
		{Name: "never", Baseline: true, Model: model(50)},
	}}
}

func TestOutput(t *testing.T) {
	var progress, table, document, image bytes.Buffer
	result, err := bench.Run(t.Context(), twoVariants(), bench.WithSeeds(1, 2), bench.WithProgress(&progress))
	for _, err := range []error{err, result.WriteTable(&table), result.WriteJSON(&document), result.WritePlot(&image)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	golden(t, "progress.txt", progress.String())
	golden(t, "table.txt", table.String())
	golden(t, "result.json", document.String())
	if _, err := png.Decode(&image); err != nil {
		t.Fatal(err)
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("%s: %v, got\n%s", name, err, got)
	}
}

func TestRunNeedsSystem(t *testing.T) {
	scenario, _ := bench.Find("steady")
	if _, err := bench.Run(t.Context(), scenario); !code.Is(err, code.CommandInvalid) {
		t.Fatalf("got %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := bench.Run(ctx, twoVariants()); !code.Is(err, code.CommandInvalid) {
		t.Fatalf("after a cancel: %v", err)
	}
}

func TestScenariosAreNamedAndCompared(t *testing.T) {
	name := regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	seen := map[string]bool{}
	for _, scenario := range bench.Scenarios() {
		if !name.MatchString(scenario.Name) || seen[scenario.Name] || !strings.HasSuffix(scenario.Description, ".") {
			t.Errorf("scenario %q is unnamed, repeated or not described", scenario.Name)
		}
		seen[scenario.Name] = true
		if len(scenario.Variants) == 0 || scenario.Variants[0].Baseline {
			t.Errorf("scenario %q does not begin with ours", scenario.Name)
		}
		for _, variant := range scenario.Variants {
			if (variant.Model == nil) == (variant.Workload.Duration == 0) {
				t.Errorf("%s/%s has not just one of model and workload", scenario.Name, variant.Name)
			}
		}
	}
}

// TestPoliciesKeepTheirLead runs one seed of models and checks what the
// policies promise against their baselines.
func TestPoliciesKeepTheirLead(t *testing.T) {
	step := means(t, "roles-step")
	if step["persistence"]["goodput"] <= max(step["never"]["goodput"], step["threshold"]["goodput"]) ||
		step["persistence"]["changes"] >= step["threshold"]["changes"] {
		t.Errorf("roles-step: %v", step)
	}
	reclaim := means(t, "fleet-reclaim")
	planner := reclaim["planner"]
	if planner["paid"] >= reclaim["fixed"]["paid"] || planner["goodput"] < 99.9 || planner["cut calls"] != 0 || planner["reclaimed"] == 0 {
		t.Errorf("fleet-reclaim: %v", reclaim)
	}
	weights := means(t, "weights")
	for _, baseline := range []string{"all at once", "one at a time"} {
		if ours := weights["shortest remaining"]; ours["mean end of changes"] >= weights[baseline]["mean end of changes"] || ours["not served"] > 0 {
			t.Errorf("weights: %v", weights)
		}
	}
}

// means returns the measures of a scenario by variant and name.
func means(t *testing.T, name string) map[string]map[string]float64 {
	scenario, _ := bench.Find(name)
	result, err := bench.Run(t.Context(), scenario, bench.WithSeeds(1))
	if err != nil {
		t.Fatal(err)
	}
	means := map[string]map[string]float64{}
	for _, row := range result.Rows {
		means[row.Variant] = map[string]float64{}
		for _, measure := range row.Measures {
			means[row.Variant][measure.Name] = measure.Mean
		}
	}
	return means
}

// BenchmarkPolicies reports the measures of all variants that are models, as
// means over seeds.
func BenchmarkPolicies(b *testing.B) {
	for _, scenario := range bench.Scenarios() {
		for _, variant := range scenario.Variants {
			if variant.Model == nil {
				continue
			}
			b.Run(scenario.Name+"/"+variant.Name, func(b *testing.B) {
				single := bench.Scenario{Name: scenario.Name, Variants: []bench.Variant{variant}}
				for b.Loop() {
					result, err := bench.Run(b.Context(), single)
					if err != nil {
						b.Fatal(err)
					}
					for _, measure := range result.Rows[0].Measures {
						b.ReportMetric(measure.Mean, strings.ReplaceAll(measure.Name+"/"+measure.Unit, " ", "-"))
					}
				}
			})
		}
	}
}
