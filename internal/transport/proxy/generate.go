package proxy

import (
	"context"
	"net/http"
	"time"

	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

const (
	// lateFactor is how many times the expected delay an engine gets to read
	// a prompt before another is asked.
	lateFactor = 3.0
	lateSlack  = 300 * time.Millisecond
	// mostReadings bounds the engines that one prompt was sent to for reading.
	mostReadings = 2
	// switchPause keeps work from an engine that is changing its stage.
	switchPause = 500 * time.Millisecond
	// leastRemaining is the time below which nothing is sent any more.
	leastRemaining = 50 * time.Millisecond
)

// generate serves a request to model engines.
func (exchange *exchange) generate(ctx context.Context) {
	exchange.proxy.budget(exchange.service.Name).Fresh()
	stream := &stream{exchange: exchange, last: exchange.request.ResumeAfter}
	handle, reader, err := exchange.read(ctx)
	if err != nil {
		exchange.refuse(err)
		return
	}
	source := prompt{handle: handle, keeper: reader.Address}
	var tried []string
	for tries := 1; ; tries++ {
		from := reader.DataCenter
		run, ok := exchange.proxy.book.Generate(exchange.service.Name, exchange.request.Prompt, from, tried)
		if !ok && len(tried) > 0 {
			tried = nil
			run, ok = exchange.proxy.book.Generate(exchange.service.Name, exchange.request.Prompt, from, nil)
		}
		if !ok {
			exchange.free(source.handle)
			exchange.refuse(exchange.stopped(ctx, time.Second))
			return
		}
		outcome := exchange.run(ctx, run, source, stream)
		exchange.proxy.book.Ended(&run)
		if outcome == answered {
			return
		}
		// The handle is taken or gone; the next engine fetches what the one that
		// read the prompt still keeps, and reads the rest itself.
		if outcome != unsent {
			source.handle = nil
		}
		tried = append(tried, run.Target.ID)
		if !exchange.mayGoOn(ctx, outcome, tries) {
			exchange.free(source.handle)
			exchange.refuse(exchange.stopped(ctx, time.Second))
			return
		}
	}
}

// mayGoOn reports whether a generation may be sent to one more engine.
func (exchange *exchange) mayGoOn(ctx context.Context, outcome verdict, tries int) bool {
	if ctx.Err() != nil || tries >= mostTries || exchange.remaining() < leastRemaining {
		return false
	}
	repeatable := outcome == unsent || outcome == notRun || (exchange.route.Resumable && exchange.runs < exchange.route.Attempts)
	return repeatable && exchange.afford(outcome)
}

// stopped returns the error of a request that is not tried again. Wait is when
// to come back if no target ran it.
func (exchange *exchange) stopped(ctx context.Context, wait time.Duration) error {
	run := code.NotRun
	if exchange.runs > 0 {
		run = code.RunUnknown
	}
	if err := exchange.ended(ctx, run); err != nil {
		return err
	}
	if exchange.runs > 0 {
		return code.Errorf(code.TargetFailed, "no whole answer came")
	}
	return exchange.noRoom(code.NoTarget, wait)
}

// prompt tells an engine where to get the memory of a prompt.
type prompt struct {
	handle *site.Handle // nil if there is none any more
	keeper string       // address of the engine that read it, empty if none did
}

// read has an engine read the prompt, and returns that engine. Without an
// engine for that, it returns no handle, and the engine that makes the tokens
// reads the prompt itself.
func (exchange *exchange) read(ctx context.Context) (*site.Handle, site.Target, error) {
	proxy := exchange.proxy
	var tried []string
	for sent := 0; sent < mostReadings && len(tried) < mostTries; {
		reading, ok := proxy.book.Choose(exchange.service.Name, exchange.request.Prompt, exchange.urgency(), tried)
		if !ok {
			return nil, site.Target{}, nil
		}
		exchange.aheadMS, exchange.workMS, exchange.lessMS = reading.AheadMS, reading.WorkMS, reading.LessMS
		exchange.cached, exchange.fetched = reading.Cached, reading.Fetch
		if err := exchange.fits(&reading); err != nil && len(tried) == 0 {
			return nil, site.Target{}, err
		}
		proxy.book.Begin(&reading)
		handle, outcome := exchange.readAt(ctx, &reading)
		proxy.book.ReadDone(&reading, outcome == answered)
		if outcome == answered {
			return handle, reading.Target, nil
		}
		tried = append(tried, reading.Target.ID)
		if err := exchange.ended(ctx, code.NotRun); err != nil {
			return nil, site.Target{}, err
		}
		if outcome != unsent {
			sent++
		}
		if !exchange.afford(outcome) {
			return nil, site.Target{}, exchange.noRoom(code.NoTarget, time.Second)
		}
	}
	return nil, site.Target{}, nil
}

// Callers stop to wait for a stream's first event after some time, which is
// the longest of these.
const (
	abandonLeast      = 2 * time.Second
	abandonObjectives = 4
	abandonPauses     = 8
)

// fits refuses a request whose prompt cannot be read in time.
func (exchange *exchange) fits(reading *place.Reading) error {
	route := exchange.route
	limit := max(abandonLeast, abandonObjectives*route.Objective, abandonPauses*route.Pause)
	limit = min(limit, exchange.remaining()) * 3 / 4
	expected := time.Duration(reading.ExpectedMS() * float64(time.Millisecond))
	if expected <= limit {
		return nil
	}
	return exchange.noRoom(code.TeamOverloaded, expected-limit/2)
}

// readAt has one engine read the prompt.
func (exchange *exchange) readAt(ctx context.Context, reading *place.Reading) (*site.Handle, verdict) {
	proxy := exchange.proxy
	late := time.Duration(lateFactor*reading.ExpectedMS()*float64(time.Millisecond)) + lateSlack
	ctx, cancel := context.WithTimeout(ctx, late)
	defer cancel()
	begun := time.Now()
	target := reading.Target
	answer, reply, err := exchange.send(ctx, &site.Call{
		Target: target, Remaining: exchange.remaining(), Team: exchange.team.Name,
		Urgency: exchange.urgency(), PrefillOnly: true, FetchFrom: reading.Source,
	})
	if err != nil {
		proxy.observe(health.Event{Target: target.ID, Outcome: health.Failure})
		if !exchange.lost(target, err) {
			exchange.note(target, "prefill", "unreachable", begun)
			return nil, unsent
		}
		exchange.note(target, "prefill", "no-answer", begun)
		return nil, notRun
	}
	body, err := readAll(answer)
	if err != nil || answer.Status != http.StatusOK {
		exchange.note(target, "prefill", "refused", begun)
		if reply.NotRun {
			proxy.book.Pause(target.ID, pauseAfter(reply))
		} else {
			proxy.observe(health.Event{Target: target.ID, Outcome: health.Failure})
		}
		return nil, notRun
	}
	handle, err := proxy.wire.Handle(target.Address, body)
	if err != nil {
		exchange.note(target, "prefill", "broken", begun)
		proxy.observe(health.Event{Target: target.ID, Outcome: health.Failure})
		return nil, notRun
	}
	proxy.observe(health.Event{
		Target: target.ID, FirstByte: time.Since(begun),
		Expected: time.Duration(reading.ExpectedMS() * float64(time.Millisecond)),
	})
	exchange.note(target, "prefill", "read", begun)
	return handle, answered
}

// pauseAfter returns how long an engine gets nothing after it refused to run a
// request.
func pauseAfter(reply site.Reply) time.Duration {
	if reply.Moved {
		return movedPause
	}
	return switchPause
}

// run has one engine make the tokens, and gives the events to the caller.
func (exchange *exchange) run(ctx context.Context, run place.Run, prompt prompt, stream *stream) verdict {
	proxy := exchange.proxy
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := time.Now()
	watch := stream.watch(cancel)
	defer watch.Stop()
	call := &site.Call{
		Target: run.Target, Remaining: exchange.remaining(), Team: exchange.team.Name,
		Urgency: exchange.urgency(), Source: prompt.handle, ResumeAfter: stream.last,
	}
	if prompt.handle == nil {
		call.FetchFrom = prompt.keeper
	}
	answer, reply, err := exchange.send(ctx, call)
	if err != nil {
		outcome := exchange.unstreamed(run.Target, err, begun)
		if outcome != unsent {
			exchange.free(prompt.handle)
		}
		return outcome
	}
	if reply.NotRun {
		drop(answer)
		exchange.free(prompt.handle)
		exchange.note(run.Target, "decode", "not-run", begun)
		proxy.book.Pause(run.Target.ID, pauseAfter(reply))
		return notRun
	}
	exchange.runs++
	exchange.count()
	if answer.Status != http.StatusOK {
		return exchange.refusedByEngine(answer, run.Target, begun)
	}
	if !exchange.sound(answer, reply) {
		_ = answer.Body.Close()
		exchange.note(run.Target, "decode", "broken", begun)
		proxy.observe(health.Event{Target: run.Target.ID, Outcome: health.Failure})
		return failed
	}
	event := health.Event{Target: run.Target.ID}
	outcome := stream.copy(answer, watch)
	if outcome != answered {
		event.Outcome = health.Failure
	}
	exchange.note(run.Target, "decode", stream.end, begun)
	if stream.callerGone {
		exchange.refuse(code.Errorf(code.CallerGone, "the caller has gone"))
	}
	proxy.observe(event)
	return outcome
}

// refusedByEngine gives an engine's own failure to the caller.
func (exchange *exchange) refusedByEngine(answer *back.Answer, target site.Target, begun time.Time) verdict {
	body, err := readAll(answer)
	exchange.note(target, "decode", "failed", begun)
	if answer.Status >= http.StatusInternalServerError {
		exchange.proxy.observe(health.Event{Target: target.ID, Outcome: health.Failure})
	}
	if err != nil || exchange.began || (exchange.route.Resumable && exchange.runs < exchange.route.Attempts) {
		return failed
	}
	exchange.deliver(answer, body)
	return answered
}

// unstreamed judges a generation without an answer.
func (exchange *exchange) unstreamed(target site.Target, err error, begun time.Time) verdict {
	if !exchange.lost(target, err) {
		exchange.note(target, "decode", "unreachable", begun)
		return unsent
	}
	exchange.runs++
	exchange.note(target, "decode", "no-answer", begun)
	exchange.proxy.observe(health.Event{Target: target.ID, Outcome: health.Failure})
	return mayHaveRun
}

// mostCleanups bounds the calls that free prompts; beyond it, engines free
// them by themselves.
const mostCleanups = 8

// cleanupTimeout bounds one such call.
const cleanupTimeout = time.Second

// free lets an engine forget a prompt that nobody fetches.
func (exchange *exchange) free(handle *site.Handle) {
	if handle == nil {
		return
	}
	proxy := exchange.proxy
	select {
	case proxy.cleaning <- struct{}{}:
	default:
		return
	}
	proxy.cleanups.Add(1)
	go func() {
		defer proxy.cleanups.Done()
		defer func() { <-proxy.cleaning }()
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		answer, err := proxy.client.Do(ctx, &back.Call{
			Address: handle.Address, Method: http.MethodDelete, Path: proxy.wire.HandlePath(handle.ID), Kept: true,
		})
		if err == nil {
			drop(answer)
		}
	}()
}
