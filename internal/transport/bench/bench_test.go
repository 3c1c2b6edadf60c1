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

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestArrivalsFollowRatesAndMixes(t *testing.T) {
	workload := bench.Workload{
		Duration: 400 * time.Second,
		Teams: []bench.TeamLoad{
			{Team: "press", RequestsPerSecond: 20, Surge: bench.Surge{Start: 100 * time.Second, End: 200 * time.Second, RateFactor: 5}},
			{Team: "council", RequestsPerSecond: 5},
			{Team: "idle"},
		},
		Mixes: []bench.Mix{{MeanPromptTokens: 300, MeanOutputTokens: 50}, {Start: 200 * time.Second, MeanPromptTokens: 60, MeanOutputTokens: 200, PrefixCount: 4, PrefixTokens: 9}},
	}
	arrivals := slices.Collect(bench.Arrivals(workload, 7))
	if !slices.Equal(arrivals, slices.Collect(bench.Arrivals(workload, 7))) {
		t.Fatal("two runs with seed 7 give different arrivals, want the same")
	}
	if slices.Equal(arrivals, slices.Collect(bench.Arrivals(workload, 8))) {
		t.Fatal("seeds 7 and 8 give the same arrivals, want different ones")
	}
	if !slices.IsSortedFunc(arrivals, func(a, b bench.Arrival) int { return int(a.At - b.At) }) {
		t.Fatal("arrivals are not sorted by time")
	}
	half := 200 * time.Second
	checkNear(t, "requests of press before its surge", countArrivals(arrivals, "press", 0, half/2), 2000)
	checkNear(t, "requests of press during its surge", countArrivals(arrivals, "press", half/2, half), 10000)
	checkNear(t, "requests of press after its surge", countArrivals(arrivals, "press", half, 2*half), 4000)
	checkNear(t, "requests of council", countArrivals(arrivals, "council", 0, 2*half), 2000)
	checkNear(t, "requests of idle", countArrivals(arrivals, "idle", 0, 2*half), 0)
	checkNear(t, "mean prompt tokens of the first mix", meanPromptTokens(arrivals, 0, half), 300)
	checkNear(t, "mean prompt tokens of the second mix", meanPromptTokens(arrivals, half, 2*half), 60)
}

// checkNear fails if got differs from want by more than a twelfth of it.
func checkNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > want/12 {
		t.Errorf("%s = %.0f, want %.0f within a twelfth", name, got, want)
	}
}

func countArrivals(arrivals []bench.Arrival, team string, from, until time.Duration) float64 {
	count := 0.0
	for _, arrival := range arrivals {
		if arrival.Team == team && arrival.At >= from && arrival.At < until {
			count++
		}
	}
	return count
}

func meanPromptTokens(arrivals []bench.Arrival, from, until time.Duration) float64 {
	sum, count := 0.0, 0.0
	for _, arrival := range arrivals {
		if arrival.At >= from && arrival.At < until {
			sum += float64(arrival.PromptTokens)
			count++
		}
	}
	return sum / count
}

func TestMergedHistogramsEqualSingle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SliceOf(rapid.Int64Range(-1, 700_000_000))).Draw(t, "parts")
		single, merged := bench.NewHistogram(), bench.NewHistogram()
		for _, part := range parts {
			histogram := bench.NewHistogram()
			for _, microseconds := range part {
				histogram.Record(time.Duration(microseconds) * time.Microsecond)
				single.Record(time.Duration(microseconds) * time.Microsecond)
			}
			merged.Merge(histogram)
		}
		for _, share := range []float64{0, 0.5, 0.99, 1} {
			if merged.Quantile(share) != single.Quantile(share) || merged.Count() != single.Count() {
				t.Fatalf("quantile %v of merged histograms = %v with %d values, want %v with %d", share, merged.Quantile(share), merged.Count(), single.Quantile(share), single.Count())
			}
		}
	})
}

// twoVariantScenario returns a scenario of simulations with known measures.
func twoVariantScenario() bench.Scenario {
	simulate := func(goodput float64) func(uint64) bench.Sample {
		return func(seed uint64) bench.Sample {
			value := goodput - float64(seed)
			return bench.Sample{
				Measures: []bench.Measure{{Name: "goodput", Unit: "%", Value: value}, {Name: "changes", Value: 12345}},
				Timeline: []bench.Point{{Seconds: 0, Goodput: 1}, {Seconds: 1, Goodput: value / 100}},
			}
		}
	}
	return bench.Scenario{Name: "two", Variants: []bench.Variant{
		{Name: "ours", Simulate: simulate(99.75)},
		{Name: "never", Baseline: true, Simulate: simulate(50)},
	}}
}

func TestOutputMatchesGoldenFiles(t *testing.T) {
	var progress, table, document, image bytes.Buffer
	result, err := bench.Run(t.Context(), twoVariantScenario(), bench.WithSeeds(1, 2), bench.WithProgress(&progress))
	for _, err := range []error{err, result.WriteTable(&table), result.WriteJSON(&document), result.WritePlot(&image)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	compareGolden(t, "progress.txt", progress.String())
	compareGolden(t, "table.txt", table.String())
	compareGolden(t, "result.json", document.String())
	if _, err := png.Decode(&image); err != nil {
		t.Fatal(err)
	}
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("%s differs from its golden file (read error %v): got\n%s\nwant\n%s", name, err, got, want)
	}
}

func TestRunRejectsMissingSystemAndCancelledContext(t *testing.T) {
	scenario, _ := bench.FindScenario("steady")
	if _, err := bench.Run(t.Context(), scenario); !code.Is(err, code.CommandInvalid) {
		t.Fatalf("Run() without a system = %v, want CommandInvalid", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := bench.Run(ctx, twoVariantScenario()); !code.Is(err, code.CommandInvalid) {
		t.Fatalf("Run() with a cancelled context = %v, want CommandInvalid", err)
	}
}

func TestScenariosAreWellFormed(t *testing.T) {
	name := regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	seen := map[string]bool{}
	for _, scenario := range bench.Scenarios() {
		if !name.MatchString(scenario.Name) || seen[scenario.Name] || !strings.HasSuffix(scenario.Description, ".") {
			t.Errorf("scenario %q has a malformed or repeated name, or no description that ends with a period", scenario.Name)
		}
		seen[scenario.Name] = true
		if len(scenario.Variants) == 0 || scenario.Variants[0].Baseline {
			t.Errorf("scenario %q does not begin with a variant that is no baseline", scenario.Name)
		}
		for _, variant := range scenario.Variants {
			if (variant.Simulate == nil) == (variant.Workload.Duration == 0) {
				t.Errorf("%s/%s does not have exactly one of a simulation and a workload", scenario.Name, variant.Name)
			}
		}
	}
}

// Runs simulations with one seed and compares the system's policies with their
// baselines. It guards against a policy change that gives up an advantage.
func TestPoliciesBeatBaselines(t *testing.T) {
	step := runMeans(t, "roles-step")
	if step["persistence"]["goodput"] <= max(step["never"]["goodput"], step["threshold"]["goodput"]) ||
		step["persistence"]["changes"] >= step["threshold"]["changes"] {
		t.Errorf("roles-step: %v", step)
	}
	reclaim := runMeans(t, "fleet-reclaim")
	planner := reclaim["planner"]
	if planner["paid"] >= reclaim["fixed"]["paid"] || planner["goodput"] < 99.9 || planner["cut calls"] != 0 || planner["reclaimed"] == 0 {
		t.Errorf("fleet-reclaim: %v", reclaim)
	}
	weights := runMeans(t, "weights")
	for _, baseline := range []string{"all at once", "one at a time"} {
		if ours := weights["shortest remaining"]; ours["mean end of changes"] >= weights[baseline]["mean end of changes"] || ours["not served"] > 0 {
			t.Errorf("weights: %v", weights)
		}
	}
}

// runMeans returns the means of a scenario with seed 1 by variant and measure.
func runMeans(t *testing.T, name string) map[string]map[string]float64 {
	scenario, _ := bench.FindScenario(name)
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

// BenchmarkPolicies reports the measures of all simulated variants, as means
// over the seeds.
func BenchmarkPolicies(b *testing.B) {
	for _, scenario := range bench.Scenarios() {
		for _, variant := range scenario.Variants {
			if variant.Simulate == nil {
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
