package lease

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	epoch     prometheus.Gauge
	takeovers prometheus.Counter
	losses    prometheus.Counter
	malformed prometheus.Counter
	failures  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, duty string) *metrics {
	labels := prometheus.Labels{"duty": duty}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "mangopier", Subsystem: "lease", Name: name, Help: help, ConstLabels: labels,
		})
	}
	metrics := &metrics{
		epoch: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "mangopier", Subsystem: "lease", Name: "epoch", ConstLabels: labels,
			Help: "Epoch under which this instance holds the lease, 0 if it does not.",
		}),
		takeovers: counter("takeovers_total", "Takeovers by this instance."),
		losses:    counter("losses_total", "Takeovers from this instance."),
		malformed: counter("malformed_rows_total", "Rows that cannot be read."),
		failures:  counter("store_failures_total", "Store calls that failed."),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.epoch, metrics.takeovers, metrics.losses, metrics.malformed, metrics.failures)
	}
	return metrics
}
