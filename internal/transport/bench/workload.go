package bench

import (
	"iter"
	"math"
	"math/rand/v2"
	"time"
)

// Workload is an open-loop load: requests arrive whether or not earlier ones
// are answered.
type Workload struct {
	Model       string
	Duration    time.Duration
	Teams       []TeamLoad
	Mixes       []Mix
	MaxInFlight int           // requests beyond are not sent; 512 if 0
	Deadline    time.Duration // sent along with each request; none if 0
	Limits      Limits
}

// Limits are what an answer has to keep to count as good.
type Limits struct {
	FirstByte time.Duration
	Between   time.Duration // mean time between two tokens of an answer
}

// TeamLoad is the load of one team.
type TeamLoad struct {
	Team  string
	Rate  float64 // requests per second
	Surge Surge
}

// Surge multiplies a team's rate for a while.
type Surge struct {
	From, Until time.Duration
	Factor      float64
}

// Mix is the sizes of requests from a time on.
type Mix struct {
	From         time.Duration
	PromptTokens float64 // mean
	OutputTokens float64 // mean
	Prefixes     int     // prompts that share one of so many beginnings; none if 0
	PrefixTokens int     // of such a beginning
}

// Arrival is one request of a workload.
type Arrival struct {
	At           time.Duration
	Team         string
	PromptTokens int
	OutputTokens int
	Prefix       int // number of the shared beginning, -1 for none
	PrefixTokens int
	Number       uint64 // of the request in its workload
}

// Bounds of drawn sizes.
const (
	sizeSigma        = 0.5 // standard deviation of the logarithm
	promptTokensMost = 8192
	outputTokensMost = 2048
)

// Arrivals yields the requests of a workload in the order of their times. The
// same seed gives the same requests. Gaps between those of a team are
// exponentially distributed.
func Arrivals(workload Workload, seed uint64) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		random := rand.New(rand.NewPCG(seed, uint64(len(workload.Teams))))
		next := make([]time.Duration, len(workload.Teams))
		for index := range workload.Teams {
			next[index] = workload.Teams[index].after(0, random)
		}
		for number := uint64(0); ; number++ {
			team := earliest(next)
			if team < 0 || next[team] >= workload.Duration {
				return
			}
			arrival := workload.draw(next[team], random)
			arrival.Team, arrival.Number = workload.Teams[team].Team, number
			if !yield(arrival) {
				return
			}
			next[team] = workload.Teams[team].after(next[team], random)
		}
	}
}

// after returns the time of the next request that follows at. A gap that
// crosses a change of the rate is drawn anew from there on, which leaves the
// distribution as it is.
func (load TeamLoad) after(at time.Duration, random *rand.Rand) time.Duration {
	for {
		rate, until := load.rate(at)
		if rate <= 0 && until == math.MaxInt64 {
			return math.MaxInt64
		}
		gap := time.Duration(math.MaxInt64)
		if rate > 0 {
			gap = seconds(random.ExpFloat64() / rate)
		}
		if gap < until-at {
			return at + gap
		}
		at = until
	}
}

// rate returns the rate at a time, and until when it holds.
func (load TeamLoad) rate(at time.Duration) (rate float64, until time.Duration) {
	switch {
	case load.Surge.Until <= load.Surge.From || at >= load.Surge.Until:
		return load.Rate, math.MaxInt64
	case at < load.Surge.From:
		return load.Rate, load.Surge.From
	default:
		return load.Rate * load.Surge.Factor, load.Surge.Until
	}
}

// earliest returns the index of the least time, or -1 if there is none.
func earliest(times []time.Duration) int {
	best := -1
	for index, at := range times {
		if at != math.MaxInt64 && (best < 0 || at < times[best]) {
			best = index
		}
	}
	return best
}

func (workload Workload) draw(at time.Duration, random *rand.Rand) Arrival {
	mix := workload.mixAt(at)
	arrival := Arrival{
		At:           at,
		PromptTokens: drawSize(mix.PromptTokens, promptTokensMost, random),
		OutputTokens: drawSize(mix.OutputTokens, outputTokensMost, random),
		Prefix:       -1,
	}
	if mix.Prefixes > 0 {
		arrival.Prefix = random.IntN(mix.Prefixes)
		arrival.PrefixTokens = mix.PrefixTokens
	}
	return arrival
}

func (workload Workload) mixAt(at time.Duration) Mix {
	var current Mix
	for _, mix := range workload.Mixes {
		if mix.From <= at {
			current = mix
		}
	}
	return current
}

// drawSize returns a size of a log-normal distribution with a mean.
func drawSize(mean float64, most int, random *rand.Rand) int {
	size := mean * math.Exp(sizeSigma*random.NormFloat64()-sizeSigma*sizeSigma/2)
	return min(max(int(size), 1), most)
}
