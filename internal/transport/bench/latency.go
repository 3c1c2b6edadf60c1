package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms.
const (
	latencyLeastUS = 1
	latencyMostUS  = 600_000_000
	latencyDigits  = 3
)

// Latency is a histogram of times.
type Latency struct {
	histogram *hdrhistogram.Histogram
	clipped   int64
}

// NewLatency returns an empty histogram of times up to ten minutes.
func NewLatency() *Latency {
	return &Latency{histogram: hdrhistogram.New(latencyLeastUS, latencyMostUS, latencyDigits)}
}

// Record adds a time. Times beyond the range count as its end.
func (latency *Latency) Record(value time.Duration) {
	microseconds := min(max(value.Microseconds(), latencyLeastUS), latencyMostUS)
	if err := latency.histogram.RecordValue(microseconds); err != nil {
		latency.clipped++
	}
}

// Merge adds all times of another histogram.
func (latency *Latency) Merge(other *Latency) {
	latency.clipped += other.clipped + latency.histogram.Merge(other.histogram)
}

// Count returns how many times were recorded.
func (latency *Latency) Count() int64 { return latency.histogram.TotalCount() }

// Quantile returns the time below which a share of all times lie, 0 for an
// empty histogram.
func (latency *Latency) Quantile(share float64) time.Duration {
	if latency.Count() == 0 {
		return 0
	}
	return time.Duration(latency.histogram.ValueAtQuantile(100*share)) * time.Microsecond
}
