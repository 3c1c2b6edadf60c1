package node

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/front"
)

// maxDropLinesPerSecond bounds the log lines of requests and connections that got no
// response. Each error response has its line.
const maxDropLinesPerSecond = 100

// refusals counts and logs what the servers refuse and drop before it reaches a handler.
type refusals struct {
	logger zerolog.Logger
	total  *prometheus.CounterVec

	mutex    sync.Mutex
	second   time.Time // in which the lines were written
	lines    int
	unlogged int // since the last line
}

func newRefusals(registerer prometheus.Registerer, logger zerolog.Logger) *refusals {
	refusals := &refusals{
		logger: logger.With().Str("part", "front").Logger(),
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_server_refusals_total", Help: "Requests and connections that the server ended itself, by cause and code; 0 without an error response.",
		}, []string{"cause", "code"}),
	}
	registerer.MustRegister(refusals.total)
	return refusals
}

// handle is a front.WithRefusalHandler.
func (refusals *refusals) handle(refusal front.Refusal) {
	number := code.Code(0)
	if refusal.Err != nil && refusal.Cause != front.CauseAccept {
		number = code.FromError(refusal.Err)
	}
	refusals.total.WithLabelValues(string(refusal.Cause), number.MetricLabel()).Inc()
	if refusal.Cause == front.CauseIdle {
		return
	}
	unlogged, allowed := refusals.admitLine(refusal.Status)
	if !allowed {
		return
	}
	event := refusals.logger.Info().Str("cause", string(refusal.Cause)).Str("id", refusal.ID).Str("method", refusal.Method).
		Str("host", refusal.Host).Str("path", refusal.Path).Str("from", refusal.RemoteAddress).Int("bytes", refusal.Bytes).
		Int("code", int(number)).Int("status", refusal.Status)
	if refusal.Err != nil {
		event.Str("error", truncate(refusal.Err.Error()))
	}
	if refusal.Cause != front.CausePanic {
		event.Stringer("run", code.NotRun)
	}
	if unlogged > 0 {
		event.Int("unlogged", unlogged)
	}
	if refusal.Status > 0 {
		event.Msg("request refused by the server")
		return
	}
	event.Msg("request or connection dropped by the server")
}

// admitLine reports whether a line may be written, and how many were not since the last
// one.
func (refusals *refusals) admitLine(status int) (unlogged int, allowed bool) {
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	if now := time.Now(); now.Sub(refusals.second) >= time.Second {
		refusals.second, refusals.lines = now, 0
	}
	if status == 0 {
		if refusals.lines >= maxDropLinesPerSecond {
			refusals.unlogged++
			return 0, false
		}
		refusals.lines++
	}
	unlogged, refusals.unlogged = refusals.unlogged, 0
	return unlogged, true
}

// truncate bounds an error text, which may quote the caller.
func truncate(text string) string {
	const maxBytes = 256
	return text[:min(len(text), maxBytes)]
}
