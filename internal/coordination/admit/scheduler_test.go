package admit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/admit"
	"mangopier.example/mangopier/internal/protocol/code"
)

const (
	modelCapacity      = 10.0
	modelQueueRequests = 4
	modelQueueCost     = 12.0
)

// invalidCosts are costs that a fault in the caller could produce.
var invalidCosts = []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)}

// referenceModel tracks the requests that a Scheduler has accepted.
type referenceModel struct {
	now       time.Time
	scheduler *admit.Scheduler
	waiting   []*admit.Ticket
	running   []*admit.Ticket
}

// TestSchedulerMatchesReferenceModel runs random operations on a Scheduler and
// compares it with a reference model: the limits on capacity and queue hold, no
// request is lost or granted after its deadline, and none waits while nothing
// runs.
func TestSchedulerMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &referenceModel{now: time.UnixMilli(1e12), scheduler: admit.NewScheduler(
			admit.WithCapacity(modelCapacity), admit.WithQueueLimits(modelQueueRequests, modelQueueCost), admit.WithRate(modelCapacity))}
		t.Repeat(map[string]func(*rapid.T){
			"offer":    model.submit,
			"finish":   model.finish,
			"cancel":   model.cancel,
			"pass":     func(t *rapid.T) { model.advance(t) },
			"exchange": model.rebalance,
			"expire":   model.expire,
			"":         model.check,
		})
	})
}

func (model *referenceModel) submit(t *rapid.T) {
	request := admit.Request{
		Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Weight:   rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "weight"),
		Cost:     rapid.OneOf(rapid.Float64Range(0.1, 12), rapid.SampledFrom(invalidCosts)).Draw(t, "cost"),
		Priority: rapid.IntRange(-1, 1).Draw(t, "priority"),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		request.Deadline = model.now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "deadline")) * time.Second)
	}
	ticket, err := model.scheduler.Submit(model.now, request)
	switch {
	case err != nil && !code.Is(err, code.TeamOverloaded) && !code.Is(err, code.DeadlineTooShort):
		t.Fatal(err)
	case err != nil && code.RetryAfterSeconds(err) < 1:
		t.Fatalf("scheduler.Submit() = %v without a retry hint, want at least 1 s", err)
	case err != nil:
	case ticket.Granted():
		model.grant(t, ticket)
	default:
		model.waiting = append(model.waiting, ticket)
	}
}

func (model *referenceModel) finish(t *rapid.T) {
	if len(model.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(model.running)-1).Draw(t, "running")
	actual := rapid.OneOf(rapid.Float64Range(0, 20), rapid.SampledFrom(invalidCosts)).Draw(t, "actual")
	model.scheduler.Finish(model.now, model.running[i], actual)
	model.scheduler.Finish(model.now, model.running[i], actual)
	model.running = append(model.running[:i], model.running[i+1:]...)
	model.dispatch(t)
}

func (model *referenceModel) cancel(t *rapid.T) {
	if len(model.waiting) == 0 {
		return
	}
	ticket := rapid.SampledFrom(model.waiting).Draw(t, "waiting")
	if !model.scheduler.Cancel(ticket) || model.scheduler.Cancel(ticket) {
		t.Fatal("two calls of scheduler.Cancel() for a waiting request did not return true, then false")
	}
	model.removeWaiting(t, ticket)
	model.dispatch(t)
}

func (model *referenceModel) advance(t *rapid.T) {
	model.now = model.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	model.dispatch(t)
}

func (model *referenceModel) rebalance(t *rapid.T) {
	peer := admit.PeerDemand{Instance: "p", ReportedAt: model.now, Demands: []admit.TeamDemand{{Team: "a", Weight: 1, Cost: rapid.OneOf(rapid.Float64Range(0, 30), rapid.SampledFrom(invalidCosts)).Draw(t, "units")}}}
	model.scheduler.Rebalance(model.now, 2, []admit.PeerDemand{peer})
	model.dispatch(t)
}

func (model *referenceModel) expire(t *rapid.T) {
	for _, ticket := range model.scheduler.RemoveExpired(model.now) {
		if ticket.Granted() || ticket.Request.Deadline.IsZero() {
			t.Fatalf("scheduler.RemoveExpired() returned %+v, want only waiting requests with a deadline", ticket.Request)
		}
		model.removeWaiting(t, ticket)
	}
	model.dispatch(t)
}

func (model *referenceModel) dispatch(t *rapid.T) {
	for ticket := model.scheduler.Dequeue(model.now); ticket != nil; ticket = model.scheduler.Dequeue(model.now) {
		model.removeWaiting(t, ticket)
		if ticket.Granted() {
			model.grant(t, ticket)
		} else if !model.now.After(ticket.Request.Deadline) {
			t.Fatal("scheduler.Dequeue() refused a request before its deadline")
		}
	}
	if len(model.waiting) > 0 && len(model.running) == 0 {
		t.Fatal("requests wait while none is in flight")
	}
}

func (model *referenceModel) grant(t *rapid.T, ticket *admit.Ticket) {
	if deadline := ticket.Request.Deadline; !deadline.IsZero() && model.now.After(deadline) {
		t.Fatal("request granted after its deadline")
	}
	model.running = append(model.running, ticket)
}

func (model *referenceModel) removeWaiting(t *rapid.T, ticket *admit.Ticket) {
	for i, waiting := range model.waiting {
		if waiting == ticket {
			model.waiting = append(model.waiting[:i:i], model.waiting[i+1:]...)
			return
		}
	}
	t.Fatal("scheduler returned a request that was not waiting")
}

func (model *referenceModel) check(t *rapid.T) {
	running, counts := 0.0, map[string]int{}
	for _, ticket := range model.running {
		running += ticket.Request.Cost
	}
	if running > modelCapacity+1e-6 && len(model.running) > 1 {
		t.Fatalf("got %v units in flight by %d requests, want at most %v", running, len(model.running), modelCapacity)
	}
	for _, ticket := range model.waiting {
		counts[ticket.Request.Team]++
	}
	for team, count := range counts {
		if count > modelQueueRequests {
			t.Fatalf("got %d requests of team %s waiting, want at most %d", count, team, modelQueueRequests)
		}
	}
	if model.scheduler.WaitingRequests() != len(model.waiting) {
		t.Fatalf("scheduler.WaitingRequests() = %d, want %d", model.scheduler.WaitingRequests(), len(model.waiting))
	}
}

// TestFairnessBound checks the bound of start-time fair queueing: the costs
// granted to two backlogged teams, each divided by the team's weight, never
// differ by more than the largest request of each divided by its weight.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := admit.NewScheduler(admit.WithCapacity(8), admit.WithQueueLimits(1000, 1e9))
		count := rapid.IntRange(2, 5).Draw(t, "teams")
		weights, largest, served := make([]float64, count), make([]float64, count), make([]float64, count)
		now := time.UnixMilli(1e12)
		blocker, err := scheduler.Submit(now, admit.Request{Team: "blocker", Cost: 8})
		if err != nil {
			t.Fatal(err)
		}
		for i := range weights {
			weights[i] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			largest[i] = rapid.Float64Range(0.5, 4).Draw(t, "largest")
			for range 200 {
				cost := largest[i] * rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "cost")
				if _, err := scheduler.Submit(now, admit.Request{Team: fmt.Sprint(i), Weight: weights[i], Cost: cost}); err != nil {
					t.Fatal(err)
				}
			}
		}
		running := []*admit.Ticket{blocker}
		for granted := 0; granted < 150; {
			scheduler.Finish(now, running[0], running[0].Request.Cost)
			running = running[1:]
			for ticket := scheduler.Dequeue(now); ticket != nil; ticket = scheduler.Dequeue(now) {
				granted++
				running = append(running, ticket)
				served[int(ticket.Request.Team[0]-'0')] += ticket.Request.Cost
				checkFairness(t, served, weights, largest)
			}
		}
	})
}

func checkFairness(t *rapid.T, served, weights, largest []float64) {
	for i := range served {
		for j := range served {
			difference := served[i]/weights[i] - served[j]/weights[j]
			if bound := largest[i]/weights[i] + largest[j]/weights[j]; difference > bound+1e-9 {
				t.Fatalf("weighted costs granted to teams %d and %d differ by %v, want at most %v", i, j, difference, bound)
			}
		}
	}
}

// TestChargesActualCostWithoutIdleCredit keeps two teams backlogged and checks
// that neither gets more than half of the service: team b must not gain credit
// by arriving late, nor by requests that cost four times their estimate. An
// infinite estimate is corrected to the actual cost; a NaN actual cost counts as
// zero, so that team b gets all of the service.
func TestChargesActualCostWithoutIdleCredit(t *testing.T) {
	for _, testCase := range []struct {
		name             string
		late             int     // grants before team b's first request
		single           bool    // team b has at most one request waiting
		estimate, actual float64 // cost of each request of team b
		want             int     // grants of team b out of 60
	}{
		{"equal costs", 0, false, 1, 1, 30},
		{"arrives late", 100, false, 1, 1, 30},
		{"costs four times the estimate", 0, false, 1, 4, 12},
		{"costs four times the estimate, one waiting", 0, true, 1, 4, 12},
		{"infinite estimate", 0, false, math.Inf(1), 1, 30},
		{"NaN actual cost", 0, false, 1, math.NaN(), 60},
	} {
		scheduler, now := admit.NewScheduler(admit.WithCapacity(1), admit.WithQueueLimits(1000, 1e9)), time.UnixMilli(1e12)
		submit := func(team string, cost float64) *admit.Ticket {
			ticket, err := scheduler.Submit(now, admit.Request{Team: team, Cost: cost})
			if err != nil {
				t.Fatal(err)
			}
			return ticket
		}
		running, granted := submit("a", 1), 0
		for i := range testCase.late + 60 {
			submit("a", 1)
			if i >= testCase.late && (!testCase.single || scheduler.WaitingRequests() == i+1-granted-testCase.late) {
				submit("b", testCase.estimate)
			}
			actual := 1.0
			if running.Request.Team == "b" {
				actual = testCase.actual
			}
			scheduler.Finish(now, running, actual)
			if running = scheduler.Dequeue(now); running.Request.Team == "b" {
				granted++
			}
		}
		if granted < testCase.want-1 || granted > testCase.want+1 {
			t.Errorf("%s: got %d grants of team b, want %d, give or take 1", testCase.name, granted, testCase.want)
		}
	}
}
