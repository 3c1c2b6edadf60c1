package memory_test

import (
	"context"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

func TestCommitIsAllOrNothing(t *testing.T) {
	ctx, client := context.Background(), memory.New().Client("a")
	if err := client.Commit(ctx, table.Write{Key: "a", Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	err := client.Commit(ctx,
		table.Write{Key: "b", Value: []byte("2")},
		table.Write{Key: "a", Version: 99, Value: []byte("2")})
	if !code.Is(err, code.RowConflict) {
		t.Fatalf("got %v", err)
	}
	if _, err := client.Get(ctx, "b"); !code.Is(err, code.RowMissing) {
		t.Fatalf("half of a transaction was applied: %v", err)
	}
}

func TestLostAnswerTakesEffect(t *testing.T) {
	ctx, store := context.Background(), memory.New()
	store.SetFault(func(call memory.Call) memory.Fault {
		return memory.Fault{LoseAnswer: call.Method == "commit", Down: call.Client == "cut"}
	})
	err := store.Client("a").Commit(ctx, table.Write{Key: "a", Value: []byte("1")})
	if !code.Is(err, code.WriteUnknown) {
		t.Fatalf("got %v", err)
	}
	if row, err := store.Client("a").Get(ctx, "a"); err != nil || string(row.Value) != "1" {
		t.Fatalf("got %v, %v", row, err)
	}
	if _, err := store.Client("cut").Get(ctx, "a"); !code.Is(err, code.StoreDown) {
		t.Fatalf("got %v", err)
	}
}
