package shape

import (
	"math"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// demandSmoothing is the time constant with which demand is averaged. It is
	// shorter than a stage change takes and longer than the interval between two
	// heartbeats.
	demandSmoothing = time.Second
	// demandHold is how long the highest demand counts. A mix of requests that
	// swings faster than this keeps its decode engines.
	demandHold = 10 * time.Second
	// plannedDecodeFill is the share of a decode engine's slots or memory that the
	// demand may take before one more engine is planned, and releaseDecodeFill
	// the share below which an engine returns to prefill.
	plannedDecodeFill = 0.6
	releaseDecodeFill = 0.4
)

// DemandTracker holds the peak of a demand that is measured several times a
// second. It is not safe for concurrent use.
type DemandTracker struct {
	smoothed float64
	last     time.Time
	samples  []sample // of the last demandHold, values falling
}

type sample struct {
	at    time.Time
	value float64
}

// Record records the demand at a moment and returns its recent peak.
func (tracker *DemandTracker) Record(demand float64, now time.Time) float64 {
	elapsed := min(now.Sub(tracker.last), demandSmoothing)
	tracker.smoothed += (demand - tracker.smoothed) * float64(elapsed) / float64(demandSmoothing)
	tracker.last = now
	for len(tracker.samples) > 0 && tracker.samples[len(tracker.samples)-1].value <= tracker.smoothed {
		tracker.samples = tracker.samples[:len(tracker.samples)-1]
	}
	tracker.samples = append(tracker.samples, sample{at: now, value: tracker.smoothed})
	for now.Sub(tracker.samples[0].at) > demandHold {
		tracker.samples = tracker.samples[1:]
	}
	return tracker.samples[0].value
}

// decodeEngineRange returns the least and the largest number of engines that
// should decode, of count engines in all. The stages stay as they are between
// the two. Demand is the number of engines that the requests being decoded fill.
func decodeEngineRange(count int, demand float64) (lowest, highest int) {
	base := max(min(minDecodeEngines, count/2), int(float64(count)/enginesPerDecode+0.5))
	lowest = max(base, min(int(math.Ceil(demand/plannedDecodeFill)), count/2))
	highest = max(base, min(int(math.Ceil(demand/releaseDecodeFill)), count/2))
	return lowest, highest
}

// StageChange is an engine and the stage that it should change to.
type StageChange struct {
	Target site.Target
	Stage  site.Stage
}
