package lab_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/lab"
)

func shortLeases(plan *lab.Plan) {
	plan.Adjust = func(settings *conf.Settings) {
		quick(settings)
		settings.Timeouts.LeaseMS = 500
	}
	for i := range plan.Engines {
		plan.Engines[i].ChangeTime, plan.Engines[i].LoadLag = 50*time.Millisecond, 50*time.Millisecond
	}
}

func TestNewVersionReachesAllEnginesWithoutACut(t *testing.T) {
	running := start(t, shortLeases)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan answer)
	go stream(ctx, running, results)
	_, err := running.Publish(ctx, note.Note{ParentNumber: 1, Models: note.Change[note.Model]{Set: []note.Model{{Name: "layout", Version: "v2"}}}})
	if err != nil {
		t.Fatal(err)
	}
	limit := time.After(testTimeout)
	for !allServe(running, "v2") {
		select {
		case got := <-results:
			if got.status != 200 || !got.done {
				t.Fatalf("an answer was cut: %+v", got)
			}
		case <-limit:
			t.Fatal("the version did not reach all engines")
		}
	}
	for id, fake := range running.Engines {
		for _, order := range fake.Orders() {
			if order.Kind == engine.OrderLoadModel && order.Version != "v2" {
				t.Errorf("engine %s got %+v", id, order)
			}
		}
	}
}

// stream asks one question after another until ctx ends.
func stream(ctx context.Context, running *lab.Lab, results chan<- answer) {
	for ctx.Err() == nil {
		got := ask(ctx, running, 0, "press", chatBody("is it cold?", 10, true))
		select {
		case results <- got:
		case <-ctx.Done():
		}
	}
}

func allServe(running *lab.Lab, version string) bool {
	for _, fake := range running.Engines {
		if !fake.Serves("layout", version) {
			return false
		}
	}
	return true
}

func TestWithdrawnTargetIsDrainedStoppedAndEnded(t *testing.T) {
	running, ctx := start(t, shortLeases), context.Background()
	_, err := running.Publish(ctx, note.Note{ParentNumber: 1, Targets: note.Change[note.Target]{Withdraw: []string{"layout-3"}}})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the platform's order", func() bool { return len(running.Platform.Orders()) == 1 })
	var kinds []engine.OrderKind
	for _, order := range running.Engines["layout-3"].Orders() {
		kinds = append(kinds, order.Kind)
	}
	if len(kinds) != 2 || kinds[0] != engine.OrderDrain || kinds[1] != engine.OrderStop {
		t.Errorf("the engine got %v", kinds)
	}
	if got := running.Platform.Orders()[0]; len(got.StopIDs) != 1 || got.StopIDs[0] != "layout-3" {
		t.Errorf("the platform got %+v", got)
	}
}

func TestOrdersGoOnAfterTheHolderIsKilled(t *testing.T) {
	running, ctx := start(t, shortLeases), context.Background()
	_, err := running.Publish(ctx, note.Note{ParentNumber: 1, Models: note.Change[note.Model]{Set: []note.Model{{Name: "layout", Version: "v2"}}}})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first order", func() bool {
		for _, fake := range running.Engines {
			if len(fake.Orders()) > 0 {
				return true
			}
		}
		return false
	})
	running.Kill(1)
	running.Kill(2)
	eventually(t, "the version at all engines", func() bool { return allServe(running, "v2") })
}

func TestUsageIsReportedExactly(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		shortLeases(plan)
		adjust := plan.Adjust
		plan.Adjust = func(settings *conf.Settings) {
			adjust(settings)
			settings.Usage.WindowMS, settings.Usage.GraceMS, settings.Usage.CopyMS = 1000, 200, 500
		}
	})
	ctx := context.Background()
	const requests, tokens = 9, 7
	for i := range requests {
		if got := ask(ctx, running, i%len(running.Entries), "council", chatBody("caption", tokens, i%2 == 0)); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	running.Kill(0)
	eventually(t, "all usage in reports", func() bool { return reported(t, running, "council").Requests >= requests })
	got := reported(t, running, "council")
	if got.Requests != requests || got.GeneratedTokens != requests*tokens {
		t.Fatalf("got %+v", got)
	}
}

// reported adds up what all reports say of a team.
func reported(t *testing.T, running *lab.Lab, team string) usage.Line {
	t.Helper()
	var sum usage.Line
	for _, body := range running.Platform.Reports() {
		var content usage.ReportBody
		if err := json.Unmarshal(body, &content); err != nil {
			t.Fatal(err)
		}
		lines := content.Lines
		for _, correction := range content.Corrections {
			lines = append(lines, correction.Line)
		}
		for _, line := range lines {
			if line.Team == team {
				sum.Requests += line.Requests
				sum.GeneratedTokens += line.GeneratedTokens
			}
		}
	}
	return sum
}
