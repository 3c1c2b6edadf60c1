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

// useShortLeases shortens the lease and the delays of the engines' control
// interface, so that orders are issued and executed quickly.
func useShortLeases(config *lab.Config) {
	config.AdjustSettings = func(settings *conf.Settings) {
		useTestSettings(settings)
		settings.Timeouts.LeaseMS = 500
	}
	for i := range config.Engines {
		config.Engines[i].OrderDuration, config.Engines[i].LoadReportAge = 50*time.Millisecond, 50*time.Millisecond
	}
}

func TestRollsOutModelVersionWithoutAbortingStreams(t *testing.T) {
	system := startSystem(t, useShortLeases)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan response)
	go sendChatsUntilDone(ctx, system, results)
	_, err := system.PublishNote(ctx, note.Note{ParentNumber: 1, Models: note.Change[note.Model]{Set: []note.Model{{Name: "layout", Version: "v2"}}}})
	if err != nil {
		t.Fatal(err)
	}
	timeout := time.After(testTimeout)
	for !allEnginesServe(system, "v2") {
		select {
		case got := <-results:
			if got.status != 200 || !got.complete {
				t.Fatalf("sendChat() = %+v, want status 200 and a complete stream", got)
			}
		case <-timeout:
			t.Fatal("timed out waiting for version v2 at all engines")
		}
	}
	for id, fake := range system.Engines {
		for _, order := range fake.AcceptedOrders() {
			if order.Kind == engine.OrderLoadModel && order.Version != "v2" {
				t.Errorf("engine %s accepted %+v, want only version v2", id, order)
			}
		}
	}
}

// sendChatsUntilDone sends one streamed request after another until ctx ends.
func sendChatsUntilDone(ctx context.Context, system *lab.System, results chan<- response) {
	for ctx.Err() == nil {
		got := sendChat(ctx, system, 0, "press", chatBody("is it cold?", 10, true))
		select {
		case results <- got:
		case <-ctx.Done():
		}
	}
}

func allEnginesServe(system *lab.System, version string) bool {
	for _, fake := range system.Engines {
		if !fake.Serves("layout", version) {
			return false
		}
	}
	return true
}

func TestWithdrawnTargetIsDrainedThenStopped(t *testing.T) {
	system, ctx := startSystem(t, useShortLeases), context.Background()
	_, err := system.PublishNote(ctx, note.Note{ParentNumber: 1, Targets: note.Change[note.Target]{Withdraw: []string{"layout-3"}}})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the order to the platform", func() bool { return len(system.Platform.TargetOrders()) == 1 })
	var kinds []engine.OrderKind
	for _, order := range system.Engines["layout-3"].AcceptedOrders() {
		kinds = append(kinds, order.Kind)
	}
	if len(kinds) != 2 || kinds[0] != engine.OrderDrain || kinds[1] != engine.OrderStop {
		t.Errorf("orders to the engine = %v, want drain, then stop", kinds)
	}
	if got := system.Platform.TargetOrders()[0]; len(got.StopIDs) != 1 || got.StopIDs[0] != "layout-3" {
		t.Errorf("order to the platform = %+v, want a stop of layout-3", got)
	}
}

func TestOrdersContinueAfterLeaseHolderIsKilled(t *testing.T) {
	system, ctx := startSystem(t, useShortLeases), context.Background()
	_, err := system.PublishNote(ctx, note.Note{ParentNumber: 1, Models: note.Change[note.Model]{Set: []note.Model{{Name: "layout", Version: "v2"}}}})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the first order", func() bool {
		for _, fake := range system.Engines {
			if len(fake.AcceptedOrders()) > 0 {
				return true
			}
		}
		return false
	})
	system.KillEntry(1)
	system.KillEntry(2)
	waitFor(t, "the version at all engines", func() bool { return allEnginesServe(system, "v2") })
}

func TestReportsUsageExactlyOnce(t *testing.T) {
	system := startSystem(t, func(config *lab.Config) {
		useShortLeases(config)
		adjustSettings := config.AdjustSettings
		config.AdjustSettings = func(settings *conf.Settings) {
			adjustSettings(settings)
			settings.Usage.WindowMS, settings.Usage.GraceMS, settings.Usage.CopyMS = 1000, 200, 500
		}
	})
	ctx := context.Background()
	const requests, tokens = 9, 7
	for i := range requests {
		if got := sendChat(ctx, system, i%len(system.Entries), "council", chatBody("caption", tokens, i%2 == 0)); got.status != 200 {
			t.Fatalf("sendChat() = %+v, want status 200", got)
		}
	}
	system.KillEntry(0)
	waitFor(t, "all usage in reports", func() bool { return reportedUsage(t, system, "council").Requests >= requests })
	got := reportedUsage(t, system, "council")
	if got.Requests != requests || got.GeneratedTokens != requests*tokens {
		t.Fatalf("reportedUsage() = %+v, want %d requests and %d generated tokens", got, requests, requests*tokens)
	}
}

// reportedUsage returns the sum of a team's usage over all reports, corrections
// included.
func reportedUsage(t *testing.T, system *lab.System, team string) usage.Line {
	t.Helper()
	var sum usage.Line
	for _, body := range system.Platform.UsageReports() {
		var reportBody usage.ReportBody
		if err := json.Unmarshal(body, &reportBody); err != nil {
			t.Fatal(err)
		}
		lines := reportBody.Lines
		for _, correction := range reportBody.Corrections {
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
