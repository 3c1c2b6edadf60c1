package proxy

import (
	"context"
	"errors"
	"os"
	"slices"
	"syscall"
	"time"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// requestFeatures are the features of a request that may make targets crash: those of
// the request itself, and these with the parts of its prompt. Only a target that writes
// the answer crashes under a part, and a prompt that was prefilled proves nothing.
type requestFeatures struct{ request, all []crash.Feature }

func newRequestFeatures(team string, request *site.Request) requestFeatures {
	features := crash.RequestFeatures(team, request)
	return requestFeatures{request: features, all: slices.Concat(features, crash.PartFeatures(request.Prompt))}
}

// isQuarantined reports whether the request must not run, see quarantineError.
func (exchange *exchange) isQuarantined() bool {
	_, quarantined := exchange.admission.Quarantined()
	return quarantined
}

// quarantineError returns the error of a request that must not run since targets
// ended under equal ones, or under ones with the same part of the prompt, nil for any
// other. Its retry delay is the rest of the
// quarantine.
func (exchange *exchange) quarantineError() error {
	quarantine, quarantined := exchange.admission.Quarantined()
	if !quarantined {
		return nil
	}
	exchange.quarantined = quarantine.Feature
	err := code.Errorf(code.RequestSuspended, "targets ended while they ran equal requests")
	if quarantine.Feature.Part > 0 {
		err = code.Errorf(code.PromptPartSuspended, "targets ended while they answered prompts with the same part")
	}
	return code.WithRetryDelay(err, quarantine.Remaining)
}

// endRecord ends the record of a run, and checks its target if that may have ended.
// The next run of a suspect waits for the check, so that it does not crash one more
// target.
func (exchange *exchange) endRecord(run *crash.Run, result crash.Result) {
	if !run.End(result) {
		return
	}
	proxy := exchange.proxy
	if run.IsSuspect() {
		proxy.checkTarget(run.Target())
		return
	}
	proxy.cleanUp(func() { proxy.checkTarget(run.Target()) })
}

// targetCheckTimeout bounds the connection by which a target is checked. A target
// that ended refuses it within a round trip.
const targetCheckTimeout = 200 * time.Millisecond

// checkTarget records that a target refuses connections, if it does.
func (proxy *Proxy) checkTarget(target site.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), targetCheckTimeout)
	defer cancel()
	err := proxy.client.Connect(ctx, target.Address)
	proxy.logger.Debug().Str("target", target.ID).Err(err).Msg("target checked after a call without an answer")
	if errors.Is(err, syscall.ECONNREFUSED) {
		proxy.crashes.RecordRefused(target)
	}
}

// unansweredResult returns how a run ended that failed with err: lost with its
// connection, or ended by this instance.
func (exchange *exchange) unansweredResult(err error) crash.Result {
	var callError *back.CallError
	switch {
	case errors.As(err, &callError) && callError.State == back.NotSent:
		return crash.Inconclusive
	case exchange.callerLeft(), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded),
		errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return crash.Abandoned
	default:
		return crash.Lost
	}
}

// plainResult returns how a call to a plain service ended.
func (exchange *exchange) plainResult(result callResult) crash.Result {
	switch {
	case result.err != nil:
		return exchange.unansweredResult(result.err)
	case result.info.NotRun:
		return crash.Inconclusive
	case result.bodyErr != nil:
		return exchange.unansweredResult(result.bodyErr)
	case result.info.Signed && result.response.Status < 500:
		return crash.Completed
	default:
		return crash.Inconclusive
	}
}

// prefillResult returns how a prefill ended. A prompt that was prefilled may still
// crash the engine that decodes it.
func (exchange *exchange) prefillResult(result prefillResult) crash.Result {
	if result.err != nil {
		return exchange.unansweredResult(result.err)
	}
	return crash.Inconclusive
}
