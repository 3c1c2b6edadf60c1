package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
)

// metrics are the relay's metrics. They have no label for the team, since there may
// be thousands of teams.
type metrics struct {
	requests      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	tokens        *prometheus.CounterVec
	ttfb          prometheus.Histogram
	admissionWait prometheus.Histogram
	retries       prometheus.Counter
	suspects      prometheus.Counter
}

func newMetrics() *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16)
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_requests_total", Help: "Requests by kind and result code, 0 for success.",
		}, []string{"kind", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mangopier_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: buckets,
		}, []string{"kind"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_tokens_total", Help: "Tokens by phase: prompt, cached or generated.",
		}, []string{"phase"}),
		ttfb: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mangopier_first_byte_seconds", Help: "Time from the send of an attempt to its first byte.", Buckets: buckets,
		}),
		admissionWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mangopier_admission_seconds", Help: "Time that requests waited for admission.", Buckets: buckets,
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangopier_retries_total", Help: "Attempts beyond the first of a request.",
		}),
		suspects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangopier_suspects_total", Help: "Requests that ran at a target when it crashed.",
		}),
	}
}

func (metrics *metrics) register(registerer prometheus.Registerer) {
	registerer.MustRegister(metrics.requests, metrics.duration, metrics.tokens,
		metrics.ttfb, metrics.admissionWait, metrics.retries, metrics.suspects)
}

func (metrics *metrics) recordRequest(path string, err error, duration time.Duration) {
	kind := requestKind(path)
	resultCode := 0
	if err != nil {
		resultCode = int(code.FromError(err))
	}
	metrics.requests.WithLabelValues(kind, strconv.Itoa(resultCode)).Inc()
	metrics.duration.WithLabelValues(kind).Observe(duration.Seconds())
}

// requestKind returns the kind of a request, for metrics and traces. The path itself
// is not used: there may be many paths, and a caller may put a secret in one.
func requestKind(path string) string {
	switch path {
	case "/v1/chat/completions":
		return "chat"
	case "/v1/models":
		return "models"
	default:
		return "service"
	}
}

func (metrics *metrics) addTokens(line usage.Line) {
	metrics.tokens.WithLabelValues("prompt").Add(float64(line.PromptTokens))
	metrics.tokens.WithLabelValues("cached").Add(float64(line.CachedTokens))
	metrics.tokens.WithLabelValues("generated").Add(float64(line.GeneratedTokens))
}
