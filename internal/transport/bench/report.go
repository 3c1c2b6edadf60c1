package bench

import (
	"net/http"
	"slices"
	"time"
)

// timelineInterval is the length of time that one point of a timeline covers.
const timelineInterval = time.Second

// Report counts the outcomes of a workload's requests.
type Report struct {
	Offered   int
	Good      int        // complete and within the latency limits
	Completed int        // response arrived to its end
	Refused   int        // rejected with the run status "not-run"
	Failed    int        // all others that were sent
	Unsent    int        // not sent, as too many requests were in flight
	TokenGaps *Histogram // times between two tokens
	EndToEnd  *Histogram // times from the request to the end of the response

	limits    LatencyLimits
	teams     map[string]*teamReport
	intervals []goodputCounter
}

type teamReport struct {
	goodputCounter
	ttft *Histogram
}

type goodputCounter struct{ offered, good int }

func (counter *goodputCounter) add(good bool) {
	counter.offered++
	if good {
		counter.good++
	}
}

func (counter *goodputCounter) goodput() float64 {
	return float64(counter.good) / float64(max(counter.offered, 1))
}

func newReport(workload Workload) *Report {
	report := &Report{
		TokenGaps: NewHistogram(), EndToEnd: NewHistogram(),
		limits:    workload.Limits,
		teams:     map[string]*teamReport{},
		intervals: make([]goodputCounter, workload.Duration/timelineInterval+1),
	}
	for _, team := range workload.Teams {
		report.teams[team.Team] = &teamReport{ttft: NewHistogram()}
	}
	return report
}

// addUnsent counts a request that was not sent.
func (report *Report) addUnsent(arrival Arrival) {
	report.Unsent++
	report.countArrival(arrival, false)
}

// addOutcome counts a request that was sent.
func (report *Report) addOutcome(outcome outcome) {
	good := outcome.withinLimits(report.limits)
	report.countArrival(outcome.arrival, good)
	switch {
	case outcome.complete:
		report.Completed++
		report.recordLatencies(outcome)
	case outcome.status != http.StatusOK && outcome.runStatus == "not-run":
		report.Refused++
	default:
		report.Failed++
	}
}

func (report *Report) countArrival(arrival Arrival, good bool) {
	report.Offered++
	if good {
		report.Good++
	}
	report.teams[arrival.Team].add(good)
	report.intervals[arrival.At/timelineInterval].add(good)
}

func (report *Report) recordLatencies(outcome outcome) {
	report.teams[outcome.arrival.Team].ttft.Record(outcome.ttft)
	report.EndToEnd.Record(outcome.totalTime)
	for _, gap := range outcome.tokenGaps {
		report.TokenGaps.Record(gap)
	}
}

// Sample returns the measures and the timeline of the report.
func (report *Report) Sample() Sample {
	percent := func(count int) float64 { return 100 * float64(count) / float64(max(report.Offered, 1)) }
	milliseconds := func(value time.Duration) float64 { return value.Seconds() * 1e3 }
	ttft := report.TTFT()
	return Sample{
		Measures: []Measure{
			{"goodput", "%", percent(report.Good)},
			{"worst team", "%", 100 * report.lowestTeamGoodput()},
			{"refused", "%", percent(report.Refused)},
			{"failed", "%", percent(report.Failed)},
			{"unsent", "%", percent(report.Unsent)},
			{"first byte p50", "ms", milliseconds(ttft.Quantile(0.5))},
			{"first byte p99", "ms", milliseconds(ttft.Quantile(0.99))},
			{"worst team first byte p99", "ms", milliseconds(report.highestTeamTTFT())},
			{"between p99", "ms", milliseconds(report.TokenGaps.Quantile(0.99))},
			{"whole p99", "ms", milliseconds(report.EndToEnd.Quantile(0.99))},
		},
		Timeline: newTimeline(report.intervals, timelineInterval),
	}
}

// TTFT returns the times to first token of all teams.
func (report *Report) TTFT() *Histogram {
	all := NewHistogram()
	for _, team := range report.teams {
		all.Merge(team.ttft)
	}
	return all
}

func (report *Report) highestTeamTTFT() time.Duration {
	var highest time.Duration
	for _, team := range report.teams {
		highest = max(highest, team.ttft.Quantile(0.99))
	}
	return highest
}

// lowestTeamGoodput returns the goodput of the worst-served team.
func (report *Report) lowestTeamGoodput() float64 {
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

func newTimeline(intervals []goodputCounter, length time.Duration) []Point {
	var points []Point
	for index := range intervals {
		if intervals[index].offered > 0 {
			points = append(points, Point{float64(index) * length.Seconds(), intervals[index].goodput()})
		}
	}
	return points
}
