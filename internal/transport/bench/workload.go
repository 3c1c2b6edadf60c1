package bench

import (
	"iter"
	"math"
	"math/rand/v2"
	"time"
)

// Workload is an open-loop load: requests arrive whether or not earlier ones
// have ended.
type Workload struct {
	Model       string
	Duration    time.Duration
	Teams       []TeamLoad
	Mixes       []Mix
	MaxInFlight int           // requests beyond it are not sent; 0 means 512
	Deadline    time.Duration // sent with each request; 0 means none
	Limits      LatencyLimits
}

// LatencyLimits are the limits that a response must meet to count as good.
// Zero values set no limit.
type LatencyLimits struct {
	MaxTTFT         time.Duration // time to first token
	MaxMeanTokenGap time.Duration // mean time between two tokens of a response
}

// TeamLoad is the arrival rate of one team.
type TeamLoad struct {
	Team              string
	RequestsPerSecond float64
	Surge             Surge
}

// Surge multiplies a team's rate for a while.
type Surge struct {
	Start, End time.Duration
	RateFactor float64
}

// Mix is the distribution of request sizes from a time on.
type Mix struct {
	Start            time.Duration
	MeanPromptTokens float64
	MeanOutputTokens float64
	PrefixCount      int // number of shared prefixes, of which each prompt has one; 0 means none
	PrefixTokens     int // length of a shared prefix
}

// Arrival is one request of a workload.
type Arrival struct {
	At           time.Duration
	Team         string
	PromptTokens int
	OutputTokens int
	PrefixIndex  int // index of the shared prefix, -1 without one
	PrefixTokens int
	Sequence     uint64 // position of the request in its workload, from 0
}

const (
	sizeLogDeviation = 0.5 // standard deviation of the logarithm
	maxPromptTokens  = 8192
	maxOutputTokens  = 2048
)

// Arrivals yields the requests of a workload in the order of their times. The
// same seed gives the same requests. The arrivals of each team are a Poisson
// process: gaps are exponentially distributed.
func Arrivals(workload Workload, seed uint64) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		random := rand.New(rand.NewPCG(seed, uint64(len(workload.Teams))))
		next := make([]time.Duration, len(workload.Teams))
		for index := range workload.Teams {
			next[index] = workload.Teams[index].nextArrival(0, random)
		}
		for sequence := uint64(0); ; sequence++ {
			team := earliest(next)
			if team < 0 || next[team] >= workload.Duration {
				return
			}
			arrival := workload.drawArrival(next[team], random)
			arrival.Team, arrival.Sequence = workload.Teams[team].Team, sequence
			if !yield(arrival) {
				return
			}
			next[team] = workload.Teams[team].nextArrival(next[team], random)
		}
	}
}

// nextArrival returns the time of the next request after at. A gap that
// crosses a change of the rate is drawn anew from there on, which keeps the
// distribution, as the exponential is memoryless.
func (load TeamLoad) nextArrival(at time.Duration, random *rand.Rand) time.Duration {
	for {
		rate, until := load.rateAt(at)
		if rate <= 0 && until == math.MaxInt64 {
			return math.MaxInt64
		}
		gap := time.Duration(math.MaxInt64)
		if rate > 0 {
			gap = secondsToDuration(random.ExpFloat64() / rate)
		}
		if gap < until-at {
			return at + gap
		}
		at = until
	}
}

// rateAt returns the rate in requests per second at a time, and until when it
// holds.
func (load TeamLoad) rateAt(at time.Duration) (rate float64, until time.Duration) {
	switch {
	case load.Surge.End <= load.Surge.Start || at >= load.Surge.End:
		return load.RequestsPerSecond, math.MaxInt64
	case at < load.Surge.Start:
		return load.RequestsPerSecond, load.Surge.Start
	default:
		return load.RequestsPerSecond * load.Surge.RateFactor, load.Surge.End
	}
}

// earliest returns the index of the earliest time, or -1 if no team sends any
// more.
func earliest(times []time.Duration) int {
	best := -1
	for index, at := range times {
		if at != math.MaxInt64 && (best < 0 || at < times[best]) {
			best = index
		}
	}
	return best
}

func (workload Workload) drawArrival(at time.Duration, random *rand.Rand) Arrival {
	mix := workload.mixAt(at)
	arrival := Arrival{
		At:           at,
		PromptTokens: drawSize(mix.MeanPromptTokens, maxPromptTokens, random),
		OutputTokens: drawSize(mix.MeanOutputTokens, maxOutputTokens, random),
		PrefixIndex:  -1,
	}
	if mix.PrefixCount > 0 {
		arrival.PrefixIndex = random.IntN(mix.PrefixCount)
		arrival.PrefixTokens = mix.PrefixTokens
	}
	return arrival
}

func (workload Workload) mixAt(at time.Duration) Mix {
	var current Mix
	for _, mix := range workload.Mixes {
		if mix.Start <= at {
			current = mix
		}
	}
	return current
}

// drawSize returns a log-normal random size with the given mean, between 1
// and limit.
func drawSize(mean float64, limit int, random *rand.Rand) int {
	size := mean * math.Exp(sizeLogDeviation*random.NormFloat64()-sizeLogDeviation*sizeLogDeviation/2)
	return min(max(int(size), 1), limit)
}
