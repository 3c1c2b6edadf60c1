package memory_test

import (
	"context"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

func TestCommitIsAtomic(t *testing.T) {
	ctx, client := context.Background(), memory.New().Client("a")
	if err := client.Commit(ctx, table.Write{Key: "a", Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	err := client.Commit(ctx,
		table.Write{Key: "b", Value: []byte("2")},
		table.Write{Key: "a", ExpectedVersion: 99, Value: []byte("2")})
	if !code.Is(err, code.RowConflict) {
		t.Fatalf("Commit with a stale version = %v, want code %v", err, code.RowConflict)
	}
	if _, err := client.Get(ctx, "b"); !code.Is(err, code.RowMissing) {
		t.Fatalf("Get(b) after a refused commit = %v, want code %v", err, code.RowMissing)
	}
}

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	ctx, store := context.Background(), memory.New()
	store.SetFault(func(call memory.Call) memory.Fault {
		return memory.Fault{LoseResponse: call.Method == "commit", Unavailable: call.Client == "unreachable"}
	})
	err := store.Client("a").Commit(ctx, table.Write{Key: "a", Value: []byte("1")})
	if !code.Is(err, code.WriteUnknown) {
		t.Fatalf("Commit with a lost response = %v, want code %v", err, code.WriteUnknown)
	}
	if row, err := store.Client("a").Get(ctx, "a"); err != nil || string(row.Value) != "1" {
		t.Fatalf("Get(a) = %v, %v, want value 1", row, err)
	}
	if _, err := store.Client("unreachable").Get(ctx, "a"); !code.Is(err, code.StoreDown) {
		t.Fatalf("Get from an unreachable client = %v, want code %v", err, code.StoreDown)
	}
}
