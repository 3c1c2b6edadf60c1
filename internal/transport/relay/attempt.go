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
	errSilent     = errors.New("connection to the target is silent")
	errIncomplete = errors.New("response is incomplete or invalid")
)

// sendChat sends a chat request to targets until its response is complete or the
// retry policy allows no further attempt.
func (relay *Relay) sendChat(ctx context.Context, exchange *chatExchange) error {
	relay.retryPolicy.CountRequest()
	for {
		failure := relay.tryChat(ctx, exchange)
		if failure == nil {
			return nil
		}
		exchange.mayHaveRun = exchange.mayHaveRun || mayHaveRun(failure)
		decision := relay.retryPolicy.Decide(*failure)
		if decision.Action == retry.ReturnError || !pause.For(ctx, decision.Delay) {
			return relay.endIncomplete(ctx, exchange, decision.Err, failure)
		}
		relay.metrics.retries.Inc()
	}
}

// endIncomplete ends a chat exchange whose response is not complete. If the response
// has started, its usage is recorded, and the error is sent as the last event unless
// the caller has disconnected.
func (relay *Relay) endIncomplete(ctx context.Context, exchange *chatExchange, err error, failure *retry.Attempt) error {
	if err == nil {
		err = code.Wrap(failure.Err, code.TargetTimeout, "request ended while waiting to retry")
	}
	if exchange.mayHaveRun {
		err = correctRunStatus(err)
	}
	if exchange.progress.tokens > 0 || exchange.progress.started {
		relay.recordUsage(ctx, exchange)
	}
	if !exchange.progress.started {
		return err
	}
	if failure.CallerGone {
		return &responseStartedError{err}
	}
	if !code.Is(err, code.AnswerTruncated) {
		err = code.Wrap(err, code.AnswerTruncated, "response interrupted")
	}
	writeEvent(exchange.w, front.ErrorJSON(err))
	return &responseStartedError{err}
}

// mayHaveRun reports whether a target may have run the request in a failed attempt.
func mayHaveRun(failure *retry.Attempt) bool {
	return failure.State != retry.NotSent && !failure.Refused
}

// correctRunStatus changes the run status from not run to unknown. It is used for
// requests that may have run in an earlier attempt.
func correctRunStatus(err error) error {
	if code.RunStatusFromError(err) != code.NotRun {
		return err
	}
	return code.WithRunStatus(err, code.RunUnknown)
}

// tryChat makes one attempt to get the response, with a prefill attempt before it if
// the request is split. It returns nil if the response is complete.
func (relay *Relay) tryChat(ctx context.Context, exchange *chatExchange) *retry.Attempt {
	exchange.attemptCount++
	view := relay.routingTable.View()
	if relay.shouldSplit(view, exchange) {
		if failure := relay.prefill(ctx, exchange, view); failure != nil {
			return failure
		}
	}
	choice, err := relay.pickTarget(ctx, exchange, exchange.routeRequest)
	if code.Is(err, code.NoTarget) && len(exchange.routeRequest.Exclude) > 0 {
		// All remaining targets were tried before and may have recovered.
		exchange.routeRequest.Exclude = nil
		choice, err = relay.pickTarget(ctx, exchange, exchange.routeRequest)
	}
	if err != nil {
		return relay.newFailure(ctx, exchange, retry.NotSent, err)
	}
	return relay.tryTarget(ctx, exchange, view, choice, relay.forwardResponse)
}

// responseHandler processes the response of a target. It returns an error if the
// response is not complete.
type responseHandler func(ctx context.Context, exchange *chatExchange, attempt *attempt, response *back.Response) error

// tryTarget sends the request to the chosen target and updates the trackers of
// load and crashes.
func (relay *Relay) tryTarget(ctx context.Context, exchange *chatExchange, view *route.View, choice route.Choice, handle responseHandler) *retry.Attempt {
	exchange.routeRequest.Exclude = append(exchange.routeRequest.Exclude, choice.Target.ID)
	ctx, span := relay.tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", choice.Target.ID)))
	defer span.End()
	view.StartRequest(choice)
	defer choice.Release()
	failure := relay.sendAttempt(ctx, exchange, view, choice, handle)
	relay.poisonTracker.End(exchange.fingerprint, choice.Target.ID, failure == nil)
	if failure != nil {
		span.RecordError(failure.Err)
	}
	return failure
}

// pickTarget picks a target. If the request is suspected of crashing targets, it
// waits for a target that runs no other suspect.
func (relay *Relay) pickTarget(ctx context.Context, exchange *chatExchange, routeRequest route.Request) (route.Choice, error) {
	for {
		ended := relay.poisonTracker.NextEnd()
		choice, skipped, err := relay.tryPickTarget(exchange, routeRequest)
		if err == nil || !skipped {
			return choice, err
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return choice, err
		}
	}
}

// tryPickTarget picks a target without waiting. The second result reports whether a
// target was skipped because it runs another suspect.
func (relay *Relay) tryPickTarget(exchange *chatExchange, routeRequest route.Request) (route.Choice, bool, error) {
	view := relay.routingTable.View()
	skipped := false
	for {
		choice, err := relay.picker.Pick(view, &routeRequest)
		if err != nil || relay.poisonTracker.TryBegin(exchange.fingerprint, choice.Target.ID) {
			return choice, skipped, err
		}
		if relay.poisonTracker.Status(exchange.fingerprint) == poison.Quarantined {
			return choice, false, code.Errorf(code.RequestQuarantined, "request is quarantined: targets crashed while running it")
		}
		skipped = true
		routeRequest.Exclude = append(routeRequest.Exclude[:len(routeRequest.Exclude):len(routeRequest.Exclude)], choice.Target.ID)
	}
}

// crashRecoveryTime is how long a crashed target is assumed to be down after its last
// failure.
const crashRecoveryTime = 3 * time.Second

// attempt is one attempt in flight at a target.
type attempt struct {
	number    uint64
	choice    route.Choice
	startedAt time.Time
	ttfb      time.Duration // time to first byte, 0 before it was received
}

func (relay *Relay) sendAttempt(ctx context.Context, exchange *chatExchange, view *route.View, choice route.Choice, handle responseHandler) *retry.Attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := &attempt{number: relay.lastAttemptNumber.Add(1), choice: choice, startedAt: time.Now()}
	relay.cancelFuncs.Store(attempt.number, cancel)
	defer relay.cancelFuncs.Delete(attempt.number)
	relay.healthTracker.RecordSent(choice.Target.ID, attempt.number, choice.ExpectedTTFT)
	defer relay.healthTracker.RecordEnded(choice.Target.ID, attempt.number)

	body, err := exchange.nextBody()
	if err != nil {
		return relay.newFailure(ctx, exchange, retry.NotSent, err)
	}
	view.RecordPrefix(choice, exchange.routeRequest.BlockHashes)
	response, err := relay.client.Do(ctx, &back.Call{
		Address:    choice.Target.Address,
		Method:     http.MethodPost,
		Path:       "/v1/chat/completions",
		Header:     relay.chatHeader(ctx, exchange),
		Body:       body,
		AttemptID:  relay.attemptIDPrefix + strconv.FormatUint(attempt.number, 10),
		Repeatable: true,
	})
	if err != nil {
		return relay.recordFailure(ctx, exchange, attempt, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Refused || response.Status >= http.StatusMultipleChoices {
		return relay.recordRefusal(ctx, exchange, attempt, response)
	}
	if err := handle(ctx, exchange, attempt, response); err != nil {
		return relay.recordFailure(ctx, exchange, attempt, err)
	}
	relay.recordHealth(attempt, health.Success)
	return nil
}

func (relay *Relay) forwardResponse(ctx context.Context, exchange *chatExchange, attempt *attempt, response *back.Response) error {
	if exchange.request.Stream {
		return relay.forwardStream(ctx, exchange, attempt, response.Body)
	}
	return relay.forwardBody(ctx, exchange, attempt, response.Body)
}

// nextBody returns the request body for the next attempt. If the caller has received
// a part of the response, the body asks the engine to resume after that part.
func (exchange *chatExchange) nextBody() ([]byte, error) {
	if exchange.progress.tokens == 0 {
		return exchange.body, nil
	}
	request := *exchange.request
	request.Resume = &chat.Resume{
		ResponseID: exchange.progress.id, DeliveredTokens: exchange.progress.tokens, DeliveredText: exchange.progress.text.String(),
	}
	return request.Encode()
}

// recordFailure reports a failed attempt to health tracking and crash detection. It
// reports nothing if the caller disconnected or the deadline passed.
func (relay *Relay) recordFailure(ctx context.Context, exchange *chatExchange, attempt *attempt, err error) *retry.Attempt {
	state := retry.MayHaveRun
	var callError *back.CallError
	if errors.As(err, &callError) {
		state = retry.State(callError.State)
	}
	failure := relay.newFailure(ctx, exchange, state, err)
	if failure.CallerGone || deadlinePassed(ctx) {
		return failure
	}
	relay.recordHealth(attempt, health.Failure)
	if state != retry.NotSent && !failure.TimedOut && !relay.isStopping(attempt.choice.Target.ID) {
		relay.recordCrash(attempt.choice.Target.ID)
	}
	relay.logger.Debug().Str("target", attempt.choice.Target.ID).Err(err).Msg("attempt at target failed")
	return failure
}

// recordCrash records that a target crashed while running requests. Further failures
// within crashRecoveryTime are ignored: these requests failed in the same crash, or
// were sent while the target was down, and did not cause it.
func (relay *Relay) recordCrash(target string) {
	now := time.Now()
	previous, loaded := relay.lastFailures.Swap(target, now)
	if at, ok := previous.(time.Time); loaded && ok && now.Sub(at) < crashRecoveryTime {
		return
	}
	suspects := relay.poisonTracker.RecordCrash(target)
	if len(suspects) == 0 {
		return
	}
	relay.metrics.suspects.Add(float64(len(suspects)))
	relay.logger.Warn().Str("target", target).Int("suspects", len(suspects)).Msg("target crashed while running requests")
}

// recordRefusal reports a response with an error status to health tracking, unless
// the target states that it did not run the request.
func (relay *Relay) recordRefusal(ctx context.Context, exchange *chatExchange, attempt *attempt, response *back.Response) *retry.Attempt {
	failure := relay.newFailure(ctx, exchange, retry.Responded,
		code.Errorf(code.TargetRefused, "target responded with status %d", response.Status))
	failure.Refused = response.Refused
	if !response.Refused {
		relay.recordHealth(attempt, health.Failure)
	}
	return failure
}

func (relay *Relay) newFailure(ctx context.Context, exchange *chatExchange, state retry.State, err error) *retry.Attempt {
	return &retry.Attempt{
		State:           state,
		AttemptCount:    exchange.attemptCount,
		Repeatable:      true,
		ResponseStarted: exchange.progress.started,
		Resumable:       exchange.request.Stream,
		CallerGone:      ctx.Err() != nil && !deadlinePassed(ctx) && !errors.Is(context.Cause(ctx), errSilent),
		TimedOut:        errors.Is(context.Cause(ctx), errSilent) || deadlinePassed(ctx),
		Deadline:        exchange.deadline,
		Err:             err,
	}
}

func (relay *Relay) recordHealth(attempt *attempt, outcome health.Outcome) {
	target := attempt.choice.Target
	changed := relay.healthTracker.Observe(health.Observation{
		Target: target.ID, Outcome: outcome,
		TTFB: attempt.ttfb, ExpectedTTFB: attempt.choice.ExpectedTTFT,
	})
	if changed {
		relay.routingTable.SetWeights(relay.healthTracker.Weights())
	}
}

// recordReceived records that bytes were received from the target.
func (relay *Relay) recordReceived(attempt *attempt) {
	relay.healthTracker.RecordReceived(attempt.choice.Target.ID, attempt.number)
	if attempt.ttfb == 0 {
		attempt.ttfb = time.Since(attempt.startedAt)
		attempt.choice.RecordFirstToken()
		relay.metrics.ttfb.Observe(attempt.ttfb.Seconds())
	}
}

// chatHeader returns the headers of a chat call to a target. None of the caller's
// headers is forwarded, apart from the trace context.
func (relay *Relay) chatHeader(ctx context.Context, exchange *chatExchange) http.Header {
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
