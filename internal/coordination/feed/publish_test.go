package feed_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/memory"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "15")
	m.Run()
}

func testNote(after uint64, comment string) *note.Note {
	return &note.Note{ParentNumber: after, Comment: comment}
}

// TestPublishUnderStoreFaults injects each fault into one call to the store, or
// into all from that one on, and then publishes the same note again.
func TestPublishUnderStoreFaults(t *testing.T) {
	down, lost := memory.Fault{Unavailable: true}, memory.Fault{LoseResponse: true}
	faults := map[string][2]memory.Fault{
		"down": {down, down}, "slow": {{Delay: 10 * time.Second}, {Delay: 10 * time.Second}},
		"response lost": {lost, lost}, "response lost, then down": {lost, down},
	}
	for name, fault := range faults {
		for step := range 6 {
			for _, repeated := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, step %d, repeated %v", name, step, repeated), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkPublishUnderFault(t, fault[0], fault[1], step, repeated) })
				})
			}
		}
	}
}

func checkPublishUnderFault(t *testing.T, fault, later memory.Fault, step int, repeated bool) {
	ctx, store := t.Context(), memory.New()
	client := store.Client("operator")
	if _, err := feed.Publish(ctx, client, testNote(0, "first")); err != nil {
		t.Fatal(err)
	}
	calls := 0
	store.SetFault(func(memory.Call) memory.Fault {
		calls++
		switch {
		case calls == step+1:
			return fault
		case repeated && calls > step:
			return later
		}
		return memory.Fault{}
	})
	limitedCtx, cancel := context.WithTimeout(ctx, 8*time.Second)
	number, err := feed.Publish(limitedCtx, client, testNote(1, "second"))
	cancel()
	store.SetFault(nil)
	head := headRow(t, store)
	switch {
	case err == nil && (number != 2 || head.Number != 2):
		t.Fatalf("Publish() = %d with head %d, want 2 and 2", number, head.Number)
	case code.Is(err, code.StoreDown) && head.Number != 1:
		t.Fatalf("Publish() = %v, want another code, since the head is %d", err, head.Number)
	case err != nil && !code.Is(err, code.StoreDown) && !code.Is(err, code.WriteUnknown):
		t.Fatalf("Publish() = %v, want code %v or %v", err, code.StoreDown, code.WriteUnknown)
	case !repeated && fault.Delay == 0 && err != nil:
		t.Fatalf("Publish() with one failed call = %v, want nil", err)
	}
	for range 2 {
		if number, err := feed.Publish(ctx, client, testNote(1, "second")); err != nil || number != 2 {
			t.Fatalf("Publish() of the same note = %d, %v, want 2 and nil", number, err)
		}
	}
	if _, err := feed.Publish(ctx, client, testNote(1, "other")); !code.Is(err, code.NoteConflict) {
		t.Fatalf("Publish() of another note with the number = %v, want code %v", err, code.NoteConflict)
	}
	checkLog(t, store, 2)
}

// TestConcurrentPublishersAgree lets operators publish concurrently under store
// faults. Each success must have a log row with its note, each number must be
// assigned once, and each row must follow the one before.
func TestConcurrentPublishersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		publishers := rapid.IntRange(2, 5).Draw(rt, "publishers")
		rounds := rapid.IntRange(1, 4).Draw(rt, "rounds")
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) { publishConcurrently(t, publishers, rounds, faults) })
	})
}

func publishConcurrently(t *testing.T, publishers, rounds int, faults []int) {
	store, mu, calls := memory.New(), sync.Mutex{}, 0
	store.SetFault(func(memory.Call) memory.Fault {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls > len(faults) {
			return memory.Fault{}
		}
		kind := faults[calls-1]
		return memory.Fault{Unavailable: kind == 1, LoseResponse: kind == 2 || kind == 3, Delay: time.Duration(kind) * time.Millisecond}
	})
	winners := map[uint64]string{}
	var group sync.WaitGroup
	for publisher := range publishers {
		group.Go(func() {
			after := uint64(0)
			for after < uint64(rounds) {
				comment := fmt.Sprintf("publisher %d", publisher)
				number, err := feed.Publish(t.Context(), store.Client(comment), testNote(after, comment))
				mu.Lock()
				switch {
				case err == nil && (number != after+1 || winners[number] != ""):
					t.Errorf("Publish() by %s after %d = %d, which %q has; want an unused %d", comment, after, number, winners[number], after+1)
				case err == nil:
					winners[number] = comment
				}
				mu.Unlock()
				if err == nil || code.Is(err, code.NoteConflict) {
					after++
				}
			}
		})
	}
	group.Wait()
	store.SetFault(nil)
	for number, head := range checkLog(t, store, rounds) {
		data, err := testNote(uint64(number), winners[uint64(number)+1]).Encode()
		if err != nil || note.ContentHash(data) != head.NoteHash {
			t.Errorf("log row %d has note %s, want the note of %q", number+1, head.NoteHash, winners[uint64(number)+1])
		}
	}
}

func headRow(t *testing.T, store *memory.Store) feed.Head {
	t.Helper()
	row, err := store.Client("test").Get(t.Context(), feed.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	head, err := feed.DecodeHead(row.Value)
	if err != nil {
		t.Fatal(err)
	}
	return head
}

// checkLog checks that the log holds count notes, each after the one before, and
// returns their heads.
func checkLog(t *testing.T, store *memory.Store, count int) []feed.Head {
	t.Helper()
	rows, err := store.Client("test").List(t.Context(), "note/log/", "", 100)
	if err != nil || len(rows) != count {
		t.Fatalf("log has %d rows, want %d: %v", len(rows), count, err)
	}
	var heads []feed.Head
	parent := ""
	for i, row := range rows {
		head, err := feed.DecodeHead(row.Value)
		if err != nil || row.Key != feed.LogKey(uint64(i+1)) || head.Number != uint64(i+1) || head.ParentHash != parent {
			t.Fatalf("row %s has head %+v, %v, want number %d after parent %q", row.Key, head, err, i+1, parent)
		}
		parent = head.NoteHash
		heads = append(heads, head)
	}
	if last := heads[len(heads)-1]; last != headRow(t, store) {
		t.Fatalf("head row differs from the last log row %+v", last)
	}
	return heads
}
