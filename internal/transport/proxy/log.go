package proxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/code"
)

// metrics counts requests and calls. Its labels hold no names of teams, routes
// or targets.
type metrics struct {
	requests         *prometheus.CounterVec
	firstByteSeconds *prometheus.HistogramVec
	requestSeconds   *prometheus.HistogramVec
	targetCalls      *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	buckets := []float64{.01, .025, .05, .1, .2, .3, .45, .6, 1, 2, 4, 8}
	metrics := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_requests_total", Help: "Requests by kind of route, outcome and code.",
		}, []string{"kind", "outcome", "code"}),
		firstByteSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mangopier_first_byte_seconds", Help: "Time until the first bytes of an answer.", Buckets: buckets,
		}, []string{"kind", "outcome"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mangopier_request_seconds", Help: "Time until the end of an answer.", Buckets: buckets,
		}, []string{"kind", "outcome"}),
		targetCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_target_calls_total", Help: "Calls to targets by stage and outcome.",
		}, []string{"stage", "outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.requests, metrics.firstByteSeconds, metrics.requestSeconds, metrics.targetCalls)
	}
	return metrics
}

// end finishes the exchange. It is deferred and goes on with a panic of the handler.
func (exchange *exchange) end() {
	cause := recover()
	if cause != nil && cause != http.ErrAbortHandler { //nolint:errorlint,err113 // a panic's value, by identity
		exchange.failure = code.Errorf(code.Internal, "handler panicked")
		exchange.code, exchange.status = int(code.Internal), "refused"
		if exchange.headerSent {
			exchange.status = "cut"
		}
	}
	exchange.finish()
	if cause != nil {
		panic(cause)
	}
}

// finish updates the metrics and writes the log line of the request.
func (exchange *exchange) finish() {
	exchange.releaseMemory()
	kind := "none"
	if exchange.route != nil {
		kind = exchange.route.Kind.String()
	}
	exchange.updateMetrics(kind)
	event := exchange.proxy.logger.Info()
	event.Str("id", sanitizeForLog(exchange.id))
	if exchange.route != nil {
		event.Str("route", exchange.route.Name).Str("team", exchange.team.Name).Str("service", exchange.service.Name)
	}
	if exchange.manifest != nil {
		event.Int64("manifest", exchange.manifest.Version)
	}
	if exchange.service.Name == "" {
		exchange.logUnresolved(event)
	}
	if !exchange.deadline.IsZero() {
		event.Int64("deadline-ms", exchange.deadline.Sub(exchange.started).Milliseconds())
	}
	if exchange.workMS > 0 {
		event.Float64("ahead-ms", truncateToTenth(exchange.expectedWaitMS)).Float64("work-ms", truncateToTenth(exchange.workMS)).Float64("less-ms", truncateToTenth(exchange.lowerPriorityMS)).
			Int("cached", exchange.cachedTokens).Int("fetched", exchange.fetchedTokens).Int("prefill-priority", exchange.prefillPriority)
	}
	if exchange.forwarded {
		event.Bool("forwarded", true) // by another instance, which logs the request too
	}
	if exchange.request != nil && exchange.request.LastEventID != "" {
		event.Str("resumes", sanitizeForLog(exchange.request.Resumes)).Str("after-event", sanitizeForLog(exchange.request.LastEventID))
	}
	if exchange.maxGap > 0 {
		event.Int64("pause-ms", exchange.maxGap.Milliseconds())
	}
	event.Str("kind", kind).Str("tries", exchange.describeCalls()).Int("runs", exchange.runs).
		Str("outcome", exchange.status).Int("code", exchange.code).
		Int64("first-ms", exchange.firstByte.Milliseconds()).
		Int64("took-ms", time.Since(exchange.started).Milliseconds())
	exchange.logFailure(event)
	event.Msg("request ended")
}

// logUnresolved adds what tells why the manifest did not allow a request: what was looked up,
// and how current the manifest is.
func (exchange *exchange) logUnresolved(event *zerolog.Event) {
	host := exchange.host
	if exchange.request != nil {
		host = exchange.request.Host // as routes are compared with it
	}
	event.Str("host", sanitizeForLog(host)).Str("path", sanitizeForLog(exchange.path))
	if age := exchange.proxy.manifestAge; age != nil && exchange.manifest != nil {
		inForce, sinceContact := age()
		event.Int64("manifest-age-ms", inForce.Milliseconds()).Int64("store-contact-age-ms", sinceContact.Milliseconds())
	}
}

func (exchange *exchange) logFailure(event *zerolog.Event) {
	if exchange.failure == nil {
		return
	}
	event.Str("run", code.RunStatusFromError(exchange.failure).String()).Str("error", exchange.failure.Error())
	if fingerprint := exchange.quarantined.Fingerprint; fingerprint != 0 {
		event.Uint64("fingerprint", uint64(fingerprint))
	}
	if part := exchange.quarantined.Part; part > 0 {
		event.Str("prompt-part", sanitizeForLog(exchange.request.Prompt.Parts[part-1].ID))
	}
	if delay := code.RetryDelay(exchange.failure); delay > 0 {
		event.Int64("retry-after-ms", delay.Milliseconds())
	}
}

func (exchange *exchange) updateMetrics(kind string) {
	metrics := exchange.proxy.metrics
	outcome := exchange.status
	metrics.requests.WithLabelValues(kind, outcome, code.Code(exchange.code).MetricLabel()).Inc()
	metrics.firstByteSeconds.WithLabelValues(kind, outcome).Observe(exchange.firstByte.Seconds())
	metrics.requestSeconds.WithLabelValues(kind, outcome).Observe(time.Since(exchange.started).Seconds())
	for _, call := range exchange.calls {
		metrics.targetCalls.WithLabelValues(call.stage, call.outcome).Inc()
	}
}

// describeCalls returns stage, target, outcome, duration and, if there is one, the
// cause of each call, separated by spaces.
func (exchange *exchange) describeCalls() string {
	var text strings.Builder
	for i, call := range exchange.calls {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(call.stage + ":" + call.target + ":" + call.outcome + ":" + call.took.Round(time.Millisecond).String())
		if call.cause != "" {
			text.WriteString(":" + call.cause)
		}
	}
	return text.String()
}

func truncateToTenth(value float64) float64 { return float64(int(value*10)) / 10 }
