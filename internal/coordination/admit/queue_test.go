package admit_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
	"mangopier.example/mangopier/internal/protocol/code"
)

// TestAdmitRefusesAtLatestStart checks that a waiting request is refused when its
// latest start passes, rather than at its deadline, and that a new request past
// its latest start is refused without waiting.
func TestAdmitRefusesAtLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admit.New(admit.WithCapacity(1), admit.WithRate(1000))
		release := mustAdmit(t, queue, admit.Request{Team: "a", Cost: 1})
		start := time.Now()
		request := admit.Request{Team: "b", Cost: 1, Deadline: start.Add(5 * time.Second), ServiceTime: 2 * time.Second}
		_, err := queue.Admit(context.Background(), request)
		if waited := time.Since(start); !code.Is(err, code.DeadlineTooShort) || waited != 3*time.Second {
			t.Fatalf("queue.Admit() = %v after %v, want code DeadlineTooShort after 3 s", err, waited)
		}
		request.Deadline = time.Now().Add(time.Second)
		if _, err := queue.Admit(context.Background(), request); !code.Is(err, code.DeadlineTooShort) || queue.WaitingRequests() != 0 {
			t.Fatalf("queue.Admit() = %v with %d requests waiting, want code DeadlineTooShort with none", err, queue.WaitingRequests())
		}
		release(1)
		release(1)
		mustAdmit(t, queue, admit.Request{Team: "b", Cost: 1})(1)
	})
}

// TestRebalanceRefusesExpiredRequests checks that requests at the end of a queue
// are refused well before their deadline once the measured throughput is much
// lower than the configured one.
func TestRebalanceRefusesExpiredRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admit.New(admit.WithCapacity(1), admit.WithRate(1000))
		release, start := mustAdmit(t, queue, admit.Request{Team: "a", Cost: 1}), time.Now()
		refused := make(chan time.Duration, 10)
		for range 10 {
			go func() {
				release, err := queue.Admit(context.Background(), admit.Request{Team: "a", Cost: 1, Deadline: start.Add(40 * time.Second)})
				if code.Is(err, code.DeadlineTooShort) {
					refused <- time.Since(start)
					return
				}
				time.Sleep(10 * time.Second)
				release(1)
			}()
		}
		time.Sleep(10 * time.Second)
		release(1)
		for range 20 {
			time.Sleep(time.Second)
			queue.Rebalance(1, nil)
		}
		synctest.Wait()
		if len(refused) < 2 || <-refused > 30*time.Second {
			t.Fatalf("got %d refusals, want at least 2 and the first within 30 s", len(refused))
		}
		time.Sleep(time.Minute)
		if running := 10 - len(refused) - 1; running < 3 {
			t.Fatalf("got %d requests run, want at least 3 of the 4 that can start in time", running)
		}
	})
}

// TestFailedRequestsCountTowardThroughput guards against a throughput estimate of
// zero when requests fail quickly with an actual cost of zero: their expected
// cost counts, so that waiting requests are not refused.
func TestFailedRequestsCountTowardThroughput(t *testing.T) {
	now := time.UnixMilli(1e12)
	scheduler := admit.NewScheduler(admit.WithCapacity(1), admit.WithQueueLimits(1000, 1e9))
	running, err := scheduler.Submit(now, admit.Request{Team: "a", Cost: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		request := admit.Request{Team: "a", Cost: 1, Deadline: now.Add(time.Minute)}
		if _, err := scheduler.Submit(now, request); err != nil {
			t.Fatal(err)
		}
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		scheduler.Finish(now, running, 0)
		running = scheduler.Dequeue(now)
	}
	if expired := scheduler.RemoveExpired(now); len(expired) > 0 {
		t.Fatalf("scheduler.RemoveExpired() returned %d requests, want none", len(expired))
	}
	if _, err := scheduler.Submit(now, admit.Request{Team: "a", Cost: 1, Deadline: now.Add(20 * time.Second)}); err != nil {
		t.Fatal(err)
	}
}

// TestAdmitRefusesByExpectedWaitAndQueueLimit checks that a request is refused on
// arrival if the backlog takes longer than its deadline allows, or if the queue
// is full, then with the backlog's time as the retry hint.
func TestAdmitRefusesByExpectedWaitAndQueueLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admit.New(admit.WithCapacity(1), admit.WithRate(1), admit.WithQueueLimits(5, 100))
		release := mustAdmit(t, queue, admit.Request{Team: "a", Cost: 1})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		for range 5 {
			go func() {
				_, err := queue.Admit(ctx, admit.Request{Team: "a", Cost: 2})
				ended <- err
			}()
		}
		synctest.Wait()
		start := time.Now()
		_, err := queue.Admit(ctx, admit.Request{Team: "a", Cost: 1, Deadline: start.Add(9 * time.Second)})
		if !code.Is(err, code.DeadlineTooShort) || time.Since(start) != 0 {
			t.Fatalf("queue.Admit() behind 10 s of work = %v after %v, want code DeadlineTooShort at once", err, time.Since(start))
		}
		_, err = queue.Admit(ctx, admit.Request{Team: "a", Cost: 1})
		if !code.Is(err, code.TeamOverloaded) || code.RetryAfterSeconds(err) != 10 {
			t.Fatalf("queue.Admit() with a full queue = %v, retry after %d s, want code TeamOverloaded, 10 s", err, code.RetryAfterSeconds(err))
		}
		cancel()
		for range 5 {
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
		}
		release(1)
		if queue.WaitingRequests() != 0 || queue.InFlightCost() != 0 {
			t.Fatalf("got %d requests waiting and %v units in flight, want none", queue.WaitingRequests(), queue.InFlightCost())
		}
	})
}

// TestAdmitReleasesGrantOfCancelledCaller cancels a waiting request while it is
// granted. The grant must be released, or its capacity would be lost. The test
// uses real goroutines, as the cancellation has to race with the grant.
func TestAdmitReleasesGrantOfCancelledCaller(t *testing.T) {
	queue := admit.New(admit.WithCapacity(1))
	for range 3000 {
		release := mustAdmit(t, queue, admit.Request{Team: "a", Cost: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var waitGroup sync.WaitGroup
		waitGroup.Go(func() {
			if release, err := queue.Admit(ctx, admit.Request{Team: "b", Cost: 1}); err == nil {
				release(1)
			}
		})
		waitGroup.Go(cancel)
		waitGroup.Go(func() { release(1) })
		waitGroup.Wait()
		if queue.WaitingRequests() != 0 || queue.InFlightCost() != 0 {
			t.Fatalf("got %d requests waiting and %v units in flight, want none", queue.WaitingRequests(), queue.InFlightCost())
		}
	}
}

// TestRebalanceDividesCapacity checks how many cost units an instance may have in
// flight for different demands of its peers.
func TestRebalanceDividesCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flood := func(cost float64) []admit.TeamDemand {
			return []admit.TeamDemand{{Team: "flood", Weight: 1, Cost: cost}}
		}
		cases := []struct {
			name          string
			instanceCount int
			peers         []admit.PeerDemand
			want          int
		}{
			{"single instance", 1, nil, 70},
			{"demand of the only peer too old", 7, []admit.PeerDemand{{Instance: "old", ReportedAt: time.Now().Add(-time.Minute), Demands: flood(1)}}, 10},
			{"one idle peer, five unknown", 7, []admit.PeerDemand{{Instance: "p", ReportedAt: time.Now()}}, 20},
			{"same team floods at the peer", 2, []admit.PeerDemand{{Instance: "p", ReportedAt: time.Now(), Demands: flood(500)}}, 35},
			{"heavier team floods at the peer", 2, []admit.PeerDemand{{Instance: "p", ReportedAt: time.Now(), Demands: []admit.TeamDemand{{Team: "b", Weight: 6, Cost: 900}}}}, 10},
			{"small demand at the peer", 2, []admit.PeerDemand{{Instance: "p", ReportedAt: time.Now(), Demands: []admit.TeamDemand{{Team: "b", Cost: 9}}}}, 61},
		}
		for _, testCase := range cases {
			queue := admit.New(admit.WithCapacity(70), admit.WithInstanceCount(70), admit.WithQueueLimits(1000, 1000))
			ctx, cancel := context.WithCancel(t.Context())
			var granted atomic.Int64
			for range 500 {
				go func() {
					if _, err := queue.Admit(ctx, admit.Request{Team: "flood", Cost: 1}); err == nil {
						granted.Add(1)
					}
				}()
			}
			synctest.Wait()
			queue.Rebalance(testCase.instanceCount, testCase.peers)
			synctest.Wait()
			if got := int(granted.Load()); got != testCase.want {
				t.Errorf("%s: got %d requests granted, want %d", testCase.name, got, testCase.want)
			}
			cancel()
			synctest.Wait()
		}
	})
}

func mustAdmit(t *testing.T, queue *admit.Queue, request admit.Request) admit.Release {
	t.Helper()
	release, err := queue.Admit(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	return release
}
