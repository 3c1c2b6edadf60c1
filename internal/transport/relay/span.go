package relay

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"mangopier.example/mangopier/internal/protocol/code"
)

var propagator = propagation.TraceContext{}

// startSpan starts the span of a request, as part of the caller's trace if there is
// one.
func (relay *Relay) startSpan(r *http.Request) (context.Context, trace.Span) {
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return relay.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("kind", requestKind(r.URL.Path))))
}

func endSpan(span trace.Span, err error) {
	if err == nil {
		return
	}
	span.SetAttributes(attribute.Int("code", int(code.FromError(err))))
	span.SetStatus(codes.Error, code.Lookup(code.FromError(err)).Name)
}

// injectTrace adds the trace context to the headers of a call to a target.
func injectTrace(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
