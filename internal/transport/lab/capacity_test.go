package lab_test

import (
	"context"
	"testing"

	"mangopier.example/mangopier/internal/transport/lab"
)

func TestTargetsAreOrderedUnderLoad(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		shortLeases(plan)
		for i := range plan.Engines {
			plan.Engines[i].Slots, plan.Engines[i].DecodeTPS = 4, 40
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan answer)
	const callers = 24
	for range callers {
		go stream(ctx, running, results)
	}
	go func() {
		for range results {
		}
	}()
	eventually(t, "an ordered engine", func() bool {
		for _, fake := range running.Ordered() {
			if fake.Runs() > 0 {
				return true
			}
		}
		return false
	})
}
