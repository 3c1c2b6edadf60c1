package order_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

// withTwoHolders runs a test in a synctest bubble with one target and two
// processes, of which the first holds the lease, and then fails on violations.
func withTwoHolders(t *testing.T, hasFencing, reportsBootID bool, run func(simulator *simulator, issue issueFunc, first, second *process), opts ...order.Option) {
	synctest.Test(t, func(t *testing.T) {
		simulator := newSimulator(0)
		issue := issueTo(simulator.addTarget("t1", hasFencing, reportsBootID))
		first, second := simulator.startProcess("first", opts...), simulator.startProcess("second", opts...)
		simulator.grantLease(first)
		run(simulator, issue, first, second)
		simulator.deliverDelayed()
		for _, violation := range simulator.listViolations() {
			t.Error(violation)
		}
	})
}

func (simulator *simulator) setDelivery(next delivery) {
	simulator.nextDelivery = func(order.Kind) delivery { return next }
}

// TestOrderAfterEngineCrash crashes an engine right after an order took effect.
// Recovery must settle the ticket, and the same order must be accepted again.
func TestOrderAfterEngineCrash(t *testing.T) {
	for _, hasFencing := range []bool{true, false} {
		withTwoHolders(t, hasFencing, true, func(simulator *simulator, issue issueFunc, first, _ *process) {
			simulator.setDelivery(targetCrash)
			issue(first, "v1")
			simulator.setDelivery(delivered)
			if unresolved := first.recoverAll(); len(unresolved) > 0 {
				t.Fatalf("recoverAll() = %+v, want none", unresolved)
			}
			if result := issue(first, "v1"); result.Outcome != order.OutcomeDone {
				t.Fatalf("Issue() after the crash = %+v, want outcome %q", result, order.OutcomeDone)
			}
		})
	}
}

// TestRestartIsNotMistakenForOrderEffect restarts an engine just before an order
// is sent, which brings it into the state that the order asks for, and delays
// the order. That state does not prove that the order has taken effect, with or
// without a boot ID and also if reports lag: the order may still arrive.
func TestRestartIsNotMistakenForOrderEffect(t *testing.T) {
	reportsBootID := false
	for _, lag := range []time.Duration{0, 0, time.Second} {
		reportsBootID = !reportsBootID || lag > 0
		withTwoHolders(t, false, reportsBootID, func(simulator *simulator, issue issueFunc, first, _ *process) {
			issue(first, "v1")
			simulator.reportLag = lag
			time.Sleep(2 * lag)
			engine := simulator.targets["t1"]
			simulator.nextDelivery = func(order.Kind) delivery {
				simulator.setDelivery(delivered)
				return delayed
			}
			simulator.beforeSend = func() {
				simulator.beforeSend = func() {}
				engine.crash()
			}
			issue(first, "v0")
			time.Sleep(2 * lag)
			issue(first, "v2")
		})
	}
}

// TestReportFromBeforePauseIsStale pauses a lease holder at every step of an
// order for 3 s, longer than the report lag of 2 s. A report fetched before the
// pause must not count as younger than the previous order.
func TestReportFromBeforePauseIsStale(t *testing.T) {
	for pauseAt := int64(1); pauseAt < 16; pauseAt++ {
		withTwoHolders(t, false, true, func(simulator *simulator, issue issueFunc, first, _ *process) {
			simulator.reportLag = 2 * time.Second
			first.recoverAll()
			time.Sleep(3 * time.Second)
			if result := issue(first, "v1"); result.Err != nil {
				t.Fatal(result.Err)
			}
			if paused, done := first.runUntilPaused(pauseAt, func() { issue(first, "v2") }); paused {
				time.Sleep(3 * time.Second)
				close(first.resume)
				<-done
			}
		})
	}
}

// TestReplacedTicketCountsAsSent has a new lease holder that gets no response to
// the write of its fence ticket, so that it never sends the fence order. It must
// not close that ticket as not sent: the order of the replaced ticket is still
// in flight.
func TestReplacedTicketCountsAsSent(t *testing.T) {
	withTwoHolders(t, true, true, func(simulator *simulator, issue issueFunc, first, second *process) {
		simulator.setDelivery(delayed)
		issue(first, "v1")
		simulator.grantLease(second)
		simulator.setDelivery(delivered)
		written := false
		simulator.store.SetFault(func(call memory.Call) memory.Fault {
			defer func() { written = written || call.Method == "commit" }()
			return memory.Fault{LoseResponse: call.Method == "commit" && !written, Unavailable: written}
		})
		_, _ = second.recoverOnce()
		simulator.store.SetFault(nil)
		second.recoverAll()
		simulator.beforeSend = simulator.deliverDelayedLocked
		if result := issue(second, "v2"); result.Err != nil {
			t.Fatal(result.Err)
		}
	})
}

// TestLostCommitResponses loses the response to each commit of a lease holder, before
// and after another process takes over the lease. The process must find out by
// reading whether its commit took effect.
func TestLostCommitResponses(t *testing.T) {
	withTwoHolders(t, false, true, func(simulator *simulator, issue issueFunc, first, second *process) {
		simulator.store.SetFault(func(call memory.Call) memory.Fault {
			return memory.Fault{LoseResponse: call.Method == "commit" && call.Client == "first"}
		})
		if result := issue(first, "v1"); result.Outcome != order.OutcomeDone {
			t.Fatalf("Issue() with the lease = %+v, want outcome %q", result, order.OutcomeDone)
		}
		simulator.grantLease(second)
		if result := issue(first, "v2"); !code.Is(result.Err, code.LeaseLost) {
			t.Fatalf("Issue() without the lease = %+v, want code.LeaseLost", result)
		}
	})
}

// TestUnsentResendKeepsTicketOpen guards against closing a platform ticket because
// a resend was not sent, while the earlier copy of the order may still arrive.
func TestUnsentResendKeepsTicketOpen(t *testing.T) {
	withTwoHolders(t, true, true, func(simulator *simulator, _ issueFunc, first, second *process) {
		simulator.setDelivery(requestLost)
		issueToPlatform(first, "v1")
		simulator.grantLease(second)
		simulator.setDelivery(notSent)
		if unresolved := second.recoverAll(); len(unresolved) != 1 {
			t.Fatalf("recoverAll() after an unsent resend = %+v, want one ticket", unresolved)
		}
		simulator.setDelivery(delivered)
		if unresolved := second.recoverAll(); len(unresolved) != 0 || len(simulator.platformOrders) != 1 {
			t.Fatalf("recoverAll() = %+v with platform orders %+v, want no tickets and one order", unresolved, simulator.platformOrders)
		}
	}, order.WithIdempotentPlatform())
}

// TestNumbersIncreaseWithEpoch guards against an order to an earlier target at the
// same address being accepted by a new target: numbers of a later epoch are higher
// than all earlier ones, also for a target without a ticket.
func TestNumbersIncreaseWithEpoch(t *testing.T) {
	withTwoHolders(t, true, true, func(simulator *simulator, issue issueFunc, first, second *process) {
		for range 3 {
			issue(first, "v1")
			issue(first, "v2")
		}
		last := issue(first, "v1").Number
		simulator.grantLease(second)
		second.recoverAll()
		next := issueTo(simulator.addTarget("t2", true, true))(second, "v1")
		if next.Err != nil || next.Number <= last {
			t.Fatalf("Issue() in the next epoch = %+v, want a number above %d", next, last)
		}
	})
}

// TestMalformedRow checks that a row that cannot be decoded fails only the order to
// its target; the other orders of the call are issued.
func TestMalformedRow(t *testing.T) {
	for _, value := range []string{"{", `{"data-center":"kosice-1","target":{"id":"t1"},"number":1,"session":"s","state":"lost"}`, `{"data-center":"kosice-1","target":{"id":"t9"},"number":1,"session":"s","state":"closed"}`} {
		withTwoHolders(t, true, true, func(simulator *simulator, issue issueFunc, first, _ *process) {
			err := simulator.store.Client("admin").Commit(context.Background(), table.Write{Key: "order/kosice-1/t1", Value: []byte(value)})
			if err != nil {
				t.Fatal(err)
			}
			results := first.issuer.IssueAll(context.Background(), []order.Request{
				loadRequest(simulator.targets["t1"].target, "v1"), loadRequest(simulator.addTarget("t2", true, true), "v1"),
			})
			if !code.Is(results[0].Err, code.RowMalformed) || results[1].Outcome != order.OutcomeDone {
				t.Fatalf("IssueAll() = %+v, want code.RowMalformed and outcome %q", results, order.OutcomeDone)
			}
			if tickets, err := first.issuer.ListTickets(context.Background(), dataCenter); err != nil || len(tickets) != 1 {
				t.Fatalf("ListTickets() = %+v, %v, want one ticket", tickets, err)
			}
		})
	}
}

// TestConflictFailsOnlyItsOrderInBatch overwrites one row of a batch between its
// reading and the opening of the tickets. The other orders must be issued.
func TestConflictFailsOnlyItsOrderInBatch(t *testing.T) {
	withTwoHolders(t, true, true, func(simulator *simulator, _ issueFunc, first, _ *process) {
		requests := []order.Request{loadRequest(simulator.targets["t1"].target, "v1"), loadRequest(simulator.addTarget("t2", true, true), "v1")}
		simulator.store.SetFault(func(call memory.Call) memory.Fault {
			if call.Client == "first" && call.Method == "commit" {
				simulator.store.SetFault(nil)
				_ = simulator.store.Client("other-writer").Commit(context.Background(), table.Write{Key: "order/kosice-1/t1", Value: []byte("{")})
			}
			return memory.Fault{}
		})
		results := first.issuer.IssueAll(context.Background(), requests)
		if !code.Is(results[0].Err, code.LeaseLost) || results[1].Outcome != order.OutcomeDone {
			t.Fatalf("IssueAll() = %+v, want code.LeaseLost and outcome %q", results, order.OutcomeDone)
		}
	})
}
