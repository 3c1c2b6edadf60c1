package once_test

import (
	"context"
	"flag"
	"net/http"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers rapid.seed

	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var orderCall = once.Call{Team: "press", IdempotencyKey: "k1", Method: "POST", Path: "/orders", Body: []byte("a")}

func mustBegin(t *testing.T, deduplicator *once.Deduplicator, call once.Call) *once.Ticket {
	t.Helper()
	ticket, outcome, err := deduplicator.Begin(context.Background(), call)
	if err != nil || outcome != nil {
		t.Fatalf("Begin() = outcome %v, error %v, want a ticket", outcome, err)
	}
	return ticket
}

// flushQueue writes the queued outcomes and releases to the store.
func flushQueue(t *testing.T, deduplicator *once.Deduplicator) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := <-deduplicator.Start(ctx); err != nil {
		t.Fatal(err)
	}
}

// A repeat on another instance gets the stored status, body and permitted headers
// within the documented number of store operations. The same key with another
// body is refused.
func TestRepeatReturnsStoredOutcome(t *testing.T) {
	store := memory.New()
	a := once.New(store.Client("a"))
	b := once.New(store.Client("b"))
	ticket := mustBegin(t, a, orderCall)
	if got := store.Counts(); got != (memory.Counts{Writes: 1}) {
		t.Fatalf("a claim cost %+v, want 1 write", got)
	}
	if err := ticket.MarkSent(); err != nil {
		t.Fatal(err)
	}
	ticket.Finish(once.Outcome{
		Status: 201, Body: []byte("done"),
		Header: http.Header{"Content-Type": {"text/plain"}, "Set-Cookie": {"secret"}},
	})
	flushQueue(t, a)
	if got := store.Counts(); got != (memory.Counts{Reads: 1, Writes: 2}) {
		t.Fatalf("a first call cost %+v, want 1 read and 2 writes", got)
	}
	_, outcome, err := b.Begin(context.Background(), orderCall)
	if err != nil || outcome.Status != 201 || string(outcome.Body) != "done" {
		t.Fatalf("Begin() = %+v, %v, want the stored outcome with status 201 and body %q", outcome, err, "done")
	}
	if outcome.Header.Get("Content-Type") != "text/plain" || outcome.Header.Get("Set-Cookie") != "" {
		t.Fatalf("outcome.Header = %v, want Content-Type text/plain and no Set-Cookie", outcome.Header)
	}
	if got := store.Counts(); got != (memory.Counts{Reads: 2, Writes: 3}) {
		t.Fatalf("a first call and a repeat cost %+v, want 2 reads and 3 writes", got)
	}
	other := orderCall
	other.Body = []byte("b")
	if _, _, err := b.Begin(context.Background(), other); !code.Is(err, code.IdempotencyMismatch) {
		t.Fatalf("Begin() with another body: error %v, want code.IdempotencyMismatch", err)
	}
}
