package once

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"mangopier.example/mangopier/internal/protocol/code"
)

type metrics struct {
	calls *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	metrics := &metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangopier_once_calls_total",
		Help: "Calls with an idempotency key by result: claimed, repeated, or the code of the refusal.",
	}, []string{"result"})}
	if registerer != nil {
		registerer.MustRegister(metrics.calls)
	}
	return metrics
}

func (metrics *metrics) countCall(outcome *Outcome, err error) {
	result := "claimed"
	switch {
	case err != nil:
		result = strconv.Itoa(int(code.FromError(err)))
	case outcome != nil:
		result = "repeated"
	}
	metrics.calls.WithLabelValues(result).Inc()
}
