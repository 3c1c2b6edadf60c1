package usage

import "github.com/prometheus/client_golang/prometheus"

type meterMetrics struct {
	uncopied    prometheus.Counter
	copySeconds prometheus.Histogram
}

func newMeterMetrics(registerer prometheus.Registerer) *meterMetrics {
	metrics := &meterMetrics{
		uncopied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangopier_usage_uncopied_total",
			Help: "Lines of usage whose answer was delivered before a copy was confirmed.",
		}),
		copySeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "mangopier_usage_copy_seconds",
			Help:    "Duration of a copy to one replica.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.uncopied, metrics.copySeconds)
	}
	return metrics
}

type windowReporterMetrics struct {
	frozen     prometheus.Counter
	reported   prometheus.Counter
	incomplete prometheus.Counter
	corrected  prometheus.Counter
	dropped    prometheus.Counter
}

func newWindowReporterMetrics(registerer prometheus.Registerer) *windowReporterMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	metrics := &windowReporterMetrics{
		frozen:     counter("mangopier_usage_windows_frozen_total", "Windows that this instance froze."),
		reported:   counter("mangopier_usage_windows_reported_total", "Windows that this instance reported."),
		incomplete: counter("mangopier_usage_windows_incomplete_total", "Windows that this instance froze as incomplete."),
		corrected:  counter("mangopier_usage_corrections_total", "Late lines that this instance froze as corrections."),
		dropped:    counter("mangopier_usage_dropped_total", "Late batches that came after the horizon."),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.frozen, metrics.reported, metrics.incomplete, metrics.corrected, metrics.dropped)
	}
	return metrics
}
