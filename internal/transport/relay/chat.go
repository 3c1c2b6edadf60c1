package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/coordination/admit"
	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/chat"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// chatExchange is a caller's chat request and the state of its attempts.
type chatExchange struct {
	caller           caller
	request          *chat.Request
	body             []byte // as sent to the engine in a first attempt
	callerWantsUsage bool
	fingerprint      poison.Fingerprint
	routeRequest     route.Request
	deadline         time.Time
	w                http.ResponseWriter
	attemptCount     int
	mayHaveRun       bool      // a failed attempt may have run
	phase            note.Role // prefill during a prefill-only attempt, otherwise empty
	kvSource         string    // address and handle of the prompt's KV cache, empty before prefill
	progress         progress
}

// progress is the part of the response that was sent to the caller.
type progress struct {
	started  bool
	id       string
	tokens   int
	text     strings.Builder
	finished bool
	usage    *chat.Usage
}

// serveChat serves a chat-completions request.
func (relay *Relay) serveChat(ctx context.Context, w http.ResponseWriter, r *http.Request, catalog *note.Catalog) error {
	if r.Method != http.MethodPost {
		return code.Errorf(code.MethodNotAllowed, "%s is not POST", r.Method)
	}
	caller, err := relay.authenticate(r, catalog)
	if err != nil {
		return err
	}
	exchange, err := relay.newChatExchange(w, r, caller, catalog)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	release, err := relay.admitChat(ctx, exchange)
	if err != nil {
		return err
	}
	err = relay.sendChat(ctx, exchange)
	release(relay.engineSeconds(exchange))
	return err
}

func (relay *Relay) newChatExchange(w http.ResponseWriter, r *http.Request, caller caller, catalog *note.Catalog) (*chatExchange, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, code.Wrap(err, code.MalformedRequest, "read body")
	}
	if err := checkKeyNotExposed(r, body); err != nil {
		return nil, err
	}
	request, err := chat.Decode(body)
	if err != nil {
		return nil, err
	}
	if _, ok := catalog.Models[request.Model]; !ok {
		return nil, code.Errorf(code.ModelUnknown, "no model %q", request.Model)
	}
	if err := checkAccess(caller.team, request.Model); err != nil {
		return nil, err
	}
	deadline, err := relay.requestDeadline(r, relay.requestTimeout)
	if err != nil {
		return nil, err
	}
	exchange := &chatExchange{
		caller: caller, request: request, callerWantsUsage: request.WantsUsage(), deadline: deadline, w: w,
		fingerprint: poison.NewFingerprint(caller.team.Name, xxhash.Sum64(body)),
	}
	if relay.poisonTracker.Status(exchange.fingerprint) == poison.Quarantined {
		return nil, code.Errorf(code.RequestQuarantined, "request is quarantined: targets crashed while running it")
	}
	return exchange, relay.prepare(exchange)
}

// prepare sets the body for the engine and the routing request.
func (relay *Relay) prepare(exchange *chatExchange) error {
	request := exchange.request
	if request.Stream {
		request.EnableUsage()
	}
	body, err := request.Encode()
	if err != nil {
		return code.Wrap(err, code.Internal, "encode request")
	}
	exchange.body = body
	exchange.routeRequest = route.Request{
		Model:           request.Model,
		Team:            exchange.caller.team.Name,
		PromptTokens:    request.EstimatePromptTokens(),
		BlockHashes:     request.BlockHashes(),
		PredictedTokens: relay.predictOutputTokens(exchange),
		Repeatable:      true,
	}
	return nil
}

// predictOutputTokens returns the expected length of the response in tokens, at most
// the caller's limit.
func (relay *Relay) predictOutputTokens(exchange *chatExchange) float64 {
	predicted := relay.predictor.ExpectedTokens(exchange.caller.team.Name, exchange.request.Model)
	if limit := exchange.request.MaxTokens; limit > 0 {
		return min(predicted, float64(limit))
	}
	return predicted
}

func (relay *Relay) admitChat(ctx context.Context, exchange *chatExchange) (admit.Release, error) {
	ctx, span := relay.tracer.Start(ctx, "admission")
	defer span.End()
	throughput := relay.modelThroughput(exchange.request.Model)
	prefillSeconds := float64(exchange.routeRequest.PromptTokens) / throughput.prefillTPS
	admissionStart := time.Now()
	release, err := relay.engineAdmitter.Admit(ctx, admit.Request{
		Team:        exchange.caller.team.Name,
		Weight:      float64(exchange.caller.team.Weight),
		Cost:        prefillSeconds + exchange.routeRequest.PredictedTokens/throughput.decodeTPS,
		Deadline:    exchange.deadline,
		ServiceTime: time.Duration(prefillSeconds * float64(time.Second)),
	})
	relay.metrics.admissionWait.Observe(time.Since(admissionStart).Seconds())
	if err != nil {
		return nil, admissionError(ctx, err)
	}
	if err := relay.recheckKey(exchange.caller); err != nil {
		release(0)
		return nil, err
	}
	return release, nil
}

// admissionError returns the error with its result code for a request that was not
// admitted. If the request's context has ended, the code gives the reason.
func admissionError(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return code.Errorf(code.DeadlineTooShort, "deadline passed while the request was queued")
	case ctx.Err() != nil:
		return code.WithRunStatus(code.Errorf(code.CallerGone, "caller disconnected while the request was queued"), code.NotRun)
	default:
		return err
	}
}

// engineSeconds returns the actual cost of an exchange, in seconds of engine time.
func (relay *Relay) engineSeconds(exchange *chatExchange) float64 {
	throughput := relay.modelThroughput(exchange.request.Model)
	line := exchange.usageLine()
	return float64(line.PromptTokens-line.CachedTokens)/throughput.prefillTPS + float64(line.GeneratedTokens)/throughput.decodeTPS
}

// usageLine returns the usage of an exchange. If the engine reported no usage, the
// tokens sent to the caller are counted.
func (exchange *chatExchange) usageLine() usage.Line {
	line := usage.Line{
		Team: exchange.caller.team.Name, Model: exchange.request.Model, Requests: 1,
		PromptTokens: int64(exchange.routeRequest.PromptTokens), GeneratedTokens: int64(exchange.progress.tokens),
	}
	if reported := exchange.progress.usage; reported != nil {
		line.PromptTokens = int64(max(0, reported.PromptTokens))
		line.GeneratedTokens = int64(max(0, reported.CompletionTokens))
		line.CachedTokens = int64(max(0, reported.CachedTokens()))
	}
	return line
}

// recordUsage records the usage of an exchange, also if the caller has disconnected.
func (relay *Relay) recordUsage(ctx context.Context, exchange *chatExchange) {
	line := exchange.usageLine()
	relay.predictor.RecordOutput(line.Team, line.Model, int(line.GeneratedTokens))
	relay.metrics.addTokens(line)
	if relay.usageRecorder == nil {
		return
	}
	if err := relay.usageRecorder.Record(context.WithoutCancel(ctx), line); err != nil {
		relay.logger.Warn().Err(err).Msg("usage record has no replica yet")
	}
}
