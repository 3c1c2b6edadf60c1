package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/back"
)

const (
	defaultServiceTimeout = 30 * time.Second
	serviceCallCost       = 1      // calls
	publicTeam            = "open" // team of requests to routes that need no key
	headerIdempotency     = "Idempotency-Key"
	headerReplayed        = "X-Mangopier-Replayed"
)

// forwardedRequestHeaders are the request headers forwarded to plain services.
var forwardedRequestHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// forwardedResponseHeaders are the headers of plain services forwarded to callers.
var forwardedResponseHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Last-Modified", "Cache-Control", "Retry-After"}

// serviceExchange is a caller's request to a plain service and the state of its
// attempts.
type serviceExchange struct {
	caller       caller
	route        note.Route
	method       string
	path         string // with query
	header       http.Header
	body         []byte
	deadline     time.Time
	attemptCount int
	triedTargets []string
	ticket       *once.Ticket

	mayHaveRun bool // a failed attempt may have run
}

// serveRoute forwards a request to the plain service of its route.
func (relay *Relay) serveRoute(ctx context.Context, w http.ResponseWriter, r *http.Request, catalog *note.Catalog) error {
	exchange, err := relay.newServiceExchange(r, catalog)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	release, err := relay.admitService(ctx, exchange)
	if err != nil {
		return err
	}
	defer release(serviceCallCost)
	outcome, err := relay.runService(ctx, exchange, r.Header.Get(headerIdempotency))
	if err != nil {
		return err
	}
	relay.recordServiceUsage(ctx, exchange)
	writeOutcome(w, outcome)
	return nil
}

func (relay *Relay) newServiceExchange(r *http.Request, catalog *note.Catalog) (*serviceExchange, error) {
	if clean := path.Clean(r.URL.Path); clean != strings.TrimSuffix(r.URL.Path, "/") && clean != r.URL.Path {
		return nil, code.Errorf(code.MalformedRequest, "the path %q is not in its shortest form", r.URL.Path)
	}
	matched, ok := findRoute(catalog, r.URL.Path)
	if !ok {
		return nil, code.Errorf(code.PathUnknown, "no route has the path %q", r.URL.Path)
	}
	exchange := &serviceExchange{
		caller: caller{team: note.Team{Name: publicTeam}}, route: matched,
		method: r.Method, path: r.URL.RequestURI(), header: http.Header{},
	}
	var err error
	if !matched.Public {
		if exchange.caller, err = relay.authenticate(r, catalog); err != nil {
			return nil, err
		}
		if err := checkAccess(exchange.caller.team, matched.Service); err != nil {
			return nil, err
		}
	}
	if exchange.deadline, err = relay.requestDeadline(r, min(relay.requestTimeout, serviceTimeout(matched))); err != nil {
		return nil, err
	}
	if exchange.body, err = io.ReadAll(r.Body); err != nil {
		return nil, code.Wrap(err, code.MalformedRequest, "read body")
	}
	if err := checkKeyNotExposed(r, exchange.body); err != nil {
		return nil, err
	}
	for _, name := range forwardedRequestHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			exchange.header[name] = values
		}
	}
	return exchange, nil
}

// findRoute returns the route whose path is the longest prefix of the requested
// path, matched by whole segments.
func findRoute(catalog *note.Catalog, requestPath string) (note.Route, bool) {
	for prefix := requestPath; prefix != ""; {
		if matched, ok := catalog.Routes[prefix]; ok {
			return matched, true
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
	matched, ok := catalog.Routes["/"]
	return matched, ok
}

func serviceTimeout(matched note.Route) time.Duration {
	if matched.TimeoutMS == 0 {
		return defaultServiceTimeout
	}
	return time.Duration(matched.TimeoutMS) * time.Millisecond
}

func (relay *Relay) admitService(ctx context.Context, exchange *serviceExchange) (admit.Release, error) {
	ctx, span := relay.tracer.Start(ctx, "admission")
	defer span.End()
	release, err := relay.serviceAdmitter.Admit(ctx, admit.Request{
		Team: exchange.caller.team.Name, Weight: float64(exchange.caller.team.Weight),
		Cost: serviceCallCost, Deadline: exchange.deadline,
	})
	if err != nil {
		return nil, admissionError(ctx, err)
	}
	if err := relay.recheckKey(exchange.caller); err != nil {
		release(0)
		return nil, err
	}
	return release, nil
}

// runService sends the call. A call that may not be repeated is run at most once, if
// there is a deduplicator.
func (relay *Relay) runService(ctx context.Context, exchange *serviceExchange, key string) (*once.Outcome, error) {
	if exchange.route.Repeatable || relay.deduplicator == nil {
		return relay.sendService(ctx, exchange)
	}
	ticket, outcome, err := relay.deduplicator.Begin(ctx, once.Call{
		Team: exchange.caller.team.Name, IdempotencyKey: key,
		Method: exchange.method, Path: exchange.path, Body: exchange.body,
	})
	if err != nil {
		return nil, err
	}
	if outcome != nil {
		return replayedOutcome(outcome), nil
	}
	exchange.ticket = ticket
	outcome, err = relay.sendService(ctx, exchange)
	if err != nil {
		ticket.Abandon()
		return nil, err
	}
	ticket.Finish(*outcome)
	return outcome, nil
}

// replayedOutcome returns a copy of a stored outcome, with the header that marks it
// as replayed.
func replayedOutcome(outcome *once.Outcome) *once.Outcome {
	copied := *outcome
	copied.Header = outcome.Header.Clone()
	if copied.Header == nil {
		copied.Header = http.Header{}
	}
	copied.Header.Set(headerReplayed, "1")
	return &copied
}

// sendService sends the call to targets until one responds or the retry policy
// allows no further attempt.
func (relay *Relay) sendService(ctx context.Context, exchange *serviceExchange) (*once.Outcome, error) {
	relay.retryPolicy.CountRequest()
	for {
		outcome, failure := relay.tryService(ctx, exchange)
		if failure == nil {
			return outcome, nil
		}
		exchange.mayHaveRun = exchange.mayHaveRun || mayHaveRun(failure)
		decision := relay.retryPolicy.Decide(*failure)
		if decision.Action != retry.RetryElsewhere || !pause.For(ctx, decision.Delay) {
			err := serviceError(decision.Err, failure)
			if exchange.mayHaveRun {
				err = correctRunStatus(err)
			}
			return nil, err
		}
		relay.metrics.retries.Inc()
	}
}

func serviceError(err error, failure *retry.Attempt) error {
	if err != nil {
		return err
	}
	return code.Wrap(failure.Err, code.TargetTimeout, "call ended while waiting to retry")
}

func (relay *Relay) tryService(ctx context.Context, exchange *serviceExchange) (*once.Outcome, *retry.Attempt) {
	exchange.attemptCount++
	view := relay.routingTable.View()
	choice, err := relay.picker.Pick(view, &route.Request{
		Service: exchange.route.Service, Team: exchange.caller.team.Name, Route: exchange.route.Path,
		Repeatable: exchange.route.Repeatable, Exclude: exchange.triedTargets,
	})
	if err != nil {
		return nil, relay.newServiceFailure(ctx, exchange, retry.NotSent, err)
	}
	exchange.triedTargets = append(exchange.triedTargets, choice.Target.ID)
	view.StartRequest(choice)
	defer choice.Release()
	return relay.sendServiceAttempt(ctx, exchange, choice)
}

func (relay *Relay) sendServiceAttempt(ctx context.Context, exchange *serviceExchange, choice route.Choice) (*once.Outcome, *retry.Attempt) {
	ctx, span := relay.tracer.Start(ctx, "target")
	defer span.End()
	if exchange.ticket != nil {
		if err := exchange.ticket.MarkSent(); err != nil {
			return nil, relay.newServiceFailure(ctx, exchange, retry.NotSent, err)
		}
	}
	attempt := &attempt{number: relay.lastAttemptNumber.Add(1), choice: choice, startedAt: time.Now()}
	response, err := relay.client.Do(ctx, relay.newServiceCall(ctx, exchange, attempt))
	if err != nil {
		return nil, relay.recordServiceFailure(ctx, exchange, attempt, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Refused {
		exchange.markNotSent()
		failure := relay.newServiceFailure(ctx, exchange, retry.Responded, code.Errorf(code.TargetRefused, "service refused the call"))
		failure.Refused = true
		return nil, failure
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, relay.recordServiceFailure(ctx, exchange, attempt, &back.CallError{State: back.Responded, Err: err})
	}
	attempt.ttfb = time.Since(attempt.startedAt)
	relay.recordHealth(attempt, health.Success)
	return &once.Outcome{Status: response.Status, Header: filterResponseHeader(response.Header), Body: body}, nil
}

func (relay *Relay) newServiceCall(ctx context.Context, exchange *serviceExchange, attempt *attempt) *back.Call {
	header := exchange.header.Clone()
	header.Set(engine.HeaderTeam, exchange.caller.team.Name)
	injectTrace(ctx, header)
	return &back.Call{
		Address: attempt.choice.Target.Address, Method: exchange.method, Path: exchange.path,
		Header: header, Body: exchange.body,
		AttemptID:  relay.attemptIDPrefix + strconv.FormatUint(attempt.number, 10),
		Repeatable: exchange.route.Repeatable,
	}
}

func (relay *Relay) recordServiceFailure(ctx context.Context, exchange *serviceExchange, attempt *attempt, err error) *retry.Attempt {
	state := retry.MayHaveRun
	var callError *back.CallError
	if errors.As(err, &callError) {
		state = retry.State(callError.State)
	}
	if state == retry.NotSent {
		exchange.markNotSent()
	}
	failure := relay.newServiceFailure(ctx, exchange, state, err)
	if !failure.CallerGone {
		relay.recordHealth(attempt, health.Failure)
	}
	return failure
}

// markNotSent resets the ticket's sent mark. It must only be called if no target has
// run or will run the call.
func (exchange *serviceExchange) markNotSent() {
	if exchange.ticket != nil {
		exchange.ticket.MarkNotSent()
	}
}

func (relay *Relay) newServiceFailure(ctx context.Context, exchange *serviceExchange, state retry.State, err error) *retry.Attempt {
	return &retry.Attempt{
		State: state, AttemptCount: exchange.attemptCount, Repeatable: exchange.route.Repeatable,
		CallerGone: ctx.Err() != nil && !deadlinePassed(ctx),
		TimedOut:   deadlinePassed(ctx),
		Deadline:   exchange.deadline, Err: err,
	}
}

func filterResponseHeader(header http.Header) http.Header {
	forwarded := http.Header{}
	for _, name := range forwardedResponseHeaders {
		if values := header.Values(name); len(values) > 0 {
			forwarded[name] = values
		}
	}
	return forwarded
}

func writeOutcome(w http.ResponseWriter, outcome *once.Outcome) {
	header := w.Header()
	for name, values := range outcome.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(outcome.Body)
}

func (relay *Relay) recordServiceUsage(ctx context.Context, exchange *serviceExchange) {
	if relay.usageRecorder == nil || exchange.route.Public {
		return
	}
	line := usage.Line{Team: exchange.caller.team.Name, Model: exchange.route.Service, Requests: 1}
	if err := relay.usageRecorder.Record(context.WithoutCancel(ctx), line); err != nil {
		relay.logger.Warn().Err(err).Msg("usage record has no replica yet")
	}
}
