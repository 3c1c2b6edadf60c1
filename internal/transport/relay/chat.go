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

// exchange is one chat request on its way.
type exchange struct {
	caller      caller
	request     *chat.Request
	body        []byte // as the engine gets it, without resume
	wantsUsage  bool
	fingerprint poison.Fingerprint
	ask         route.Request
	deadline    time.Time
	w           http.ResponseWriter
	tries       int
	mayHaveRun  bool      // in an attempt that failed
	phase       note.Role // prefill while only the prompt is to be processed
	kvSource    string    // where the prompt's KV cache is, if it was prefilled
	progress    progress
}

// progress is what the caller has of the answer.
type progress struct {
	begun    bool
	id       string
	tokens   int
	text     strings.Builder
	finished bool
	usage    *chat.Usage
}

// serveChat serves a chat-completions call.
func (relay *Relay) serveChat(ctx context.Context, w http.ResponseWriter, r *http.Request, catalog *note.Catalog) error {
	if r.Method != http.MethodPost {
		return code.Errorf(code.MethodNotAllowed, "%s is not POST", r.Method)
	}
	caller, err := relay.authenticate(r, catalog)
	if err != nil {
		return err
	}
	exchange, err := relay.newExchange(w, r, caller, catalog)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	release, err := relay.admitChat(ctx, exchange)
	if err != nil {
		return err
	}
	err = relay.run(ctx, exchange)
	release(relay.spent(exchange))
	return err
}

func (relay *Relay) newExchange(w http.ResponseWriter, r *http.Request, caller caller, catalog *note.Catalog) (*exchange, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, code.Wrap(err, code.MalformedRequest, "read body")
	}
	if err := checkKeyHidden(r, body); err != nil {
		return nil, err
	}
	request, err := chat.Decode(body)
	if err != nil {
		return nil, err
	}
	if _, ok := catalog.Models[request.Model]; !ok {
		return nil, code.Errorf(code.ModelUnknown, "no model %q", request.Model)
	}
	if err := allowed(caller.team, request.Model); err != nil {
		return nil, err
	}
	deadline, err := relay.deadlineOf(r, relay.timeout)
	if err != nil {
		return nil, err
	}
	exchange := &exchange{
		caller: caller, request: request, wantsUsage: request.WantsUsage(), deadline: deadline, w: w,
		fingerprint: poison.NewFingerprint(caller.team.Name, xxhash.Sum64(body)),
	}
	if relay.poison.Status(exchange.fingerprint) == poison.Quarantined {
		return nil, code.Errorf(code.RequestQuarantined, "targets crashed under this request")
	}
	return exchange, relay.prepare(exchange)
}

// prepare sets what the engine gets and what the choice of one has to know.
func (relay *Relay) prepare(exchange *exchange) error {
	request := exchange.request
	if request.Stream {
		request.AskUsage()
	}
	body, err := request.Encode()
	if err != nil {
		return code.Wrap(err, code.Internal, "encode request")
	}
	exchange.body = body
	exchange.ask = route.Request{
		Model:        request.Model,
		Team:         exchange.caller.team.Name,
		PromptTokens: request.PromptTokens(),
		Blocks:       request.Blocks(),
		Predicted:    relay.predict(exchange),
		Repeatable:   true,
	}
	return nil
}

func (relay *Relay) predict(exchange *exchange) float64 {
	predicted := relay.predictor.Predict(exchange.caller.team.Name, exchange.request.Model)
	if limit := exchange.request.MaxTokens; limit > 0 {
		return min(predicted, float64(limit))
	}
	return predicted
}

func (relay *Relay) admitChat(ctx context.Context, exchange *exchange) (admit.Release, error) {
	ctx, span := relay.tracer.Start(ctx, "admission")
	defer span.End()
	rate := relay.rateOf(exchange.request.Model)
	prefill := float64(exchange.ask.PromptTokens) / rate.prefill
	started := time.Now()
	release, err := relay.engines.Admit(ctx, admit.Request{
		Team:        exchange.caller.team.Name,
		Weight:      float64(exchange.caller.team.Weight),
		Cost:        prefill + exchange.ask.Predicted/rate.decode,
		Deadline:    exchange.deadline,
		ServiceTime: time.Duration(prefill * float64(time.Second)),
	})
	relay.metrics.admission.Observe(time.Since(started).Seconds())
	if err != nil {
		return nil, admissionError(ctx, err)
	}
	if err := relay.stillValid(exchange.caller); err != nil {
		release(0)
		return nil, err
	}
	return release, nil
}

// admissionError turns the end of a waiting request's context into its code.
func admissionError(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return code.Errorf(code.DeadlineTooShort, "the deadline passed while the request waited")
	case ctx.Err() != nil:
		return code.WithRun(code.Errorf(code.CallerGone, "the caller left while the request waited"), code.NotRun)
	default:
		return err
	}
}

// spent returns what an exchange really cost, in seconds of an engine.
func (relay *Relay) spent(exchange *exchange) float64 {
	rate := relay.rateOf(exchange.request.Model)
	line := exchange.line()
	return float64(line.PromptTokens-line.CachedTokens)/rate.prefill + float64(line.GeneratedTokens)/rate.decode
}

// line returns the usage of an exchange. Where the engine's count did not
// arrive, it is that of what was delivered.
func (exchange *exchange) line() usage.Line {
	line := usage.Line{
		Team: exchange.caller.team.Name, Model: exchange.request.Model, Requests: 1,
		PromptTokens: int64(exchange.ask.PromptTokens), GeneratedTokens: int64(exchange.progress.tokens),
	}
	if count := exchange.progress.usage; count != nil {
		line.PromptTokens = int64(max(0, count.PromptTokens))
		line.GeneratedTokens = int64(max(0, count.CompletionTokens))
		line.CachedTokens = int64(max(0, count.CachedTokens()))
	}
	return line
}

// record counts an exchange. Its context outlives the caller's.
func (relay *Relay) record(ctx context.Context, exchange *exchange) {
	line := exchange.line()
	relay.predictor.Learn(line.Team, line.Model, int(line.GeneratedTokens))
	relay.metrics.count(line)
	if relay.meter == nil {
		return
	}
	if err := relay.meter.Record(context.WithoutCancel(ctx), line); err != nil {
		relay.logger.Warn().Err(err).Msg("usage has no copy yet")
	}
}
