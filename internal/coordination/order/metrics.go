package order

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	ticketsOpened     prometheus.Counter
	ticketsClosed     *prometheus.CounterVec
	targetsAbandoned  prometheus.Counter
	outcomesUnknown   prometheus.Counter
	malformedRows     prometheus.Counter
	ticketsUnresolved prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer, dataCenter string) *metrics {
	labels := prometheus.Labels{"data_center": dataCenter}
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{
			Namespace: "mangopier", Subsystem: "order", Name: name, Help: help, ConstLabels: labels,
		}
	}
	metrics := &metrics{
		ticketsOpened:    prometheus.NewCounter(opts("tickets_opened_total", "Tickets opened.")),
		ticketsClosed:    prometheus.NewCounterVec(opts("tickets_closed_total", "Tickets closed, by outcome."), []string{"outcome"}),
		targetsAbandoned: prometheus.NewCounter(opts("targets_abandoned_total", "Targets abandoned.")),
		outcomesUnknown:  prometheus.NewCounter(opts("outcomes_unknown_total", "Orders sent without a clear answer.")),
		malformedRows:    prometheus.NewCounter(opts("malformed_rows_total", "Rows that cannot be read.")),
		ticketsUnresolved: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "mangopier", Subsystem: "order", Name: "tickets_unresolved", ConstLabels: labels,
			Help: "Open tickets that the last recovery left.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.ticketsOpened, metrics.ticketsClosed, metrics.targetsAbandoned, metrics.outcomesUnknown, metrics.malformedRows, metrics.ticketsUnresolved)
	}
	return metrics
}
