package bench

import (
	"net/http"
	"slices"
	"time"
)

// timelineStep is the length of one point of a timeline.
const timelineStep = time.Second

// Report is what a drive counted.
type Report struct {
	Offered  int
	Good     int // whole and within limits
	Answered int // whole
	Refused  int // with a statement that they were not run
	Failed   int // all others that were sent
	Unsent   int // for lack of room in flight
	Between  *Latency
	Whole    *Latency

	limits Limits
	teams  map[string]*teamReport
	steps  []tally
}

// teamReport is what a drive counted for one team.
type teamReport struct {
	tally
	firstByte *Latency
}

type tally struct{ offered, good int }

func (tally *tally) add(good bool) {
	tally.offered++
	if good {
		tally.good++
	}
}

func (tally *tally) goodput() float64 {
	return float64(tally.good) / float64(max(tally.offered, 1))
}

func newReport(workload Workload) *Report {
	report := &Report{
		Between: NewLatency(), Whole: NewLatency(),
		limits: workload.Limits,
		teams:  map[string]*teamReport{},
		steps:  make([]tally, workload.Duration/timelineStep+1),
	}
	for _, team := range workload.Teams {
		report.teams[team.Team] = &teamReport{firstByte: NewLatency()}
	}
	return report
}

// unsent counts a request that was not sent.
func (report *Report) unsent(arrival Arrival) {
	report.Unsent++
	report.count(arrival, false)
}

// add counts a request that was sent.
func (report *Report) add(outcome outcome) {
	good := outcome.good(report.limits)
	report.count(outcome.arrival, good)
	switch {
	case outcome.whole:
		report.Answered++
		report.record(outcome)
	case outcome.status != http.StatusOK && outcome.run == "not-run":
		report.Refused++
	default:
		report.Failed++
	}
}

func (report *Report) count(arrival Arrival, good bool) {
	report.Offered++
	if good {
		report.Good++
	}
	report.teams[arrival.Team].add(good)
	report.steps[arrival.At/timelineStep].add(good)
}

func (report *Report) record(outcome outcome) {
	report.teams[outcome.arrival.Team].firstByte.Record(outcome.firstByte)
	report.Whole.Record(outcome.total)
	for _, gap := range outcome.gaps {
		report.Between.Record(gap)
	}
}

// Sample returns the figures of the report.
func (report *Report) Sample() Sample {
	share := func(count int) float64 { return 100 * float64(count) / float64(max(report.Offered, 1)) }
	milliseconds := func(value time.Duration) float64 { return value.Seconds() * 1e3 }
	firstByte := report.FirstByte()
	return Sample{
		Measures: []Measure{
			{"goodput", "%", share(report.Good)},
			{"worst team", "%", 100 * report.worstTeam()},
			{"refused", "%", share(report.Refused)},
			{"failed", "%", share(report.Failed)},
			{"unsent", "%", share(report.Unsent)},
			{"first byte p50", "ms", milliseconds(firstByte.Quantile(0.5))},
			{"first byte p99", "ms", milliseconds(firstByte.Quantile(0.99))},
			{"worst team first byte p99", "ms", milliseconds(report.worstFirstByte())},
			{"between p99", "ms", milliseconds(report.Between.Quantile(0.99))},
			{"whole p99", "ms", milliseconds(report.Whole.Quantile(0.99))},
		},
		Timeline: timelineOf(report.steps, timelineStep),
	}
}

// FirstByte returns the times to the first byte of all teams.
func (report *Report) FirstByte() *Latency {
	all := NewLatency()
	for _, team := range report.teams {
		all.Merge(team.firstByte)
	}
	return all
}

func (report *Report) worstFirstByte() time.Duration {
	var worst time.Duration
	for _, team := range report.teams {
		worst = max(worst, team.firstByte.Quantile(0.99))
	}
	return worst
}

// worstTeam returns the goodput of the worst-served team.
func (report *Report) worstTeam() float64 {
	var shares []float64
	for _, team := range report.teams {
		if team.offered > 0 {
			shares = append(shares, team.goodput())
		}
	}
	if len(shares) == 0 {
		return 0
	}
	return slices.Min(shares)
}

func timelineOf(steps []tally, step time.Duration) []Point {
	var points []Point
	for index := range steps {
		if steps[index].offered > 0 {
			points = append(points, Point{float64(index) * step.Seconds(), steps[index].goodput()})
		}
	}
	return points
}
