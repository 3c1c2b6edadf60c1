package proxy_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/proxy"
)

// withOneRetry returns an option with which one request may be sent a second time.
func withOneRetry() proxy.Option {
	return proxy.WithBounds(site.Bounds{RetryWindow: 10 * time.Second, ExtraRetries: 8, MaxRetryAfter: 10 * time.Second})
}

// prefillSlowly responds as an engine that is silent before it has prefilled the
// prompt.
func prefillSlowly(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		time.Sleep(targetSilence)
	}
	respondPrefilled(w, r)
}

// Guards against refusing a request whose prompt is still being prefilled because
// the engine that was asked in place of the silent one refuses, and the retry budget
// allows no third.
func TestSlowPrefillGoesOnIfOtherEngineRefuses(t *testing.T) {
	harness := newHarness(t, withOneRetry())
	var calls atomic.Int64
	prefill := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && calls.Add(1) > 1 {
			respondNotRun(w, r)
			return
		}
		prefillSlowly(w, r)
	}
	harness.startTarget("p1", "llm", site.Prefill, prefill)
	harness.startTarget("p2", "llm", site.Prefill, prefill)
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 4) })
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/ask/x")))
}

// Guards against giving up a prompt that is being prefilled when no other engine can
// prefill it: the decode engine would have to.
func TestSlowPrefillGoesOnIfThereIsNoOtherEngine(t *testing.T) {
	harness := newHarness(t)
	harness.startTarget("p1", "llm", site.Prefill, prefillSlowly)
	var source string
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
		source = r.Header.Get("Kv-Source")
		sendEvents(w, r, 4)
	})
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/ask/x")))
	if want := harness.targets[0].Address + "/h1"; source != want {
		t.Errorf("Kv-Source = %q, want %q", source, want)
	}
}

// Guards against asking the retry budget, and spending retries, for a slow prefill
// that has ended.
func TestRetryBudgetIsNotAskedAfterPrefill(t *testing.T) {
	var questions atomic.Int64
	harness := newHarness(t, withoutRetryBudget(), proxy.WithInstanceCount(func() int {
		questions.Add(1)
		return 1
	}))
	harness.startTarget("p1", "llm", site.Prefill, prefillSlowly)
	harness.startTarget("p2", "llm", site.Prefill, prefillSlowly)
	harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 4) })
	harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/ask/x")))
	during := questions.Load()
	if during == 0 {
		t.Error("questions for a retry during the slow prefill = 0, want some")
	}
	time.Sleep(targetSilence)
	if after := questions.Load() - during; after != 0 {
		t.Errorf("questions for a retry after the prefill = %d, want 0", after)
	}
}

// Guards against prompts that decode engines have to prefill, which delays their
// streams, because some prefill engines do not take connections while others do.
func TestPromptIsPrefilledWhileSomeEnginesAreUnreachable(t *testing.T) {
	for i := range 20 {
		harness := newHarness(t)
		for j := range 3 {
			harness.startTarget(fmt.Sprintf("p%d-%d", i, j), "llm", site.Prefill, respondPrefilled).Close()
		}
		harness.startTarget(fmt.Sprintf("a%d", i), "llm", site.Prefill, respondPrefilled)
		var source string
		harness.startTarget("d1", "llm", site.Decode, func(w http.ResponseWriter, r *http.Request) {
			source = r.Header.Get("Kv-Source")
			sendEvents(w, r, 4)
		})
		harness.wantFourEvents(harness.do(harness.newRequest(http.MethodPost, "/ask/x")))
		if source == "" {
			t.Errorf("Kv-Source is empty, want the prompt prefilled by an engine for it\nlog: %s", harness.log)
		}
	}
}
