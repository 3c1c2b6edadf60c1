package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/detour"
	"mangopier.example/mangopier/internal/transport/front"
)

// exchange is one caller's request and the state of its response.
type exchange struct {
	proxy    *Proxy
	w        http.ResponseWriter
	started  time.Time
	deadline time.Time

	callerCtx context.Context //nolint:containedctx // ends when the caller has gone
	forwarded bool            // by another instance

	request  *site.Request
	manifest *site.Manifest
	route    *site.Route
	team     site.Team
	service  site.Service

	origin        streamOrigin
	features      requestFeatures
	admission     *crash.Admission
	reservedBytes atomic.Int64  // of the response memory
	arrivals      atomic.Int64  // calls that may have reached a target, here or from another instance
	spentRetries  int64         // taken from the retry budget
	runs          int           // targets that may have run the request
	usageCounted  bool          // the request is in the usage report
	headerSent    bool          // the response's header was sent to the caller
	quarantined   crash.Feature // for which the request was refused

	// Fields of the log line.
	id, host, path  string // also of a request that could not be read
	status          string
	failure         error
	code            int           // result code, or HTTP status of a target's response
	firstByte       time.Duration // until the first bytes were sent to the caller
	maxGap          time.Duration // longest time between events
	expectedWaitMS  float64       // before the prefill, at the engine chosen last
	workMS          float64       // expected time of the prefill there
	lowerPriorityMS float64       // lower-priority work in flight there
	prefillPriority int           // that was sent to that engine
	cachedTokens    int           // prompt tokens expected in that engine's prefix cache
	fetchedTokens   int           // prompt tokens that it fetches from another engine
	calls           []targetCall
}

// targetCall is one call to a target.
type targetCall struct {
	target  string
	stage   string
	outcome string
	cause   string // why no complete response arrived, empty if one did
	took    time.Duration
}

// accept reads the request, finds its route and team, and sets its deadline.
func (exchange *exchange) accept(r *http.Request) error {
	proxy := exchange.proxy
	exchange.manifest = proxy.manifest.Load()
	if exchange.manifest == nil {
		return code.Errorf(code.NotReady, "no manifest has been received yet")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return code.Wrap(err, code.MalformedRequest, "body")
	}
	exchange.request, err = proxy.codec.ParseRequest(r, body)
	if err != nil {
		return err
	}
	if err := exchange.resolveRoute(); err != nil {
		return err
	}
	if front.IsLate(r.Context()) {
		return front.ShuttingDownError()
	}
	timeout := exchange.route.Timeout
	if exchange.request.Timeout > 0 && (timeout <= 0 || exchange.request.Timeout < timeout) {
		timeout = exchange.request.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	exchange.deadline = exchange.started.Add(timeout)
	return nil
}

// defaultTimeout bounds a request for which neither the route nor the caller
// sets a timeout.
const defaultTimeout = time.Minute

// resolveRoute finds the route of the request, checks the caller's key, and
// picks a service of the route.
func (exchange *exchange) resolveRoute() error {
	request, manifest := exchange.request, exchange.manifest
	route, ok := manifest.Match(request.Host, request.Path)
	if unusable, found := manifest.MatchUnusable(request.Host, request.Path, route); found {
		return code.Errorf(code.ManifestEntryUnusable, "the entry of route %q cannot be read", unusable.Name)
	}
	if !ok {
		return code.Errorf(code.PathUnknown, "no route for the path")
	}
	exchange.route = route
	if !route.Public && (manifest.KeysRequired || len(manifest.Teams) > 0) {
		if request.APIKey == "" {
			return code.Errorf(code.KeyMissing, "the route needs a key")
		}
		exchange.team, ok = manifest.Teams[request.APIKey]
		switch {
		case !ok && manifest.KeysMissing:
			return code.Errorf(code.ManifestEntryUnusable, "the entry of a team cannot be read; the key may be its")
		case !ok:
			return code.Errorf(code.KeyUnknown, "the key belongs to no team")
		}
	}
	name := pickService(route.Split, manifest.Services)
	exchange.service, ok = manifest.Services[name]
	if !ok {
		return code.Errorf(code.NoTarget, "the manifest has no service for the route")
	}
	return nil
}

// priority returns the priority that is sent to targets, from 0, the highest, to
// 9. A team's own priority takes precedence over the route's.
func (exchange *exchange) priority() int {
	priority := exchange.route.Priority
	if exchange.team.Name != "" && exchange.team.Priority >= 0 {
		priority = exchange.team.Priority
	}
	return min(max(priority, 0), 9)
}

// remaining returns the time until the caller's deadline.
func (exchange *exchange) remaining() time.Duration {
	return time.Until(exchange.deadline)
}

// send sends the request to a target, and marks the target as reachable if it
// responds. Errors are those of back.Client.Do.
func (exchange *exchange) send(ctx context.Context, call *site.Call) (*back.Response, site.ResponseInfo, error) {
	proxy, request := exchange.proxy, exchange.request
	defer proxy.reach.RecordSent(exchange.service.Name, call.Target.ID)()
	sentAt := time.Now()
	response, err := proxy.client.Do(ctx, &back.Call{
		Address:         call.Target.Address,
		Method:          request.Method,
		Path:            request.URI,
		Header:          proxy.codec.RequestHeader(request, call),
		Body:            request.Body,
		AttemptID:       request.AttemptID,
		ReuseConnection: true,
	})
	if err != nil {
		exchange.countArrival(err)
		return nil, site.ResponseInfo{}, err
	}
	// Only an instance may state in these headers what is known of the request.
	response.Header.Del(front.HeaderRun)
	response.Header.Del(front.HeaderCode)
	response.Header.Del(detour.HeaderSoftware)
	exchange.countArrival(nil)
	proxy.reach.RecordReceived(exchange.service.Name)
	proxy.scheduler.MarkReachable(call.Target.ID)
	return response, proxy.observe(call.Target, response, sentAt), nil
}

// countArrival counts a call that may have reached a target.
func (exchange *exchange) countArrival(err error) {
	var callError *back.CallError
	if !errors.As(err, &callError) || callError.State != back.NotSent {
		exchange.arrivals.Add(1)
	}
}

// recordCall keeps a call for the log line and the metrics.
func (exchange *exchange) recordCall(target site.Target, stage, outcome string, started time.Time) {
	exchange.recordFailedCall(target, stage, outcome, nil, started)
}

// recordFailedCall keeps a call that ended with err for the log line and the
// metrics.
func (exchange *exchange) recordFailedCall(target site.Target, stage, outcome string, err error, started time.Time) {
	const maxRecorded = 8
	if len(exchange.calls) < maxRecorded {
		exchange.calls = append(exchange.calls, targetCall{
			target: target.ID, stage: stage, outcome: outcome, cause: connectionCause(err), took: time.Since(started),
		})
	}
}

// connectionCause names the end of the connection that err tells of, for the log
// line. It is empty for nil and for errors of no connection.
func connectionCause(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, syscall.ETIMEDOUT): // the kernel gave the connection up
		return "unacknowledged"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "canceled"
	default:
		return ""
	}
}

// countUsage counts the request for the usage report, once.
func (exchange *exchange) countUsage() {
	if !exchange.usageCounted && exchange.team.Name != "" {
		exchange.usageCounted = true
		exchange.proxy.meter.CountRequest(exchange.team.Name)
	}
}

// mayHaveReached reports whether a call that failed with err may have reached
// the target. If no connection could be made, it pauses the target.
func (exchange *exchange) mayHaveReached(target site.Target, err error) bool {
	var callError *back.CallError
	if errors.As(err, &callError) && callError.State == back.NotSent {
		if target.Address != "" && !errors.Is(err, back.ErrInvalidCall) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			exchange.proxy.reach.RecordUnreachable(exchange.service.Name, target.ID)
			if errors.Is(err, syscall.ECONNREFUSED) {
				exchange.proxy.crashes.RecordRefused(target)
			}
			pause := exchange.proxy.scheduler.MarkUnreachable(target.ID)
			exchange.proxy.logger.Warn().Str("target", target.ID).Dur("pause", pause).Err(err).Msg("target does not take connections")
		}
		return false
	}
	return true
}

// contextError returns the error of a request whose deadline has passed, whose
// caller has gone or which is ended by a shutdown, nil for any other. Run states
// whether a target may have run the request.
func (exchange *exchange) contextError(ctx context.Context, run code.RunStatus) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case exchange.callerLeft():
		return code.Errorf(code.CallerGone, "the caller closed the connection")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && run == code.NotRun:
		return code.Errorf(code.DeadlineTooShort, "the deadline passed before a target took the request")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.Errorf(code.TargetTimeout, "no complete answer before the deadline")
	case run == code.NotRun:
		return front.ShuttingDownError()
	default:
		return code.Errorf(code.TargetTimeout, "no complete answer before the instance ends")
	}
}

// refuse responds with an error. If the response's header was sent or the
// caller has gone, it aborts the connection by a panic with
// http.ErrAbortHandler.
func (exchange *exchange) refuse(err error) {
	exchange.failure = err
	exchange.code = int(code.FromError(err))
	if exchange.headerSent || code.Is(err, code.CallerGone) {
		exchange.status = "cut"
		panic(http.ErrAbortHandler)
	}
	exchange.status = "refused"
	exchange.closeIfDraining()
	front.WriteError(exchange.w, err)
	exchange.firstByte = time.Since(exchange.started)
}

// finalError returns the error of a request that is not retried. RetryAfter is
// the retry delay, before jitter, that the caller gets if no target ran the
// request.
func (exchange *exchange) finalError(ctx context.Context, retryAfter time.Duration) error {
	run := code.NotRun
	if exchange.runs > 0 {
		run = code.RunUnknown
	}
	if err := exchange.contextError(ctx, run); err != nil {
		return err
	}
	if exchange.runs > 0 {
		return code.Errorf(code.TargetFailed, "no target gave a complete answer")
	}
	if err := exchange.quarantineError(); err != nil {
		return err
	}
	return exchange.noTargetError(retryAfter)
}

// callerLeft reports whether the caller has gone before its deadline.
func (exchange *exchange) callerLeft() bool {
	return exchange.callerCtx.Err() != nil && exchange.remaining() > 0
}

// capacityError returns the error of a request that cannot be served in time.
// Its retry delay is random between once and twice the given one, so that
// callers refused together do not return together, and at most the longest
// delay that callers honor.
func (exchange *exchange) capacityError(number code.Code, retryAfter time.Duration) error {
	retryAfter = max(retryAfter, minRetryAfter)
	retryAfter += time.Duration(rand.Float64() * float64(retryAfter))
	if limit := exchange.proxy.bounds.MaxRetryAfter; limit > 0 {
		retryAfter = min(retryAfter, limit)
	}
	err := code.Errorf(number, "no capacity to serve the request in time")
	return code.WithRetryDelay(err, retryAfter)
}

// noTargetError returns the error of a request for which there is no target. If all
// targets have asked for a pause or name limits, its retry delay ends with the first
// pause or the next free share of a limit; otherwise it is that of capacityError.
func (exchange *exchange) noTargetError(retryAfter time.Duration) error {
	quiet, ok := exchange.quietTime()
	if !ok {
		return exchange.capacityError(code.NoTarget, retryAfter)
	}
	if limit := exchange.proxy.bounds.MaxRetryAfter; limit > 0 {
		quiet = min(quiet, limit)
	}
	err := code.Errorf(code.NoTarget, "all targets of the service ask for a pause or have limits")
	return code.WithRetryDelay(err, quiet)
}

// quietTime returns the time until a target can take the request, if all have asked
// for a pause, name limits or are paused otherwise.
func (exchange *exchange) quietTime() (time.Duration, bool) {
	stage := site.NoStage
	if exchange.service.Engine != nil && exchange.request.Prompt != nil {
		stage = site.Decode
	}
	return exchange.proxy.scheduler.QuietTime(exchange.service.Name, stage)
}

// isQuiet reports whether no target takes the request for a time that it has named.
func (exchange *exchange) isQuiet() bool {
	_, quiet := exchange.quietTime()
	return quiet
}

// minRetryAfter keeps refused callers from returning before the instances have
// exchanged the loads of the targets.
const minRetryAfter = 300 * time.Millisecond

func (exchange *exchange) closeIfDraining() {
	if exchange.proxy.draining.Load() {
		front.CloseConnection(exchange.w)
	}
}

// deliver sends a complete response to the caller. A response with a status that promises
// that the request has not run is replaced by an error: the target has run it.
func (exchange *exchange) deliver(response *back.Response, body []byte) {
	if code.PromisesNotRun(response.Status) {
		exchange.refuse(code.Errorf(code.TargetFailed, "target ran the request and answered with status %d", response.Status))
		return
	}
	exchange.copyHeader(response)
	exchange.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	exchange.w.WriteHeader(response.Status)
	exchange.headerSent = true
	exchange.firstByte = time.Since(exchange.started)
	if _, err := exchange.w.Write(body); err != nil {
		exchange.failure = err
		exchange.status = "cut"
		return
	}
	exchange.status = "answered"
	exchange.code = response.Status
}

func (exchange *exchange) copyHeader(response *back.Response) {
	header := exchange.w.Header()
	for name, values := range exchange.proxy.codec.ResponseHeader(response.Header) {
		header[name] = values
	}
	exchange.closeIfDraining()
}

// discard closes a response that is not used. It reads a short body to the end,
// so that the connection can be reused.
func discard(response *back.Response) {
	const maxDiscardBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	_ = response.Body.Close()
}

// isAuthentic reports whether a successful response comes from the target that
// was called and belongs to this request: it is signed, echoes the request's
// identifier and has no content coding.
func (exchange *exchange) isAuthentic(response *back.Response, info site.ResponseInfo) bool {
	echo := response.Header.Get(exchange.proxy.codec.AttemptHeader())
	return info.Signed && echo == exchange.request.AttemptID && response.Header.Get("Content-Encoding") == ""
}
