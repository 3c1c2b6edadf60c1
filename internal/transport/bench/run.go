package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Option configures Run.
type Option func(*runner)

// WithLauncher sets the launcher that starts systems for variants with a
// workload.
func WithLauncher(launcher Launcher) Option {
	return func(runner *runner) { runner.launcher = launcher }
}

// WithEndpoint uses a system that is already running, whatever the setup of a
// variant. Only the first variant is run.
func WithEndpoint(endpoint Endpoint) Option {
	return func(runner *runner) { runner.endpoint = &endpoint }
}

// WithSeeds sets the seeds. Each variant is run once per seed. The default is
// 1 to 5.
func WithSeeds(seeds ...uint64) Option {
	return func(runner *runner) { runner.seeds = seeds }
}

// WithProgress sets a writer that receives a line at the start of each run.
// The default discards them.
func WithProgress(progress io.Writer) Option {
	return func(runner *runner) { runner.progress = progress }
}

// WithWorkloadDuration overrides the duration of workloads. Simulations keep
// theirs.
func WithWorkloadDuration(duration time.Duration) Option {
	return func(runner *runner) { runner.duration = duration }
}

type runner struct {
	launcher Launcher
	endpoint *Endpoint
	seeds    []uint64
	progress io.Writer
	duration time.Duration
}

// Run runs all variants of a scenario. Errors have code.CommandInvalid or the
// code that the launcher returned.
func Run(ctx context.Context, scenario Scenario, opts ...Option) (Result, error) {
	runner := &runner{seeds: []uint64{1, 2, 3, 4, 5}, progress: io.Discard}
	for _, opt := range opts {
		opt(runner)
	}
	result := Result{Scenario: scenario.Name, Seeds: runner.seeds}
	variants := scenario.Variants
	if runner.endpoint != nil && len(variants) > 0 {
		variants = variants[:1]
	}
	for _, variant := range variants {
		var samples []Sample
		for _, seed := range runner.seeds {
			fmt.Fprintf(runner.progress, "bench: %s, variant %s, seed %d\n", scenario.Name, variant.Name, seed)
			sample, err := runner.runOnce(ctx, variant, seed)
			if err != nil {
				return result, err
			}
			samples = append(samples, sample)
		}
		result.Rows = append(result.Rows, newRow(variant, samples))
	}
	return result, nil
}

func (runner *runner) runOnce(ctx context.Context, variant Variant, seed uint64) (Sample, error) {
	if err := ctx.Err(); err != nil {
		return Sample{}, code.Wrap(err, code.CommandInvalid, "bench run cancelled")
	}
	if variant.Simulate != nil {
		return variant.Simulate(seed), nil
	}
	if runner.duration > 0 {
		variant.Workload.Duration = runner.duration
	}
	endpoint, stop, err := runner.startSystem(ctx, variant)
	if err != nil {
		return Sample{}, err
	}
	defer stop()
	report, err := RunWorkload(ctx, endpoint, variant.Workload, variant.Faults, seed)
	if err != nil {
		return Sample{}, err
	}
	return report.Sample(), nil
}

func (runner *runner) startSystem(ctx context.Context, variant Variant) (Endpoint, func(), error) {
	switch {
	case runner.endpoint != nil:
		return *runner.endpoint, func() {}, nil
	case runner.launcher != nil:
		return runner.launcher.Start(ctx, variant)
	default:
		return Endpoint{}, nil, code.Errorf(code.CommandInvalid, "variant %s has a workload, but neither an endpoint nor a launcher is set", variant.Name)
	}
}

// newRow summarizes the samples of one variant.
func newRow(variant Variant, samples []Sample) Row {
	row := Row{Variant: variant.Name, Baseline: variant.Baseline}
	if len(samples) == 0 {
		return row
	}
	for index, measure := range samples[0].Measures {
		var values []float64
		sum := 0.0
		for _, sample := range samples {
			values = append(values, sample.Measures[index].Value)
			sum += sample.Measures[index].Value
		}
		row.Measures = append(row.Measures, MeasureSummary{
			Name: measure.Name, Unit: measure.Unit,
			Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values),
		})
	}
	row.Timeline = meanTimeline(samples)
	return row
}

// meanTimeline returns, for each time, the mean goodput of the samples that
// have it.
func meanTimeline(samples []Sample) []Point {
	sums, counts := map[float64]float64{}, map[float64]int{}
	for _, sample := range samples {
		for _, point := range sample.Timeline {
			sums[point.Seconds] += point.Goodput
			counts[point.Seconds]++
		}
	}
	var points []Point
	for at, sum := range sums {
		points = append(points, Point{at, sum / float64(counts[at])})
	}
	slices.SortFunc(points, func(a, b Point) int { return int(a.Seconds - b.Seconds) })
	return points
}
