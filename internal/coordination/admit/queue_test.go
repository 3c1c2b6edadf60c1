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

// TestAdmitAnswersWhenDeadlineIsLost checks that a request which can't start
// in time is refused at the moment when that is clear.
func TestAdmitAnswersWhenDeadlineIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admit.New(admit.WithCapacity(1), admit.WithRate(1000))
		release := mustAdmit(t, queue, admit.Request{Team: "a", Cost: 1})
		begin := time.Now()
		request := admit.Request{Team: "b", Cost: 1, Deadline: begin.Add(5 * time.Second), Service: 2 * time.Second}
		_, err := queue.Admit(context.Background(), request)
		if waited := time.Since(begin); !code.Is(err, code.DeadlineTooShort) || waited != 3*time.Second {
			t.Fatalf("%v after %v", err, waited)
		}
		request.Deadline = time.Now().Add(time.Second)
		if _, err := queue.Admit(context.Background(), request); !code.Is(err, code.DeadlineTooShort) || queue.Waiting() != 0 {
			t.Fatalf("%v, %d wait", err, queue.Waiting())
		}
		release(1)
		release(1)
		mustAdmit(t, queue, admit.Request{Team: "b", Cost: 1})(1)
	})
}

// TestExchangeRefusesTheHopeless measures a low rate while ten requests wait:
// those at the end are refused long before their deadline.
func TestExchangeRefusesTheHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admit.New(admit.WithCapacity(1), admit.WithRate(1000))
		release, begin := mustAdmit(t, queue, admit.Request{Team: "a", Cost: 1}), time.Now()
		refused := make(chan time.Duration, 10)
		for range 10 {
			go func() {
				release, err := queue.Admit(context.Background(), admit.Request{Team: "a", Cost: 1, Deadline: begin.Add(40 * time.Second)})
				if code.Is(err, code.DeadlineTooShort) {
					refused <- time.Since(begin)
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
			queue.Exchange(1, nil)
		}
		synctest.Wait()
		if len(refused) < 2 || <-refused > 30*time.Second {
			t.Fatalf("%d refused in 30 s", len(refused))
		}
		time.Sleep(time.Minute)
		if running := 10 - len(refused) - 1; running < 3 {
			t.Fatalf("only %d of 4 could run in time", running)
		}
	})
}

// TestFailuresKeepTheRate has requests fail at once, at no cost: the queue is
// expected to go on at that speed.
func TestFailuresKeepTheRate(t *testing.T) {
	now := time.UnixMilli(1e12)
	scheduler := admit.NewScheduler(admit.WithCapacity(1), admit.WithQueue(1000, 1e9))
	running, err := scheduler.Offer(now, admit.Request{Team: "a", Cost: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		request := admit.Request{Team: "a", Cost: 1, Deadline: now.Add(time.Minute)}
		if _, err := scheduler.Offer(now, request); err != nil {
			t.Fatal(err)
		}
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		scheduler.Finish(now, running, 0)
		running = scheduler.Next(now)
	}
	if expired := scheduler.Expire(now); len(expired) > 0 {
		t.Fatalf("%d given up", len(expired))
	}
	if _, err := scheduler.Offer(now, admit.Request{Team: "a", Cost: 1, Deadline: now.Add(20 * time.Second)}); err != nil {
		t.Fatal(err)
	}
}

// TestAdmitRefusesByBacklog checks refusals on entry: a wait that the backlog
// makes too long, and a full queue, whose retry hint is the backlog's time.
func TestAdmitRefusesByBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admit.New(admit.WithCapacity(1), admit.WithRate(1), admit.WithQueue(5, 100))
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
		begin := time.Now()
		_, err := queue.Admit(ctx, admit.Request{Team: "a", Cost: 1, Deadline: begin.Add(9 * time.Second)})
		if !code.Is(err, code.DeadlineTooShort) || time.Since(begin) != 0 {
			t.Fatalf("behind 10 s of work: %v after %v", err, time.Since(begin))
		}
		_, err = queue.Admit(ctx, admit.Request{Team: "a", Cost: 1})
		if !code.Is(err, code.TeamOverloaded) || code.RetryOf(err) != 10 {
			t.Fatalf("full queue: %v, retry after %d s", err, code.RetryOf(err))
		}
		cancel()
		for range 5 {
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
		}
		release(1)
		if queue.Waiting() != 0 || queue.Running() != 0 {
			t.Fatalf("%d wait, %v units run", queue.Waiting(), queue.Running())
		}
	})
}

// TestAdmitGivesBackWhatTheCallerLeft lets callers leave while they are
// granted. It runs in parallel for real, as the two have to meet.
func TestAdmitGivesBackWhatTheCallerLeft(t *testing.T) {
	queue := admit.New(admit.WithCapacity(1))
	for range 3000 {
		release := mustAdmit(t, queue, admit.Request{Team: "a", Cost: 1})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() {
			if release, err := queue.Admit(ctx, admit.Request{Team: "b", Cost: 1}); err == nil {
				release(1)
			}
		})
		group.Go(cancel)
		group.Go(func() { release(1) })
		group.Wait()
		if queue.Waiting() != 0 || queue.Running() != 0 {
			t.Fatalf("%d wait, %v units run", queue.Waiting(), queue.Running())
		}
	}
}

// TestExchangeDividesTheFleet checks the units that each instance may use.
func TestExchangeDividesTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		flood := func(units float64) []admit.Demand { return []admit.Demand{{Team: "flood", Weight: 1, Units: units}} }
		cases := []struct {
			name    string
			members int
			peers   []admit.Peer
			want    int
		}{
			{"alone", 1, nil, 70},
			{"all silent", 7, []admit.Peer{{Name: "old", At: time.Now().Add(-time.Minute), Demands: flood(1)}}, 10},
			{"one idle peer, five silent", 7, []admit.Peer{{Name: "p", At: time.Now()}}, 20},
			{"same demand elsewhere", 2, []admit.Peer{{Name: "p", At: time.Now(), Demands: flood(500)}}, 35},
			{"another team floods elsewhere", 2, []admit.Peer{{Name: "p", At: time.Now(), Demands: []admit.Demand{{Team: "b", Weight: 6, Units: 900}}}}, 10},
			{"the others ask for little", 2, []admit.Peer{{Name: "p", At: time.Now(), Demands: []admit.Demand{{Team: "b", Units: 9}}}}, 61},
		}
		for _, test := range cases {
			queue := admit.New(admit.WithCapacity(70), admit.WithMembers(70), admit.WithQueue(1000, 1000))
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
			queue.Exchange(test.members, test.peers)
			synctest.Wait()
			if got := int(granted.Load()); got != test.want {
				t.Errorf("%s: %d granted, want %d", test.name, got, test.want)
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
