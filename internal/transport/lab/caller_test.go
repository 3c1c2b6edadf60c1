package lab_test

import (
	"context"
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/fakes"
	"mangopier.example/mangopier/internal/transport/lab"
)

func TestAnswersAreWhole(t *testing.T) {
	running, ctx := start(t, nil), context.Background()
	for entry := range running.Entries {
		body := chatBody("flow this page", 12, true)
		got := ask(ctx, running, entry, "press", body)
		if !got.done || got.text != wantText(t, body) {
			t.Errorf("entry %d: got %+v", entry, got)
		}
		got = ask(ctx, running, entry, "press", chatBody("flow this page", 12, false))
		if got.status != 200 || !strings.Contains(got.body, wantText(t, body)) {
			t.Errorf("entry %d: got %+v", entry, got)
		}
	}
}

func TestRefusalsHaveCodes(t *testing.T) {
	running, ctx := start(t, nil), context.Background()
	good := chatBody("x", 1, false)
	cases := []struct {
		name, path, team, body string
		header                 []string
		want                   code.Code
	}{
		{"no key", "/v1/chat/completions", "", good, nil, code.KeyMissing},
		{"wrong key", "/v1/chat/completions", "", good, []string{"Authorization", "Bearer no"}, code.KeyUnknown},
		{"unknown model", "/v1/chat/completions", "press", strings.Replace(good, "layout", "other", 1), nil, code.ModelUnknown},
		{"malformed", "/v1/chat/completions", "press", "{", nil, code.MalformedRequest},
		{"oversized", "/v1/chat/completions", "press", strings.Repeat("x", 5<<20), nil, code.BodyTooLarge},
		{"unknown path", "/nowhere", "press", "", nil, code.PathUnknown},
		{"path out of its route", "/conditions/../print-orders", "press", "", nil, code.MalformedRequest},
		{"deadline", "/v1/chat/completions", "press", good, []string{"X-Deadline-Ms", "soon"}, code.DeadlineInvalid},
		{"key in body", "/print-orders", "press", "key " + running.Keys["press"], nil, code.MalformedRequest},
		{"keyed route without key", "/print-orders", "", "x", nil, code.KeyMissing},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := post(ctx, running, 0, test.path, test.team, test.body, test.header...)
			if got.code != int(test.want) || got.run != "not-run" {
				t.Fatalf("got %+v", got)
			}
		})
	}
	if runs := running.Services["order-desk-1"].Runs(); len(runs) != 0 {
		t.Fatalf("refused calls were run: %+v", runs)
	}
}

func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	running, ctx := start(t, nil), context.Background()
	digest := note.KeyDigest(running.Keys["guides"])
	_, err := running.Publish(ctx, note.Note{ParentNumber: 1, Keys: note.Change[note.Key]{Withdraw: []string{digest}}})
	if err != nil {
		t.Fatal(err)
	}
	for entry := range running.Entries {
		eventually(t, "refusal of the withdrawn key", func() bool {
			return ask(ctx, running, entry, "guides", chatBody("x", 1, false)).code == int(code.KeyWithdrawn)
		})
		if got := ask(ctx, running, entry, "press", chatBody("x", 1, false)); got.status != 200 {
			t.Errorf("another team's key stopped working: %+v", got)
		}
	}
}

func TestTargetsNeverSeeKeys(t *testing.T) {
	running, ctx := start(t, nil), context.Background()
	got := post(ctx, running, 1, "/print-orders", "press", "order", "Idempotency-Key", "k1", "X-Api-Key", running.Keys["press"])
	if got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	runs := running.Services["order-desk-1"].Runs()
	if len(runs) != 1 || runs[0].Keyed || runs[0].Team != "press" {
		t.Fatalf("got %+v", runs)
	}
}

func TestCallerThatLeavesFreesTheEngine(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].DecodeTPS = 20
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan answer, 1)
	go func() { ended <- ask(ctx, running, 0, "press", chatBody("a long one", 500, true)) }()
	eventually(t, "the start of the answer", func() bool { return runningAnswers(running) == 1 })
	cancel()
	<-ended
	eventually(t, "the end at the engine", func() bool { return runningAnswers(running) == 0 })
}

func runningAnswers(running *lab.Lab) int {
	count := 0
	for _, engine := range running.Engines {
		count += engine.Running()
	}
	return count
}

func TestStopCutsNoStream(t *testing.T) {
	const streams = 200
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].Slots, plan.Engines[i].DecodeTPS = streams, 500
		}
	})
	ctx := context.Background()
	body := chatBody("a stream", 40, true)
	want := wantText(t, body)
	results := make(chan answer, streams)
	for range streams {
		go func() { results <- ask(ctx, running, 0, "press", body) }()
	}
	eventually(t, "all streams", func() bool { return running.Entries[0].ActiveRequests() == streams })
	if cut := running.Entries[0].Stop(ctx); cut != 0 {
		t.Errorf("%d requests cut", cut)
	}
	for range streams {
		got := <-results
		refused := got.code == int(code.ShuttingDown) && got.run == "not-run"
		if !refused && (!got.done || got.text != want) {
			t.Fatalf("a stream was cut: %+v", got)
		}
	}
}

// The demo was stopped by killing its instances, which cut all streams.
func TestShutdownOfAllCutsNoStream(t *testing.T) {
	running := start(t, nil)
	results := make(chan answer)
	const streams = 10
	for range streams {
		go func() {
			results <- ask(context.Background(), running, 0, "press", chatBody("is it cold?", 200, true))
		}()
	}
	eventually(t, "all streams", func() bool { return running.Entries[0].ActiveRequests() == streams })
	cut := make(chan int64)
	go func() { cut <- running.Shutdown(context.Background()) }()
	for range streams {
		if got := <-results; got.status != 200 || !got.done {
			t.Errorf("a stream was cut: %+v", got)
		}
	}
	if count := <-cut; count != 0 {
		t.Errorf("%d requests were cut", count)
	}
}

func TestStreamGoesOnAfterEngineCrash(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].DecodeTPS = 200
		}
	})
	body := chatBody("a stream that has to move", 100, true)
	ended := make(chan answer, 1)
	go func() { ended <- ask(context.Background(), running, 0, "press", body) }()
	eventually(t, "the start of the answer", func() bool { return runningAnswers(running) == 1 })
	for _, engine := range running.Engines {
		if engine.Running() == 1 {
			engine.Crash()
		}
	}
	if got := <-ended; !got.done || got.text != wantText(t, body) {
		t.Fatalf("got %+v", got)
	}
}

func TestStreamGoesOnAfterSilence(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].DecodeTPS = 200
		}
		plan.Adjust = func(settings *conf.Settings) {
			quick(settings)
			settings.Timeouts.SilenceMS = 1000
		}
	})
	body := chatBody("a stream that falls silent", 100, true)
	ended := make(chan answer, 1)
	go func() { ended <- ask(context.Background(), running, 0, "press", body) }()
	eventually(t, "the start of the answer", func() bool { return runningAnswers(running) == 1 })
	for _, engine := range running.Engines {
		if engine.Running() == 1 {
			engine.SetSilent(true)
		}
	}
	if got := <-ended; !got.done || got.text != wantText(t, body) {
		t.Fatalf("got %+v", got)
	}
}

func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	running, ctx := start(t, nil), context.Background()
	body := chatBody(fakes.CrashMark, 5, true)
	for range 6 {
		got := ask(ctx, running, 0, "council", body)
		if got.status == 200 {
			t.Fatalf("got %+v", got)
		}
	}
	crashes := int64(0)
	for _, engine := range running.Engines {
		crashes += engine.Crashes()
	}
	if crashes > 2 {
		t.Errorf("the request crashed %d engines", crashes)
	}
	if got := ask(ctx, running, 0, "council", body); got.code != int(code.RequestQuarantined) {
		t.Errorf("got %+v", got)
	}
	eventually(t, "quarantine at another instance", func() bool {
		return ask(ctx, running, 1, "council", body).code == int(code.RequestQuarantined)
	})
}

func TestNeighborsOfACrashingRequestAreServed(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].DecodeTPS = 200
		}
	})
	ctx := context.Background()
	const neighbors = 12
	results := make(chan answer, neighbors)
	for i := range neighbors {
		body := chatBody(strings.Repeat("page ", i+1), 60, true)
		want := wantText(t, body)
		go func() {
			got := ask(ctx, running, 0, "press", body)
			if got.done && got.text != want {
				got.failure = "another text"
			}
			results <- got
		}()
	}
	eventually(t, "the neighbors", func() bool { return runningAnswers(running) == neighbors })
	ask(ctx, running, 0, "council", chatBody(fakes.CrashMark, 5, true))
	for range neighbors {
		if got := <-results; !got.done || got.failure != "" {
			t.Errorf("a neighbor was not served: %+v", got)
		}
	}
}

func TestRefusalAfterARunIsNotCalledNotRun(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].DecodeTPS = 20
		}
	})
	ended := make(chan answer, 1)
	go func() {
		ended <- ask(context.Background(), running, 0, "press", chatBody("runs and is lost", 100, false))
	}()
	eventually(t, "the run", func() bool { return runningAnswers(running) == 1 })
	for _, engine := range running.Engines {
		engine.SetDown(true)
	}
	if got := <-ended; got.status == 200 || got.run == "not-run" {
		t.Fatalf("got %+v", got)
	}
}
