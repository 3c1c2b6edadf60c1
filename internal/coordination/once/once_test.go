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

var order = once.Call{Team: "press", IdempotencyKey: "k1", Method: "POST", Path: "/orders", Body: []byte("a")}

func begin(t *testing.T, guard *once.Guard, call once.Call) *once.Ticket {
	t.Helper()
	ticket, outcome, err := guard.Begin(context.Background(), call)
	if err != nil || outcome != nil {
		t.Fatalf("got outcome %v, error %v", outcome, err)
	}
	return ticket
}

func flush(t *testing.T, guard *once.Guard) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := <-guard.Start(ctx); err != nil {
		t.Fatal(err)
	}
}

func TestRepeatGetsStoredOutcome(t *testing.T) {
	store := memory.New()
	a := once.New(store.Client("a"))
	b := once.New(store.Client("b"))
	ticket := begin(t, a, order)
	if got := store.Counts(); got != (memory.Counts{Writes: 1}) {
		t.Fatalf("a claim cost %+v", got)
	}
	if err := ticket.Sent(); err != nil {
		t.Fatal(err)
	}
	ticket.Finish(once.Outcome{
		Status: 201, Body: []byte("done"),
		Header: http.Header{"Content-Type": {"text/plain"}, "Set-Cookie": {"secret"}},
	})
	flush(t, a)
	if got := store.Counts(); got != (memory.Counts{Reads: 1, Writes: 2}) {
		t.Fatalf("a first call cost %+v", got)
	}
	_, outcome, err := b.Begin(context.Background(), order)
	if err != nil || outcome.Status != 201 || string(outcome.Body) != "done" {
		t.Fatalf("got %+v, %v", outcome, err)
	}
	if outcome.Header.Get("Content-Type") != "text/plain" || outcome.Header.Get("Set-Cookie") != "" {
		t.Fatalf("got headers %v", outcome.Header)
	}
	if got := store.Counts(); got != (memory.Counts{Reads: 2, Writes: 3}) {
		t.Fatalf("a first call and a repeat cost %+v", got)
	}
	other := order
	other.Body = []byte("b")
	if _, _, err := b.Begin(context.Background(), other); !code.Is(err, code.IdempotencyMismatch) {
		t.Fatalf("got %v", err)
	}
}
