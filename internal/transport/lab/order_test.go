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

func TestRepeatedCallRunsOnce(t *testing.T) {
	system, ctx := startSystem(t, nil), context.Background()
	var group sync.WaitGroup
	for entry := range system.Entries {
		for range 4 {
			group.Go(func() {
				got := sendPOST(ctx, system, entry, "/print-orders", "press", "7 brochures", "Idempotency-Key", "job-7")
				if got.status != 200 && got.code != int(code.OutcomeUnknown) {
					t.Errorf("sendPOST() = %+v, want status 200 or code %d", got, code.OutcomeUnknown)
				}
			})
		}
	}
	group.Wait()
	if runs := system.Services["order-desk-1"].Runs(); len(runs) != 1 {
		t.Fatalf("calls with the same idempotency key ran %d times, want 1", len(runs))
	}
	got := sendPOST(ctx, system, 2, "/print-orders", "press", "8 brochures", "Idempotency-Key", "job-7")
	if got.code != int(code.IdempotencyMismatch) {
		t.Fatalf("sendPOST() with the same key and another body = %+v, want code %d", got, code.IdempotencyMismatch)
	}
}

func TestOutcomeOfNonRepeatableCall(t *testing.T) {
	system, ctx := startSystem(t, nil), context.Background()
	service := system.Services["order-desk-1"]
	cases := []struct {
		name          string
		serviceFault  fakes.ServiceFault
		storeFault    memory.Fault
		wantCode      code.Code
		wantRunStatus string
		wantRepeat    code.Code // code of the repeated call, after the faults have ended
		wantRuns      int
	}{
		{"connection closed after the run", fakes.ServiceDropAfterRun, memory.Fault{}, code.OutcomeUnknown, "unknown", code.OutcomeUnknown, 1},
		{"connection closed before the run", fakes.ServiceDropBeforeRun, memory.Fault{}, code.OutcomeUnknown, "unknown", code.OutcomeUnknown, 0},
		{"store unavailable", fakes.ServiceNoFault, memory.Fault{Unavailable: true}, code.StoreUnavailable, "not-run", 0, 1},
		{"response to the claim lost", fakes.ServiceNoFault, memory.Fault{LoseResponse: true}, 0, "", 0, 1},
	}
	for index, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runsBefore := len(service.Runs())
			service.SetFault(test.serviceFault)
			system.Platform.Store.SetFault(func(call memory.Call) memory.Fault {
				if call.Method == "commit" {
					return test.storeFault
				}
				return memory.Fault{Unavailable: test.storeFault.Unavailable}
			})
			key := fmt.Sprintf("order-%d", index)
			got := sendPOST(ctx, system, 0, "/print-orders", "press", "x", "Idempotency-Key", key)
			if got.code != int(test.wantCode) || got.runStatus != test.wantRunStatus {
				t.Errorf("sendPOST() = %+v, want code %d and run status %q", got, test.wantCode, test.wantRunStatus)
			}
			system.Platform.Store.SetFault(nil)
			service.SetFault(fakes.ServiceNoFault)
			got = sendPOST(ctx, system, 1, "/print-orders", "press", "x", "Idempotency-Key", key)
			if got.code != int(test.wantRepeat) {
				t.Errorf("repeated sendPOST() = %+v, want code %d", got, test.wantRepeat)
			}
			if runs := len(service.Runs()) - runsBefore; runs != test.wantRuns {
				t.Errorf("runs = %d, want %d", runs, test.wantRuns)
			}
		})
	}
}
