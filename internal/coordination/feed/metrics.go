package feed

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	number  prometheus.Gauge
	reads   *prometheus.CounterVec
	refused *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		number: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mangopier_note_number",
			Help: "Number of the release note in force.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_note_store_reads_total",
			Help: "Reads of the head row by their result.",
		}, []string{"result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_note_refused_total",
			Help: "Rows, notes and catalogs refused, by reason.",
		}, []string{"reason"}),
	}
}

func (metrics *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(metrics.number, metrics.reads, metrics.refused)
}
