package lab_test

import (
	"context"
	"testing"

	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/lab"
)

func TestPromptAndAnswerRunAtTwoEngines(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].Role = note.RoleDecode
		}
		plan.Engines[0].Role = note.RolePrefill
	})
	for _, stream := range []bool{true, false} {
		body := chatBody("a split request", 9, stream)
		got := ask(context.Background(), running, 0, "press", body)
		if got.status != 200 || (stream && got.text != wantText(t, body)) {
			t.Fatalf("got %+v", got)
		}
	}
	if runs := running.Engines["layout-1"].Runs(); runs != 0 {
		t.Errorf("the prefill engine ran %d answers", runs)
	}
}

func TestSplitRequestSurvivesTheDecodeEngine(t *testing.T) {
	running := start(t, func(plan *lab.Plan) {
		for i := range plan.Engines {
			plan.Engines[i].Role, plan.Engines[i].DecodeTPS = note.RoleDecode, 200
		}
		plan.Engines[0].Role = note.RolePrefill
	})
	body := chatBody("a split stream that has to move", 100, true)
	ended := make(chan answer, 1)
	go func() { ended <- ask(context.Background(), running, 0, "press", body) }()
	eventually(t, "the start of the answer", func() bool { return decoding(running) != "" })
	running.Engines[decoding(running)].Crash()
	if got := <-ended; !got.done || got.text != wantText(t, body) {
		t.Fatalf("got %+v", got)
	}
}

// decoding returns an engine that runs an answer, but not the prefill engine.
func decoding(running *lab.Lab) string {
	for id, fake := range running.Engines {
		if id != "layout-1" && fake.Running() > 0 {
			return id
		}
	}
	return ""
}
