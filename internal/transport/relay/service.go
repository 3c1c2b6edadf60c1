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
	serviceCost           = 1 // of one call, in calls
	openTeam              = "open"
	headerIdempotency     = "Idempotency-Key"
	headerReplayed        = "X-Mangopier-Replayed"
)

// passedHeaders are the headers of callers that go to plain services.
var passedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// answeredHeaders are the headers of plain services that go to callers.
var answeredHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Last-Modified", "Cache-Control", "Retry-After"}

// errand is one call to a plain service.
type errand struct {
	caller   caller
	route    note.Route
	method   string
	path     string // with the query
	header   http.Header
	body     []byte
	deadline time.Time
	tries    int
	tried    []string
	ticket   *once.Ticket

	mayHaveRun bool // in an attempt that failed
}

// serveRoute serves a call to a plain service.
func (relay *Relay) serveRoute(ctx context.Context, w http.ResponseWriter, r *http.Request, catalog *note.Catalog) error {
	errand, err := relay.newErrand(r, catalog)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, errand.deadline)
	defer cancel()
	release, err := relay.admitErrand(ctx, errand)
	if err != nil {
		return err
	}
	defer release(serviceCost)
	outcome, err := relay.runErrand(ctx, errand, r.Header.Get(headerIdempotency))
	if err != nil {
		return err
	}
	relay.countErrand(ctx, errand)
	writeOutcome(w, outcome)
	return nil
}

func (relay *Relay) newErrand(r *http.Request, catalog *note.Catalog) (*errand, error) {
	if clean := path.Clean(r.URL.Path); clean != strings.TrimSuffix(r.URL.Path, "/") && clean != r.URL.Path {
		return nil, code.Errorf(code.MalformedRequest, "the path %q is not in its shortest form", r.URL.Path)
	}
	found, ok := routeOf(catalog, r.URL.Path)
	if !ok {
		return nil, code.Errorf(code.PathUnknown, "no route has the path %q", r.URL.Path)
	}
	errand := &errand{
		caller: caller{team: note.Team{Name: openTeam}}, route: found,
		method: r.Method, path: r.URL.RequestURI(), header: http.Header{},
	}
	var err error
	if !found.Open {
		if errand.caller, err = relay.authenticate(r, catalog); err != nil {
			return nil, err
		}
		if err := allowed(errand.caller.team, found.Service); err != nil {
			return nil, err
		}
	}
	if errand.deadline, err = relay.deadlineOf(r, min(relay.timeout, serviceTimeout(found))); err != nil {
		return nil, err
	}
	if errand.body, err = io.ReadAll(r.Body); err != nil {
		return nil, code.Wrap(err, code.MalformedRequest, "read body")
	}
	if err := checkKeyHidden(r, errand.body); err != nil {
		return nil, err
	}
	for _, name := range passedHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			errand.header[name] = values
		}
	}
	return errand, nil
}

// routeOf returns the route with the longest prefix of the path.
func routeOf(catalog *note.Catalog, requestPath string) (note.Route, bool) {
	for prefix := requestPath; prefix != ""; {
		if found, ok := catalog.Routes[prefix]; ok {
			return found, true
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
	found, ok := catalog.Routes["/"]
	return found, ok
}

func serviceTimeout(found note.Route) time.Duration {
	if found.TimeoutMS == 0 {
		return defaultServiceTimeout
	}
	return time.Duration(found.TimeoutMS) * time.Millisecond
}

func (relay *Relay) admitErrand(ctx context.Context, errand *errand) (admit.Release, error) {
	ctx, span := relay.tracer.Start(ctx, "admission")
	defer span.End()
	release, err := relay.services.Admit(ctx, admit.Request{
		Team: errand.caller.team.Name, Weight: float64(errand.caller.team.Weight),
		Cost: serviceCost, Deadline: errand.deadline,
	})
	if err != nil {
		return nil, admissionError(ctx, err)
	}
	if err := relay.stillValid(errand.caller); err != nil {
		release(0)
		return nil, err
	}
	return release, nil
}

// runErrand runs a call that may not be repeated at most once.
func (relay *Relay) runErrand(ctx context.Context, errand *errand, key string) (*once.Outcome, error) {
	if errand.route.Repeatable || relay.guard == nil {
		return relay.sendErrand(ctx, errand)
	}
	ticket, outcome, err := relay.guard.Begin(ctx, once.Call{
		Team: errand.caller.team.Name, IdempotencyKey: key,
		Method: errand.method, Path: errand.path, Body: errand.body,
	})
	if err != nil {
		return nil, err
	}
	if outcome != nil {
		return replayed(outcome), nil
	}
	errand.ticket = ticket
	outcome, err = relay.sendErrand(ctx, errand)
	if err != nil {
		ticket.Abandon()
		return nil, err
	}
	ticket.Finish(*outcome)
	return outcome, nil
}

func replayed(outcome *once.Outcome) *once.Outcome {
	copied := *outcome
	copied.Header = outcome.Header.Clone()
	if copied.Header == nil {
		copied.Header = http.Header{}
	}
	copied.Header.Set(headerReplayed, "1")
	return &copied
}

func (relay *Relay) sendErrand(ctx context.Context, errand *errand) (*once.Outcome, error) {
	relay.policy.CountRequest()
	for {
		outcome, failure := relay.tryErrand(ctx, errand)
		if failure == nil {
			return outcome, nil
		}
		errand.mayHaveRun = errand.mayHaveRun || mayHaveRun(failure)
		decision := relay.policy.Decide(*failure)
		if decision.Action != retry.RetryElsewhere || !pause.For(ctx, decision.Delay) {
			err := errandError(decision.Err, failure)
			if errand.mayHaveRun {
				err = neverNotRun(err)
			}
			return nil, err
		}
		relay.metrics.retries.Inc()
	}
}

func errandError(err error, failure *retry.Attempt) error {
	if err != nil {
		return err
	}
	return code.Wrap(failure.Err, code.TargetTimeout, "the call ended while it waited for another target")
}

func (relay *Relay) tryErrand(ctx context.Context, errand *errand) (*once.Outcome, *retry.Attempt) {
	errand.tries++
	view := relay.targets.View()
	choice, err := relay.picker.Pick(view, &route.Request{
		Service: errand.route.Service, Team: errand.caller.team.Name, Route: errand.route.Path,
		Repeatable: errand.route.Repeatable, Exclude: errand.tried,
	})
	if err != nil {
		return nil, relay.errandAttempt(ctx, errand, retry.NotSent, err)
	}
	errand.tried = append(errand.tried, choice.Target.ID)
	view.Start(choice)
	defer choice.Done()
	return relay.callService(ctx, errand, choice)
}

func (relay *Relay) callService(ctx context.Context, errand *errand, choice route.Choice) (*once.Outcome, *retry.Attempt) {
	ctx, span := relay.tracer.Start(ctx, "target")
	defer span.End()
	if errand.ticket != nil {
		if err := errand.ticket.Sent(); err != nil {
			return nil, relay.errandAttempt(ctx, errand, retry.NotSent, err)
		}
	}
	flight := &flight{id: relay.sequence.Add(1), choice: choice, started: time.Now()}
	answer, err := relay.client.Do(ctx, relay.serviceCall(ctx, errand, flight))
	if err != nil {
		return nil, relay.serviceFailed(ctx, errand, flight, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Refused {
		errand.retract()
		attempt := relay.errandAttempt(ctx, errand, retry.Responded, code.Errorf(code.TargetRefused, "service refused the call"))
		attempt.Refused = true
		return nil, attempt
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, relay.serviceFailed(ctx, errand, flight, &back.CallError{State: back.Responded, Err: err})
	}
	flight.first = time.Since(flight.started)
	relay.observe(flight, health.Success)
	return &once.Outcome{Status: answer.Status, Header: keep(answer.Header), Body: body}, nil
}

func (relay *Relay) serviceCall(ctx context.Context, errand *errand, flight *flight) *back.Call {
	header := errand.header.Clone()
	header.Set(engine.HeaderTeam, errand.caller.team.Name)
	injectTrace(ctx, header)
	return &back.Call{
		Address: flight.choice.Target.Address, Method: errand.method, Path: errand.path,
		Header: header, Body: errand.body,
		AttemptID:  relay.prefix + strconv.FormatUint(flight.id, 10),
		Repeatable: errand.route.Repeatable,
	}
}

func (relay *Relay) serviceFailed(ctx context.Context, errand *errand, flight *flight, err error) *retry.Attempt {
	state := retry.MayHaveRun
	var failure *back.CallError
	if errors.As(err, &failure) {
		state = retry.State(failure.State)
	}
	if state == retry.NotSent {
		errand.retract()
	}
	attempt := relay.errandAttempt(ctx, errand, state, err)
	if !attempt.CallerGone {
		relay.observe(flight, health.Failure)
	}
	return attempt
}

// retract takes back that a call was sent, when it certainly was not.
func (errand *errand) retract() {
	if errand.ticket != nil {
		errand.ticket.Retract()
	}
}

func (relay *Relay) errandAttempt(ctx context.Context, errand *errand, state retry.State, err error) *retry.Attempt {
	return &retry.Attempt{
		State: state, AttemptCount: errand.tries, Repeatable: errand.route.Repeatable,
		CallerGone: ctx.Err() != nil && !deadlinePassed(ctx),
		TimedOut:   deadlinePassed(ctx),
		Deadline:   errand.deadline, Err: err,
	}
}

func keep(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range answeredHeaders {
		if values := header.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
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

func (relay *Relay) countErrand(ctx context.Context, errand *errand) {
	if relay.meter == nil || errand.route.Open {
		return
	}
	line := usage.Line{Team: errand.caller.team.Name, Model: errand.route.Service, Requests: 1}
	if err := relay.meter.Record(context.WithoutCancel(ctx), line); err != nil {
		relay.logger.Warn().Err(err).Msg("usage has no copy yet")
	}
}
