package lab_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/transport/fakes"
)

func TestRepeatedOrderRunsOnce(t *testing.T) {
	running, ctx := start(t, nil), context.Background()
	var group sync.WaitGroup
	for entry := range running.Entries {
		for range 4 {
			group.Go(func() {
				got := post(ctx, running, entry, "/print-orders", "press", "7 brochures", "Idempotency-Key", "job-7")
				if got.status != 200 && got.code != int(code.OutcomeUnknown) {
					t.Errorf("got %+v", got)
				}
			})
		}
	}
	group.Wait()
	if runs := running.Services["order-desk-1"].Runs(); len(runs) != 1 {
		t.Fatalf("the order ran %d times", len(runs))
	}
	got := post(ctx, running, 2, "/print-orders", "press", "8 brochures", "Idempotency-Key", "job-7")
	if got.code != int(code.IdempotencyMismatch) {
		t.Fatalf("got %+v", got)
	}
}

func TestOrderOutcomes(t *testing.T) {
	running, ctx := start(t, nil), context.Background()
	desk := running.Services["order-desk-1"]
	cases := []struct {
		name   string
		fault  fakes.ServiceFault
		store  memory.Fault
		want   code.Code
		run    string
		repeat code.Code
		runs   int
	}{
		{"runs and drops", fakes.ServiceDropsRun, memory.Fault{}, code.OutcomeUnknown, "unknown", code.OutcomeUnknown, 1},
		{"drops before the run", fakes.ServiceDropsCall, memory.Fault{}, code.OutcomeUnknown, "unknown", code.OutcomeUnknown, 0},
		{"store down", fakes.ServiceWorks, memory.Fault{Unavailable: true}, code.StoreUnavailable, "not-run", 0, 1},
		{"claim answer lost", fakes.ServiceWorks, memory.Fault{LoseResponse: true}, 0, "", 0, 1},
	}
	for number, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			before := len(desk.Runs())
			desk.SetFault(test.fault)
			running.Platform.Store.SetFault(func(call memory.Call) memory.Fault {
				if call.Method == "commit" {
					return test.store
				}
				return memory.Fault{Unavailable: test.store.Unavailable}
			})
			key := fmt.Sprintf("order-%d", number)
			got := post(ctx, running, 0, "/print-orders", "press", "x", "Idempotency-Key", key)
			if got.code != int(test.want) || got.run != test.run {
				t.Errorf("got %+v", got)
			}
			running.Platform.Store.SetFault(nil)
			desk.SetFault(fakes.ServiceWorks)
			got = post(ctx, running, 1, "/print-orders", "press", "x", "Idempotency-Key", key)
			if got.code != int(test.repeat) {
				t.Errorf("repeat: got %+v", got)
			}
			if runs := len(desk.Runs()) - before; runs != test.runs {
				t.Errorf("ran %d times", runs)
			}
		})
	}
}
