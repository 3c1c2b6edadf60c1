package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	minLatencyUS      = 1
	maxLatencyUS      = 600_000_000
	significantDigits = 3
)

// Histogram counts latencies.
type Histogram struct {
	hdr      *hdrhistogram.Histogram
	rejected int64
}

// NewHistogram returns an empty histogram of latencies up to ten minutes.
func NewHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)}
}

// Record adds a latency. Values outside the range count as its nearest end.
func (histogram *Histogram) Record(value time.Duration) {
	microseconds := min(max(value.Microseconds(), minLatencyUS), maxLatencyUS)
	if err := histogram.hdr.RecordValue(microseconds); err != nil {
		histogram.rejected++
	}
}

// Merge adds all latencies of another histogram.
func (histogram *Histogram) Merge(other *Histogram) {
	histogram.rejected += other.rejected + histogram.hdr.Merge(other.hdr)
}

// Count returns the number of recorded latencies.
func (histogram *Histogram) Count() int64 { return histogram.hdr.TotalCount() }

// Quantile returns the latency at a quantile between 0 and 1, or 0 for an
// empty histogram.
func (histogram *Histogram) Quantile(quantile float64) time.Duration {
	if histogram.Count() == 0 {
		return 0
	}
	return time.Duration(histogram.hdr.ValueAtQuantile(100*quantile)) * time.Microsecond
}
