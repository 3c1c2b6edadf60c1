package order

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	opened    prometheus.Counter
	closed    *prometheus.CounterVec
	abandoned prometheus.Counter
	unknown   prometheus.Counter
	malformed prometheus.Counter
	open      prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer, dataCenter string) *metrics {
	labels := prometheus.Labels{"data_center": dataCenter}
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{
			Namespace: "mangopier", Subsystem: "order", Name: name, Help: help, ConstLabels: labels,
		}
	}
	metrics := &metrics{
		opened:    prometheus.NewCounter(opts("tickets_opened_total", "Tickets opened.")),
		closed:    prometheus.NewCounterVec(opts("tickets_closed_total", "Tickets closed, by outcome."), []string{"outcome"}),
		abandoned: prometheus.NewCounter(opts("targets_abandoned_total", "Targets abandoned.")),
		unknown:   prometheus.NewCounter(opts("outcomes_unknown_total", "Orders sent without a clear answer.")),
		malformed: prometheus.NewCounter(opts("malformed_rows_total", "Rows that cannot be read.")),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "mangopier", Subsystem: "order", Name: "tickets_unresolved", ConstLabels: labels,
			Help: "Open tickets that the last recovery left.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.opened, metrics.closed, metrics.abandoned, metrics.unknown, metrics.malformed, metrics.open)
	}
	return metrics
}
