package lab_test

import (
	"context"
	"testing"

	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/lab"
)

func TestPrefillAndDecodeRunAtSeparateEngines(t *testing.T) {
	system := startSystem(t, func(config *lab.Config) {
		for i := range config.Engines {
			config.Engines[i].Role = note.RoleDecode
		}
		config.Engines[0].Role = note.RolePrefill
	})
	for _, stream := range []bool{true, false} {
		body := chatBody("a split request", 9, stream)
		got := sendChat(context.Background(), system, 0, "press", body)
		if got.status != 200 || (stream && got.text != expectedText(t, body)) {
			t.Fatalf("stream=%v: sendChat() = %+v, want status 200 and the text %q", stream, got, expectedText(t, body))
		}
	}
	if runs := system.Engines["layout-1"].CompletedRuns(); runs != 0 {
		t.Errorf("completed runs at the prefill engine = %d, want 0", runs)
	}
}

func TestDisaggregatedStreamResumesAfterDecodeEngineCrash(t *testing.T) {
	system := startSystem(t, func(config *lab.Config) {
		for i := range config.Engines {
			config.Engines[i].Role, config.Engines[i].DecodeTPS = note.RoleDecode, 200
		}
		config.Engines[0].Role = note.RolePrefill
	})
	body := chatBody("a split stream that has to move", 100, true)
	ended := make(chan response, 1)
	go func() { ended <- sendChat(context.Background(), system, 0, "press", body) }()
	waitFor(t, "the start of decoding", func() bool { return decodingEngine(system) != "" })
	system.Engines[decodingEngine(system)].Crash()
	if got := <-ended; !got.complete || got.text != expectedText(t, body) {
		t.Fatalf("sendChat() = %+v, want a complete stream with the text %q", got, expectedText(t, body))
	}
}

// decodingEngine returns the ID of an engine, other than the prefill engine, that
// runs a request, or an empty string.
func decodingEngine(system *lab.System) string {
	for id, engine := range system.Engines {
		if id != "layout-1" && engine.RunningRequests() > 0 {
			return id
		}
	}
	return ""
}
