package feed_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

// stubPeers has a fixed majority and returns a fixed note.
type stubPeers struct {
	majority bool
	reply    atomic.Pointer[peerpb.FetchNoteReply]
}

func (peers *stubPeers) InstanceCount() int      { return 7 }
func (peers *stubPeers) HasMajority(uint64) bool { return peers.majority }

func (peers *stubPeers) FetchNote(context.Context, *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	if reply := peers.reply.Load(); reply != nil {
		return reply, nil
	}
	return nil, code.Errorf(code.PeerUnreachable, "no response")
}

// withFeed runs test with a feed that has installed note 1.
func withFeed(t *testing.T, peers *stubPeers, test func(t *testing.T, store *memory.Store, notes *feed.Feed, refused func() float64)) {
	synctest.Test(t, func(t *testing.T) {
		store, registry := memory.New(), prometheus.NewRegistry()
		if _, err := feed.Publish(t.Context(), store.Client("operator"), testNote(0, "first")); err != nil {
			t.Fatal(err)
		}
		notes := feed.New(store.Client("i0"), feed.WithPeers(peers), feed.WithRegisterer(registry))
		ctx, cancel := context.WithCancel(context.Background())
		done := notes.Start(ctx)
		time.Sleep(2 * time.Second)
		test(t, store, notes, func() float64 { return refusedTotal(t, registry) })
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func refusedTotal(t *testing.T, registry *prometheus.Registry) (sum float64) {
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == "mangopier_note_refused_total" {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// secondNote returns the head, note and catalog that follow
// testNote(0, "first").
func secondNote(t *testing.T) (feed.Head, []byte, []byte) {
	t.Helper()
	store := memory.New()
	for number, comment := range []string{"first", "second"} {
		if _, err := feed.Publish(t.Context(), store.Client("operator"), testNote(uint64(number), comment)); err != nil {
			t.Fatal(err)
		}
	}
	head := headRow(t, store)
	noteBytes, noteErr := store.Client("test").Fetch(t.Context(), "note/object/"+head.NoteHash)
	catalogBytes, err := store.Client("test").Fetch(t.Context(), "note/catalog/"+head.CatalogHash)
	if err := errors.Join(noteErr, err); err != nil {
		t.Fatal(err)
	}
	return head, noteBytes, catalogBytes
}

func encodeHead(t *testing.T, head feed.Head) []byte {
	t.Helper()
	data, err := head.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestRefusesMalformedHeadRows(t *testing.T) {
	head, _, catalogBytes := secondNote(t)
	forked := head
	forked.Number, forked.ParentHash = 1, ""
	orphan := head
	orphan.ParentHash = note.ContentHash([]byte("another parent"))
	cases := map[string][]byte{
		"invalid JSON":                []byte("{"),
		"unknown field":               []byte(`{"number": 2, "nubmer": 3}`),
		"no number":                   []byte(`{}`),
		"malformed hash":              []byte(`{"number": 2, "note-hash": "../x"}`),
		"missing object":              encodeHead(t, head),
		"other head with same number": encodeHead(t, forked),
		"other parent":                encodeHead(t, orphan),
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			withFeed(t, &stubPeers{}, func(t *testing.T, store *memory.Store, notes *feed.Feed, refused func() float64) {
				before, client := notes.Catalog(), store.Client("operator")
				valid, err := client.Get(t.Context(), feed.HeadKey)
				if err != nil {
					t.Fatal(err)
				}
				writeHead(t, client, value)
				time.Sleep(10 * time.Second)
				if notes.Catalog() != before || refused() == 0 {
					t.Errorf("catalog changed: %v, want false; refused %v, want above 0", notes.Catalog() != before, refused())
				}
				if err := notes.CheckServing(); !code.Is(err, code.InstanceIsolated) {
					t.Errorf("CheckServing() after a malformed row = %v, want code %v", err, code.InstanceIsolated)
				}
				writeHead(t, client, valid.Value)
				time.Sleep(8 * time.Second)
				if err := notes.CheckServing(); err != nil {
					t.Errorf("CheckServing() after the valid row is back = %v, want nil", err)
				}
			})
		})
	}
	t.Run("older head", func(t *testing.T) {
		withFeed(t, &stubPeers{}, func(t *testing.T, store *memory.Store, notes *feed.Feed, refused func() float64) {
			client := store.Client("operator")
			first, _ := client.Get(t.Context(), feed.HeadKey)
			writeHead(t, client, encodeHead(t, head))
			_ = client.Put(t.Context(), "note/catalog/"+head.CatalogHash, catalogBytes)
			time.Sleep(5 * time.Second)
			writeHead(t, client, first.Value)
			time.Sleep(5 * time.Second)
			if notes.Number() != 2 || refused() == 0 || notes.CheckServing() == nil {
				t.Errorf("Number() = %d, want 2; refused %v, want above 0; CheckServing() = %v, want an error", notes.Number(), refused(), notes.CheckServing())
			}
		})
	})
}

func writeHead(t *testing.T, client *memory.Client, value []byte) {
	t.Helper()
	row, err := client.Get(t.Context(), feed.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Commit(t.Context(), table.Write{Key: feed.HeadKey, ExpectedVersion: row.Version, Value: value}); err != nil {
		t.Fatal(err)
	}
}

func TestRefusesMalformedPeerReplies(t *testing.T) {
	head, noteBytes, catalogBytes := secondNote(t)
	otherNote := append([]byte(" "), noteBytes...)
	skipped, orphan := head, head
	skipped.Number = 3
	orphan.ParentHash = note.ContentHash([]byte("another parent"))
	cases := map[string]*peerpb.FetchNoteReply{
		"empty":          {},
		"invalid head":   {Head: []byte("}"), Note: noteBytes},
		"other note":     {Head: encodeHead(t, head), Note: otherNote},
		"other catalog":  {Head: encodeHead(t, head), Catalog: append([]byte(" "), catalogBytes...)},
		"other number":   {Head: encodeHead(t, skipped), Catalog: catalogBytes},
		"other parent":   {Head: encodeHead(t, orphan), Note: noteBytes},
		"other branch":   {Head: encodeHead(t, orphan), Catalog: catalogBytes},
		"skipped number": {Head: encodeHead(t, skipped), Note: noteBytes},
	}
	for name, reply := range cases {
		t.Run(name, func(t *testing.T) {
			peers := &stubPeers{}
			peers.reply.Store(reply)
			withFeed(t, peers, func(t *testing.T, _ *memory.Store, notes *feed.Feed, refused func() float64) {
				before := notes.Catalog()
				notes.ObserveNumber(2)
				time.Sleep(time.Second)
				if notes.Catalog() != before || refused() == 0 {
					t.Errorf("catalog changed: %v, want false; refused %v, want above 0", notes.Catalog() != before, refused())
				}
				peers.reply.Store(&peerpb.FetchNoteReply{Head: encodeHead(t, head), Note: noteBytes})
				notes.ObserveNumber(2)
				time.Sleep(time.Second)
				if notes.Number() != 2 {
					t.Errorf("Number() after a valid reply = %d, want 2", notes.Number())
				}
			})
		})
	}
}

// TestStopsServingWhenNewerNoteIsKnown has a proof of a note that cannot be
// fetched. The note may withdraw a key, so that the feed must not serve, even
// with a majority that does not know the note.
func TestStopsServingWhenNewerNoteIsKnown(t *testing.T) {
	withFeed(t, &stubPeers{majority: true}, func(t *testing.T, store *memory.Store, notes *feed.Feed, _ func() float64) {
		store.SetFault(func(memory.Call) memory.Fault { return memory.Fault{Unavailable: true} })
		time.Sleep(settleTime)
		if err := notes.CheckServing(); err != nil {
			t.Errorf("CheckServing() with a majority and no store = %v, want nil", err)
		}
		notes.ObserveProof(2, time.Now())
		if err := notes.CheckServing(); !code.Is(err, code.InstanceIsolated) {
			t.Errorf("CheckServing() with proof of a newer note = %v, want code %v", err, code.InstanceIsolated)
		}
		store.SetFault(nil)
		time.Sleep(settleTime)
		store.SetFault(func(memory.Call) memory.Fault { return memory.Fault{Unavailable: true} })
		time.Sleep(settleTime)
		if err := notes.CheckServing(); err != nil {
			t.Errorf("CheckServing() after the store contradicted the proof = %v, want nil", err)
		}
	})
}
