package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/front"
)

// exchange is one caller's request and what has become of it.
type exchange struct {
	proxy    *Proxy
	w        http.ResponseWriter
	begun    time.Time
	deadline time.Time

	request  *site.Request
	manifest *site.Manifest
	route    *site.Route
	team     site.Team
	service  site.Service

	runs    int  // targets that may have run the request
	counted bool // for the usage report
	began   bool // an answer to the caller has begun

	// What the log line names.
	status  string
	failure error
	code    int
	first   time.Duration // until the first bytes went to the caller
	pause   time.Duration // longest between events
	aheadMS float64       // expected wait of the last choice of a target
	workMS  float64
	lessMS  float64 // less urgent work in flight there
	cached  int     // tokens of the prompt that the engine was taken to keep
	fetched int     // tokens that it was told to fetch from another engine
	tries   []try
}

// try is one call to a target.
type try struct {
	target  string
	stage   string
	outcome string
	took    time.Duration
}

// accept reads the request and finds its route and team.
func (exchange *exchange) accept(r *http.Request) error {
	proxy := exchange.proxy
	exchange.manifest = proxy.manifest.Load()
	if exchange.manifest == nil {
		return code.Errorf(code.NotReady, "no manifest is known")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return code.Wrap(err, code.MalformedRequest, "body")
	}
	exchange.request, err = proxy.wire.Request(r, body)
	if err != nil {
		return err
	}
	if err := exchange.admit(); err != nil {
		return err
	}
	wait := exchange.route.Timeout
	if exchange.request.Wait > 0 && (wait <= 0 || exchange.request.Wait < wait) {
		wait = exchange.request.Wait
	}
	if wait <= 0 {
		wait = longestWait
	}
	exchange.deadline = exchange.begun.Add(wait)
	return nil
}

// longestWait bounds a request whose route and caller name no time.
const longestWait = time.Minute

// admit finds the route, the team and the service.
func (exchange *exchange) admit() error {
	request, manifest := exchange.request, exchange.manifest
	route, ok := manifest.Match(request.Host, request.Path)
	if !ok {
		return code.Errorf(code.PathUnknown, "no route for the path")
	}
	exchange.route = route
	if !route.Public && len(manifest.Teams) > 0 {
		if request.Key == "" {
			return code.Errorf(code.KeyMissing, "the route needs a key")
		}
		if exchange.team, ok = manifest.Teams[request.Key]; !ok {
			return code.Errorf(code.KeyUnknown, "the key belongs to no team")
		}
	}
	name := choose(route.Shares)
	exchange.service, ok = manifest.Services[name]
	if !ok {
		return code.Errorf(code.NoTarget, "the route has no service")
	}
	return nil
}

// urgency returns the urgency of the request towards targets, 0 to 9.
func (exchange *exchange) urgency() int {
	urgency := exchange.route.Priority
	if exchange.team.Name != "" && exchange.team.Priority >= 0 {
		urgency = exchange.team.Priority
	}
	return min(max(urgency, 0), 9)
}

// remaining returns the time until the caller's deadline.
func (exchange *exchange) remaining() time.Duration {
	return time.Until(exchange.deadline)
}

// send sends the request to a target and notes the outcome. Errors are those
// of back.Client.Do.
func (exchange *exchange) send(ctx context.Context, call *site.Call) (*back.Answer, site.Reply, error) {
	proxy, request := exchange.proxy, exchange.request
	answer, err := proxy.client.Do(ctx, &back.Call{
		Address: call.Target.Address,
		Method:  request.Method,
		Path:    request.URI,
		Header:  proxy.wire.Header(request, call),
		Body:    request.Body,
		Attempt: request.ID,
		Kept:    true,
	})
	if err != nil {
		return nil, site.Reply{}, err
	}
	proxy.book.Reachable(call.Target.ID)
	return answer, proxy.wire.Reply(answer.Status, answer.Header), nil
}

// note records a call for the log line.
func (exchange *exchange) note(target site.Target, stage, outcome string, begun time.Time) {
	const most = 8
	if len(exchange.tries) < most {
		exchange.tries = append(exchange.tries, try{target: target.ID, stage: stage, outcome: outcome, took: time.Since(begun)})
	}
}

// count counts the request for the usage report, once.
func (exchange *exchange) count() {
	if !exchange.counted && exchange.team.Name != "" {
		exchange.counted = true
		exchange.proxy.meter.Began(exchange.team.Name)
	}
}

// lost notes a call without an answer and reports whether the target may have
// run it.
func (exchange *exchange) lost(target site.Target, err error) bool {
	var failure *back.Failure
	if errors.As(err, &failure) && failure.State == back.NotSent {
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			length := exchange.proxy.book.Unreachable(target.ID)
			exchange.proxy.logger.Warn().Str("target", target.ID).Dur("pause", length).Err(err).Msg("target does not take connections")
		}
		return false
	}
	return true
}

// ended returns the error of a request whose time or caller has gone, nil if
// neither has.
func (exchange *exchange) ended(ctx context.Context, run code.Run) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && run == code.NotRun:
		return code.Errorf(code.DeadlineTooShort, "the deadline passed before a target took the request")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.Errorf(code.TargetTimeout, "no whole answer before the deadline")
	default:
		return code.Errorf(code.CallerGone, "the caller has gone")
	}
}

// refuse answers with an error, or breaks the connection if an answer has
// begun.
func (exchange *exchange) refuse(err error) {
	exchange.failure = err
	exchange.code = int(code.Of(err))
	if exchange.began || code.Is(err, code.CallerGone) {
		exchange.status = "cut"
		panic(http.ErrAbortHandler)
	}
	exchange.status = "refused"
	exchange.closeIfDraining()
	front.Refuse(exchange.w, err)
	exchange.first = time.Since(exchange.begun)
}

// noRoom returns the error of a request that cannot be served in time, with
// when to come back. Those that are refused together come back apart.
func (exchange *exchange) noRoom(number code.Code, wait time.Duration) error {
	wait = max(wait, leastRetryAfter)
	wait += time.Duration(rand.Float64() * float64(wait))
	if most := exchange.proxy.bounds.MostRetryAfter; most > 0 {
		wait = min(wait, most)
	}
	err := code.Errorf(number, "no room for the request in time")
	return code.WithRetryDelay(err, wait)
}

// leastRetryAfter keeps those that were refused from coming back before loads
// have been told around.
const leastRetryAfter = 300 * time.Millisecond

func (exchange *exchange) closeIfDraining() {
	if exchange.proxy.draining.Load() {
		exchange.w.Header().Set("Connection", "close")
	}
}

// deliver gives a whole answer to the caller.
func (exchange *exchange) deliver(answer *back.Answer, body []byte) {
	exchange.copyHeader(answer)
	exchange.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	exchange.w.WriteHeader(answer.Status)
	exchange.began = true
	exchange.first = time.Since(exchange.begun)
	if _, err := exchange.w.Write(body); err != nil {
		exchange.failure = err
		exchange.status = "cut"
		return
	}
	exchange.status = "answered"
	exchange.code = answer.Status
}

func (exchange *exchange) copyHeader(answer *back.Answer) {
	header := exchange.w.Header()
	for name, values := range exchange.proxy.wire.AnswerHeader(answer.Header) {
		header[name] = values
	}
	exchange.closeIfDraining()
}

// readAll reads an answer's whole body and checks that it is one.
func readAll(answer *back.Answer) ([]byte, error) {
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return nil, code.Wrap(err, code.AnswerTruncated, "answer")
	}
	if len(body) > maxAnswer {
		return nil, code.Errorf(code.TargetFailed, "the answer is larger than %d bytes", maxAnswer)
	}
	return body, nil
}

// maxAnswer bounds the answers that are held whole, in bytes.
const maxAnswer = 16 << 20

// drop closes an answer that is of no use.
func drop(answer *back.Answer) {
	const most = 64 << 10 // read so that the connection can be kept
	_, _ = io.CopyN(io.Discard, answer.Body, most)
	_ = answer.Body.Close()
}

// sound reports whether a success comes from the target that was asked: it is
// signed, bears the request's identifier and no coding.
func (exchange *exchange) sound(answer *back.Answer, reply site.Reply) bool {
	echo := answer.Header.Get(exchange.proxy.wire.AttemptHeader())
	return reply.Signed && echo == exchange.request.ID && answer.Header.Get("Content-Encoding") == ""
}
