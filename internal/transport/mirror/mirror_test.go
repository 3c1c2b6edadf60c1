package mirror_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// sink is a copy that does nothing.
type sink struct{}

func (sink) Apply([]table.Change) {}

// served is a mirror of one table on an address.
type served struct {
	tee     interface{ Apply([]table.Change) }
	address string
	mutex   sync.Mutex
	heard   time.Time
}

func serve(t *testing.T) *served {
	t.Helper()
	served := &served{heard: time.Now()}
	subject := mirror.New()
	served.tee = subject.Tee("targets", sink{}, func() time.Time {
		served.mutex.Lock()
		defer served.mutex.Unlock()
		return served.heard
	})
	mux := http.NewServeMux()
	mux.Handle(subject.Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	served.address = server.Listener.Addr().String()
	return served
}

// store is a source that fails as a test asks, and counts what it is asked.
type store struct {
	failure error
	calls   int
}

func (store *store) List(context.Context) (table.Page, error) {
	store.calls++
	return table.Page{Changes: []table.Change{{Key: "from-store", Version: 1}}, Version: 1}, store.failure
}

func (store *store) Watch(context.Context, uint64, time.Duration) (table.Page, error) {
	store.calls++
	return table.Page{Version: 1}, store.failure
}

func names(changes []table.Change) string {
	var names []string
	for _, change := range changes {
		names = append(names, change.Key)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func rows(keys ...string) []table.Change {
	var changes []table.Change
	for i, key := range keys {
		changes = append(changes, table.Change{Key: key, Version: uint64(i + 1)})
	}
	return changes
}

// In a large site most instances ask a mirror and not the store.
func TestMirrorServesRowsAndChanges(t *testing.T) {
	served, store := serve(t), &store{}
	served.tee.Apply(rows("a", "b"))
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return served.address, false })
	page, err := source.List(t.Context())
	if err != nil || names(page.Changes) != "a b" || store.calls != 0 {
		t.Fatalf("list %+v, %v, %d calls to the store", page, err, store.calls)
	}
	served.tee.Apply([]table.Change{{Key: "c", Version: 3}, {Key: "a", Version: 4, Deleted: true}})
	page, err = source.Watch(t.Context(), page.Version, time.Second)
	if err != nil || names(page.Changes) != "a c" {
		t.Fatalf("changes %+v, %v", page, err)
	}
	go served.tee.Apply(rows("later"))
	if page, err = source.Watch(t.Context(), page.Version, time.Minute); err != nil || names(page.Changes) != "later" {
		t.Fatalf("a change that is waited for: %+v, %v", page, err)
	}
	if age := time.Since(source.Heard()); age > time.Minute {
		t.Errorf("heard %v ago", age)
	}
}

// A mirror that has lost the store itself is not believed for long.
func TestStaleMirrorIsNotBelieved(t *testing.T) {
	served, store := serve(t), &store{}
	served.tee.Apply(rows("old"))
	served.heard = time.Now().Add(-time.Minute)
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return served.address, false })
	if page, err := source.List(t.Context()); err != nil || names(page.Changes) != "from-store" {
		t.Errorf("list %+v, %v", page, err)
	}
	store.failure = code.Errorf(code.StoreDown, "down")
	if _, err := source.List(t.Context()); err == nil {
		t.Error("stale rows are given as current")
	}
}

// An instance that the store turns away asks a mirror, and not the store, at
// once after its feed has failed.
func TestFailedFeedTurnsToAMirror(t *testing.T) {
	served, store := serve(t), &store{}
	served.tee.Apply(rows("a"))
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return served.address, true })
	if _, err := source.List(t.Context()); err != nil {
		t.Fatal(err)
	}
	store.failure = code.Errorf(code.StoreDown, "silent")
	if _, err := source.Watch(t.Context(), 1, time.Second); err == nil {
		t.Fatal("the feed does not fail")
	}
	calls := store.calls
	if page, err := source.List(t.Context()); err != nil || names(page.Changes) != "a" || store.calls != calls {
		t.Errorf("list %+v, %v, %d calls more to the store", page, err, store.calls-calls)
	}
}

// A mirror that started anew does not continue the changes of before.
func TestRestartedMirrorIsListedAnew(t *testing.T) {
	first, store := serve(t), &store{}
	first.tee.Apply(rows("a"))
	address := first.address
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return address, false })
	page, err := source.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second := serve(t)
	second.tee.Apply(rows("a", "b"))
	address = second.address
	if _, err := mirror.NewClient().Fetch(t.Context(), second.address, "unheard-of"); !code.Is(err, code.PeerUnreachable) {
		t.Errorf("a table that it does not have: %v", err)
	}
	if _, err := source.List(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := source.Watch(t.Context(), page.Version+100, time.Second); !code.Is(err, code.RowMissing) {
		t.Errorf("a feed from another's version: %v", err)
	}
}

// Pattern: the instances that others get their tables from have lost the store.
// Whoever asks the store instead goes on there for a while. To turn back at once
// would list the table over and over.
func TestLostMirrorIsLeftAlone(t *testing.T) {
	served := serve(t)
	served.mutex.Lock()
	served.heard = time.Now().Add(-time.Minute)
	served.mutex.Unlock()
	direct := &store{}
	client := mirror.NewClient()
	source := mirror.NewSource("targets", direct, client, func() (string, bool) { return served.address, false })
	if page, err := source.List(context.Background()); err != nil || names(page.Changes) != "from-store" {
		t.Fatalf("list %v, %v", page, err)
	}
	for range 5 {
		if _, err := source.Watch(context.Background(), 1, time.Second); err != nil {
			t.Fatalf("feed: %v", err)
		}
	}
	if direct.calls != 6 {
		t.Errorf("%d calls to the store, want a list and five feeds", direct.calls)
	}
}
