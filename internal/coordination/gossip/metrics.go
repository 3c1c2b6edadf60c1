package gossip

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	members   prometheus.Gauge
	exchanges *prometheus.CounterVec
	refused   *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mangopier_members",
			Help: "Live instances known, this one included.",
		}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_member_exchanges_total",
			Help: "Exchanges with other instances by their result.",
		}, []string{"result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_member_messages_refused_total",
			Help: "Messages of other instances refused, by side.",
		}, []string{"side"}),
	}
}

func (metrics *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(metrics.members, metrics.exchanges, metrics.refused)
}
