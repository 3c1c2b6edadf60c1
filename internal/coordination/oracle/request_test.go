package oracle_test

import (
	"fmt"
	"time"

	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// maxWithdrawalDelay is the time after which no instance accepts a withdrawn key,
// except the instances that updateStaleAllowed finds, for which the feed gives
// no such guarantee.
const maxWithdrawalDelay = 6 * time.Second

// maxStoreReadDelay is the time after which an instance that reaches the store
// again has read the newest note.
const maxStoreReadDelay = 3 * time.Second

// acceptsKey reports whether the instance accepts a request with the key now.
func (instance *instance) acceptsKey(key string) bool {
	if instance.feed.CheckServing() != nil {
		return false
	}
	_, ok := instance.feed.Catalog().Keys[note.KeyDigest(key)]
	return ok
}

// checkKey checks that an instance that is not paused does not accept the key
// too long after its withdrawal.
func (simulator *simulator) checkKey(instance *instance, key string) {
	accepted := instance.acceptsKey(key)
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	withdrawn, ok := simulator.model.withdrawnAt[key]
	since := withdrawn
	if instance.staleAllowedAt.After(since) {
		since = instance.staleAllowedAt
	}
	if ok && accepted && time.Since(since) > maxWithdrawalDelay {
		simulator.recordViolation("withdrawn key accepted", "%s accepts %s %v after the withdrawal or the last allowed stale note", instance.id, key, time.Since(since))
	}
}

// updateStaleAllowed marks the instances that may serve an old note: those that
// lost the store, but can reach more than half of the instances, none of which
// can know the newest note yet. The caller holds simulator.mu.
func (simulator *simulator) updateStaleAllowed() {
	alive := simulator.aliveLocked()
	for _, instance := range alive {
		if instance.isPaused() || simulator.storeImpaired(instance.id) {
			instance.storeImpairedAt = time.Now()
		}
	}
	for _, instance := range alive {
		group, informed := 1, simulator.knowsNewestNote(instance)
		for _, peer := range alive {
			if peer == instance || peer.isPaused() || !simulator.connected(instance.id, peer.id) {
				continue
			}
			group++
			informed = informed || simulator.knowsNewestNote(peer)
		}
		if !instance.isPaused() && group*2 > len(alive) && !informed {
			instance.staleAllowedAt = time.Now()
		}
	}
}

// knowsNewestNote reports whether an instance has the newest note, or has reached
// the store for long enough that it must have it. The caller holds simulator.mu.
func (simulator *simulator) knowsNewestNote(instance *instance) bool {
	newest := uint64(len(simulator.model.noteAcceptedAt))
	return instance.feed.Number() >= newest || time.Since(instance.storeImpairedAt) > maxStoreReadDelay
}

func (simulator *simulator) storeImpaired(id string) bool {
	return simulator.storeDown || simulator.storeDelay > 0 || simulator.storeUnreachable[id]
}

// noResponse is the outcome for the caller of a killed instance.
const noResponse = "no response"

// callOnce makes one attempt of an at-most-once call and returns its outcome.
func (instance *instance) callOnce(key int) string {
	simulator := instance.simulator
	if instance.waitToRun() != nil {
		return noResponse
	}
	call := once.Call{
		Team: "press", IdempotencyKey: fmt.Sprint("job-", key), Method: "POST", Path: "/print-orders", Body: []byte("body"),
	}
	attempt := simulator.newAttempt(instance, call.IdempotencyKey)
	ticket, outcome, err := instance.deduplicator.Begin(instance.ctx, call)
	if instance.waitToRun() != nil {
		return noResponse
	}
	switch {
	case err != nil:
		return simulator.checkRefusal(instance, call.IdempotencyKey, attempt, code.RunStatusFromError(err), err)
	case outcome != nil:
		simulator.checkOutcome(instance, call.IdempotencyKey, string(outcome.Body))
		return "stored response"
	default:
		return instance.sendCall(pendingCall{ticket, call.IdempotencyKey, attempt})
	}
}

// pendingCall is a call with an open ticket.
type pendingCall struct {
	ticket  *once.Ticket
	key     string
	attempt attempt
}

// attempt describes one attempt of a call and the state when it began.
type attempt struct {
	priorRuns      int // earlier runs with the same idempotency key
	startedAt      time.Time
	ran            bool // whether the service ran this attempt
	storeReachable bool
}

// sendCall sends a pending call to the service and closes its ticket.
func (instance *instance) sendCall(call pendingCall) string {
	simulator, ticket := instance.simulator, call.ticket
	if err := ticket.MarkSent(); err != nil {
		ticket.Abandon()
		return simulator.checkRefusal(instance, call.key, call.attempt, code.RunStatusFromError(err), err)
	}
	if instance.waitToRun() != nil {
		return noResponse
	}
	instance.recordStep("before call")
	if instance.waitToRun() != nil {
		return noResponse
	}
	response, delivery := simulator.runService(instance, call.key)
	instance.recordStep("after call")
	call.attempt.ran = response != ""
	if instance.waitToRun() != nil {
		return noResponse
	}
	switch delivery {
	case delivered:
		ticket.Finish(once.Outcome{Status: 200, Body: []byte(response)})
		return "response"
	case refused, connectFailed:
		ticket.MarkNotSent()
		ticket.Abandon()
		return simulator.checkRefusal(instance, call.key, call.attempt, ticket.RunStatus(), delivery)
	default:
		ticket.Abandon()
		return simulator.checkRefusal(instance, call.key, call.attempt, ticket.RunStatus(), delivery)
	}
}

// runService simulates a service without deduplication: it runs each call that
// reaches it. It returns an empty response if the call does not run.
func (simulator *simulator) runService(instance *instance, key string) (response string, result delivery) {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	result = simulator.takeDelivery("service")
	if instance.isKilled() || result == refused || result == connectFailed || result == dropped {
		return "", result
	}
	runs := simulator.model.serviceRuns[key]
	response = fmt.Sprintf("%s run %d", key, len(runs)+1)
	simulator.model.serviceRuns[key] = append(runs, response)
	if len(runs) > 0 {
		simulator.recordViolation("call ran twice", "%s sent by %s", key, instance.id)
	}
	return response, result
}

func (simulator *simulator) newAttempt(instance *instance, key string) attempt {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	return attempt{priorRuns: len(simulator.model.serviceRuns[key]), startedAt: time.Now(), storeReachable: !simulator.storeImpaired(instance.id)}
}

// checkRefusal checks an error response with the run status "not run": the
// attempt must not have run, nor any earlier one with the same key if the store
// was reachable and the attempt took less than 1 s. It returns the run status.
func (simulator *simulator) checkRefusal(instance *instance, key string, attempt attempt, status code.RunStatus, reason any) string {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	storeAsked := attempt.storeReachable && !simulator.storeImpaired(instance.id) && time.Since(attempt.startedAt) < time.Second
	if status == code.NotRun && (attempt.ran || attempt.priorRuns > 0 && storeAsked) {
		simulator.recordViolation("run status not-run is wrong", "%s returned it for %s, which ran: %v", instance.id, key, reason)
	}
	return status.String()
}

func (simulator *simulator) checkOutcome(instance *instance, key, response string) {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	runs := simulator.model.serviceRuns[key]
	if len(runs) != 1 || runs[0] != response {
		simulator.recordViolation("wrong stored outcome", "%s returned %q for %s, service responses are %q", instance.id, response, key, runs)
	}
}

func (simulator *simulator) runCount(key string) int {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	return len(simulator.model.serviceRuns[key])
}
