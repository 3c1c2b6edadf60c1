package proxy

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/code"
)

// metrics counts requests. Labels hold no names of teams, routes or targets.
type metrics struct {
	requests *prometheus.CounterVec
	first    *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
	calls    *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	buckets := []float64{.01, .025, .05, .1, .2, .3, .45, .6, 1, 2, 4, 8}
	metrics := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_requests_total", Help: "Requests by kind of route, outcome and code.",
		}, []string{"kind", "outcome", "code"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mangopier_first_byte_seconds", Help: "Time until the first bytes of an answer.", Buckets: buckets,
		}, []string{"kind", "outcome"}),
		whole: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mangopier_request_seconds", Help: "Time until the end of an answer.", Buckets: buckets,
		}, []string{"kind", "outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_target_calls_total", Help: "Calls to targets by stage and outcome.",
		}, []string{"stage", "outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.requests, metrics.first, metrics.whole, metrics.calls)
	}
	return metrics
}

// finish writes the request's log line and counts it.
func (exchange *exchange) finish() {
	kind := "none"
	if exchange.route != nil {
		kind = exchange.route.Kind.String()
	}
	exchange.measure(kind)
	event := exchange.proxy.logger.Info()
	if exchange.request != nil {
		event.Str("id", printable(exchange.request.ID))
	}
	if exchange.route != nil {
		event.Str("route", exchange.route.Name).Str("team", exchange.team.Name).Str("service", exchange.service.Name)
		event.Int64("manifest", exchange.manifest.Version)
	}
	if !exchange.deadline.IsZero() {
		event.Int64("deadline-ms", exchange.deadline.Sub(exchange.begun).Milliseconds())
	}
	if exchange.workMS > 0 {
		event.Float64("ahead-ms", round(exchange.aheadMS)).Float64("work-ms", round(exchange.workMS)).Float64("less-ms", round(exchange.lessMS)).
			Int("cached", exchange.cached).Int("fetched", exchange.fetched)
	}
	if exchange.pause > 0 {
		event.Int64("pause-ms", exchange.pause.Milliseconds())
	}
	event.Str("kind", kind).Str("tries", exchange.describeTries()).Int("runs", exchange.runs).
		Str("outcome", exchange.status).Int("code", exchange.code).
		Int64("first-ms", exchange.first.Milliseconds()).
		Int64("took-ms", time.Since(exchange.begun).Milliseconds())
	exchange.logFailure(event)
	event.Msg("request ended")
}

func (exchange *exchange) logFailure(event *zerolog.Event) {
	if exchange.failure == nil {
		return
	}
	event.Str("run", code.RunOf(exchange.failure).String()).Str("error", exchange.failure.Error())
	if delay := code.RetryDelayOf(exchange.failure); delay > 0 {
		event.Int64("retry-after-ms", delay.Milliseconds())
	}
}

func (exchange *exchange) measure(kind string) {
	metrics := exchange.proxy.metrics
	outcome := exchange.status
	metrics.requests.WithLabelValues(kind, outcome, code.Code(exchange.code).Label()).Inc()
	metrics.first.WithLabelValues(kind, outcome).Observe(exchange.first.Seconds())
	metrics.whole.WithLabelValues(kind, outcome).Observe(time.Since(exchange.begun).Seconds())
	for _, try := range exchange.tries {
		metrics.calls.WithLabelValues(try.stage, try.outcome).Inc()
	}
}

// describeTries returns stage, target, outcome and milliseconds of each call.
func (exchange *exchange) describeTries() string {
	var text strings.Builder
	for i, try := range exchange.tries {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(try.stage + ":" + try.target + ":" + try.outcome + ":" + try.took.Round(time.Millisecond).String())
	}
	return text.String()
}

func round(value float64) float64 { return float64(int(value*10)) / 10 }
