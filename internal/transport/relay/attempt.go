package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/protocol/chat"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/front"
)

var (
	errSilent    = errors.New("the connection to the target is silent")
	errTruncated = errors.New("the answer ended before it was whole")
)

// run sends an exchange to targets until its answer is whole or the policy
// gives up.
func (relay *Relay) run(ctx context.Context, exchange *exchange) error {
	relay.policy.CountRequest()
	for {
		failure := relay.try(ctx, exchange)
		if failure == nil {
			return nil
		}
		exchange.mayHaveRun = exchange.mayHaveRun || mayHaveRun(failure)
		decision := relay.policy.Decide(*failure)
		if decision.Action == retry.ReturnError || !pause.For(ctx, decision.Delay) {
			return relay.giveUp(ctx, exchange, decision.Err, failure)
		}
		relay.metrics.retries.Inc()
	}
}

// giveUp ends an exchange without a whole answer.
func (relay *Relay) giveUp(ctx context.Context, exchange *exchange, err error, failure *retry.Attempt) error {
	if err == nil {
		err = code.Wrap(failure.Err, code.TargetTimeout, "the request ended while it waited for another target")
	}
	if exchange.mayHaveRun {
		err = neverNotRun(err)
	}
	if exchange.progress.tokens > 0 || exchange.progress.begun {
		relay.record(ctx, exchange)
	}
	if !exchange.progress.begun {
		return err
	}
	if failure.CallerGone {
		return &begunError{err}
	}
	if !code.Is(err, code.AnswerTruncated) {
		err = code.Wrap(err, code.AnswerTruncated, "answer")
	}
	writeEvent(exchange.w, front.ErrorJSON(err))
	return &begunError{err}
}

// mayHaveRun reports whether a target may have run the request in an attempt.
func mayHaveRun(failure *retry.Attempt) bool {
	return failure.State != retry.NotSent && !failure.Refused
}

// neverNotRun keeps an error from saying of a request that it was not run when
// only its last attempt was not.
func neverNotRun(err error) error {
	if code.RunOf(err) != code.NotRun {
		return err
	}
	return code.WithRun(err, code.RunUnknown)
}

// try makes one attempt at a target. It returns nil when the answer is whole.
func (relay *Relay) try(ctx context.Context, exchange *exchange) *retry.Attempt {
	exchange.tries++
	view := relay.targets.View()
	if relay.splits(view, exchange) {
		if failure := relay.prefill(ctx, exchange, view); failure != nil {
			return failure
		}
	}
	choice, err := relay.pick(ctx, exchange, exchange.ask)
	if code.Is(err, code.NoTarget) && len(exchange.ask.Exclude) > 0 {
		// All that is left are targets tried before, which may be back.
		exchange.ask.Exclude = nil
		choice, err = relay.pick(ctx, exchange, exchange.ask)
	}
	if err != nil {
		return relay.attemptOf(ctx, exchange, retry.NotSent, err)
	}
	return relay.tryAt(ctx, exchange, view, choice, relay.deliver)
}

// receiver takes an answer of a target.
type receiver func(ctx context.Context, exchange *exchange, flight *flight, answer *back.Response) error

// tryAt makes one attempt at the chosen target.
func (relay *Relay) tryAt(ctx context.Context, exchange *exchange, view *route.View, choice route.Choice, receive receiver) *retry.Attempt {
	exchange.ask.Exclude = append(exchange.ask.Exclude, choice.Target.ID)
	ctx, span := relay.tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", choice.Target.ID)))
	defer span.End()
	view.Start(choice)
	defer choice.Done()
	failure := relay.send(ctx, exchange, view, choice, receive)
	relay.poison.End(exchange.fingerprint, choice.Target.ID, failure == nil)
	if failure != nil {
		span.RecordError(failure.Err)
	}
	return failure
}

// pick chooses a target that may run the request beside what it runs. A
// request that has to run alone waits until one is free of other suspects.
func (relay *Relay) pick(ctx context.Context, exchange *exchange, ask route.Request) (route.Choice, error) {
	for {
		freed := relay.poison.NextEnd()
		choice, busy, err := relay.pickFree(exchange, ask)
		if err == nil || !busy {
			return choice, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return choice, err
		}
	}
}

// pickFree also reports whether a target was passed over for what it runs.
func (relay *Relay) pickFree(exchange *exchange, ask route.Request) (route.Choice, bool, error) {
	view := relay.targets.View()
	busy := false
	for {
		choice, err := relay.picker.Pick(view, &ask)
		if err != nil || relay.poison.TryBegin(exchange.fingerprint, choice.Target.ID) {
			return choice, busy, err
		}
		if relay.poison.Status(exchange.fingerprint) == poison.Quarantined {
			return choice, false, code.Errorf(code.RequestQuarantined, "targets crashed under this request")
		}
		busy = true
		ask.Exclude = append(ask.Exclude[:len(ask.Exclude):len(ask.Exclude)], choice.Target.ID)
	}
}

// crashGrace is how long after its last failure a crashed target may still be
// down.
const crashGrace = 3 * time.Second

// flight is one attempt under way, with what is to be told about its end.
type flight struct {
	id      uint64
	choice  route.Choice
	started time.Time
	first   time.Duration // until the first byte, 0 before it
}

func (relay *Relay) send(ctx context.Context, exchange *exchange, view *route.View, choice route.Choice, receive receiver) *retry.Attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	flight := &flight{id: relay.sequence.Add(1), choice: choice, started: time.Now()}
	relay.attempts.Store(flight.id, cancel)
	defer relay.attempts.Delete(flight.id)
	relay.health.RecordSent(choice.Target.ID, flight.id, choice.Delay)
	defer relay.health.RecordEnded(choice.Target.ID, flight.id)

	body, err := exchange.bodyFor()
	if err != nil {
		return relay.attemptOf(ctx, exchange, retry.NotSent, err)
	}
	view.Sent(choice, exchange.ask.Blocks)
	answer, err := relay.client.Do(ctx, &back.Call{
		Address:    choice.Target.Address,
		Method:     http.MethodPost,
		Path:       "/v1/chat/completions",
		Header:     relay.chatHeader(ctx, exchange),
		Body:       body,
		AttemptID:  relay.prefix + strconv.FormatUint(flight.id, 10),
		Repeatable: true,
	})
	if err != nil {
		return relay.failed(ctx, exchange, flight, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Refused || answer.Status >= http.StatusMultipleChoices {
		return relay.refused(ctx, exchange, flight, answer)
	}
	if err := receive(ctx, exchange, flight, answer); err != nil {
		return relay.failed(ctx, exchange, flight, err)
	}
	relay.observe(flight, health.Success)
	return nil
}

func (relay *Relay) deliver(ctx context.Context, exchange *exchange, flight *flight, answer *back.Response) error {
	if exchange.request.Stream {
		return relay.copyStream(ctx, exchange, flight, answer.Body)
	}
	return relay.copyWhole(ctx, exchange, flight, answer.Body)
}

// bodyFor returns the body for the next attempt, which resumes an answer that
// the caller has a part of.
func (exchange *exchange) bodyFor() ([]byte, error) {
	if exchange.progress.tokens == 0 {
		return exchange.body, nil
	}
	request := *exchange.request
	request.Resume = &chat.Resume{
		ID: exchange.progress.id, Tokens: exchange.progress.tokens, Text: exchange.progress.text.String(),
	}
	return request.Encode()
}

// failed tells health and poison detection of an attempt that broke.
func (relay *Relay) failed(ctx context.Context, exchange *exchange, flight *flight, err error) *retry.Attempt {
	state := retry.MayHaveRun
	var failure *back.CallError
	if errors.As(err, &failure) {
		state = retry.State(failure.State)
	}
	attempt := relay.attemptOf(ctx, exchange, state, err)
	if attempt.CallerGone || deadlinePassed(ctx) {
		return attempt
	}
	relay.observe(flight, health.Failure)
	if state != retry.NotSent && !attempt.TimedOut && !relay.expected(flight.choice.Target.ID) {
		relay.suspect(flight.choice.Target.ID)
	}
	relay.logger.Debug().Str("target", flight.choice.Target.ID).Err(err).Msg("attempt failed")
	return attempt
}

// suspect notes that a target crashed under the requests that it ran. Requests
// that fail there until it is back met the same crash or came after it, and
// are not to blame.
func (relay *Relay) suspect(target string) {
	now := time.Now()
	last, known := relay.crashes.Swap(target, now)
	if at, ok := last.(time.Time); known && ok && now.Sub(at) < crashGrace {
		return
	}
	suspects := relay.poison.RecordCrash(target)
	if len(suspects) == 0 {
		return
	}
	relay.metrics.suspects.Add(float64(len(suspects)))
	relay.logger.Warn().Str("target", target).Int("suspects", len(suspects)).Msg("target crashed under requests")
}

func (relay *Relay) refused(ctx context.Context, exchange *exchange, flight *flight, answer *back.Response) *retry.Attempt {
	attempt := relay.attemptOf(ctx, exchange, retry.Responded,
		code.Errorf(code.TargetRefused, "target answers with status %d", answer.Status))
	attempt.Refused = answer.Refused
	if !answer.Refused {
		relay.observe(flight, health.Failure)
	}
	return attempt
}

func (relay *Relay) attemptOf(ctx context.Context, exchange *exchange, state retry.State, err error) *retry.Attempt {
	return &retry.Attempt{
		State:           state,
		AttemptCount:    exchange.tries,
		Repeatable:      true,
		ResponseStarted: exchange.progress.begun,
		Resumable:       exchange.request.Stream,
		CallerGone:      ctx.Err() != nil && !deadlinePassed(ctx) && !errors.Is(context.Cause(ctx), errSilent),
		TimedOut:        errors.Is(context.Cause(ctx), errSilent) || deadlinePassed(ctx),
		Deadline:        exchange.deadline,
		Err:             err,
	}
}

func (relay *Relay) observe(flight *flight, outcome health.Outcome) {
	target := flight.choice.Target
	changed := relay.health.Observe(health.Observation{
		Target: target.ID, Outcome: outcome,
		TTFB: flight.first, ExpectedTTFB: flight.choice.Delay,
	})
	if changed {
		relay.targets.SetWeights(relay.health.Weights())
	}
}

// heard notes that bytes came from the target.
func (relay *Relay) heard(flight *flight) {
	relay.health.RecordReceived(flight.choice.Target.ID, flight.id)
	if flight.first == 0 {
		flight.first = time.Since(flight.started)
		flight.choice.FirstToken()
		relay.metrics.firstByte.Observe(flight.first.Seconds())
	}
}

// chatHeader returns the headers of a chat call to a target. Nothing of the
// caller's own headers is among them.
func (relay *Relay) chatHeader(ctx context.Context, exchange *exchange) http.Header {
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(engine.HeaderTeam, exchange.caller.team.Name)
	if exchange.phase != "" {
		header.Set(engine.HeaderPhase, string(exchange.phase))
	}
	if exchange.kvSource != "" {
		header.Set(engine.HeaderKVSource, exchange.kvSource)
	}
	injectTrace(ctx, header)
	return header
}

func deadlinePassed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
