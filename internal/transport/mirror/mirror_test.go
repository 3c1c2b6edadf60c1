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

// discardChanges implements follow.Applier and ignores all changes.
type discardChanges struct{}

func (discardChanges) Apply([]table.Change) {}

// mirrorServer serves one table over HTTP.
type mirrorServer struct {
	tee         interface{ Apply([]table.Change) }
	address     string
	mutex       sync.Mutex
	lastContact time.Time
}

func startMirror(t *testing.T) *mirrorServer {
	t.Helper()
	mirrorServer := &mirrorServer{lastContact: time.Now()}
	tables := mirror.New()
	mirrorServer.tee = tables.Tee("targets", discardChanges{}, func() time.Time {
		mirrorServer.mutex.Lock()
		defer mirrorServer.mutex.Unlock()
		return mirrorServer.lastContact
	})
	mux := http.NewServeMux()
	mux.Handle(tables.Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	mirrorServer.address = server.Listener.Addr().String()
	return mirrorServer
}

// store is a follow.Source that returns the given error and counts its calls.
type store struct {
	err   error
	era   uint64
	calls int
}

func (store *store) List(context.Context) (table.Page, error) {
	store.calls++
	return table.Page{Changes: []table.Change{{Key: "from-store", Version: 1, Era: store.era}}, TableVersion: 1, Era: store.era}, store.err
}

func (store *store) Watch(context.Context, uint64, time.Duration) (table.Page, error) {
	store.calls++
	return table.Page{TableVersion: 1, Era: store.era}, store.err
}

func sortedKeys(changes []table.Change) string {
	var keys []string
	for _, change := range changes {
		keys = append(keys, change.Key)
	}
	slices.Sort(keys)
	return strings.Join(keys, " ")
}

func changesOf(keys ...string) []table.Change {
	var changes []table.Change
	for i, key := range keys {
		changes = append(changes, table.Change{Key: key, Version: uint64(i + 1)})
	}
	return changes
}

// In a large site most instances read from a mirror and not from the store.
func TestMirrorServesRowsAndChanges(t *testing.T) {
	mirrorServer, store := startMirror(t), &store{}
	mirrorServer.tee.Apply(changesOf("a", "b"))
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return mirrorServer.address, false })
	page, err := source.List(t.Context())
	if err != nil || sortedKeys(page.Changes) != "a b" || store.calls != 0 {
		t.Fatalf("source.List() = %+v, %v with %d calls to the store, want a and b with none", page, err, store.calls)
	}
	mirrorServer.tee.Apply([]table.Change{{Key: "c", Version: 3}, {Key: "a", Version: 4, Deleted: true}})
	page, err = source.Watch(t.Context(), page.TableVersion, time.Second)
	if err != nil || sortedKeys(page.Changes) != "a c" {
		t.Fatalf("source.Watch() = %+v, %v, want changes of a and c", page, err)
	}
	go mirrorServer.tee.Apply(changesOf("later"))
	if page, err = source.Watch(t.Context(), page.TableVersion, time.Minute); err != nil || sortedKeys(page.Changes) != "later" {
		t.Fatalf("source.Watch() during a change = %+v, %v, want the change of later", page, err)
	}
	if age := time.Since(source.LastContact()); age > time.Minute {
		t.Errorf("source.LastContact() is %v ago, want at most 1m", age)
	}
}

// A mirror whose own last contact with the store is too long ago must not be used.
func TestRejectsStaleMirror(t *testing.T) {
	mirrorServer, store := startMirror(t), &store{}
	mirrorServer.tee.Apply(changesOf("old"))
	mirrorServer.lastContact = time.Now().Add(-time.Minute)
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return mirrorServer.address, false })
	if page, err := source.List(t.Context()); err != nil || sortedKeys(page.Changes) != "from-store" {
		t.Errorf("source.List() = %+v, %v, want the row of the store", page, err)
	}
	store.err = code.Errorf(code.StoreDown, "down")
	if _, err := source.List(t.Context()); err == nil {
		t.Error("source.List() = nil error with a stale mirror and no store, want an error")
	}
}

// After a watch of the store has failed, the next list must come from a mirror at
// once, without another call to the store.
func TestListsFromMirrorAfterFailedWatch(t *testing.T) {
	mirrorServer, store := startMirror(t), &store{}
	mirrorServer.tee.Apply(changesOf("a"))
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return mirrorServer.address, true })
	if _, err := source.List(t.Context()); err != nil {
		t.Fatal(err)
	}
	store.err = code.Errorf(code.StoreDown, "silent")
	if _, err := source.Watch(t.Context(), 1, time.Second); err == nil {
		t.Fatal("source.Watch() = nil error with a failing store, want an error")
	}
	calls := store.calls
	if page, err := source.List(t.Context()); err != nil || sortedKeys(page.Changes) != "a" || store.calls != calls {
		t.Errorf("source.List() = %+v, %v with %d more calls to the store, want a with none", page, err, store.calls-calls)
	}
}

// Versions of a mirror do not outlive its process: after a restart a reader must
// list the table again.
func TestRestartedMirrorRequiresNewList(t *testing.T) {
	first, store := startMirror(t), &store{}
	first.tee.Apply(changesOf("a"))
	address := first.address
	source := mirror.NewSource("targets", store, mirror.NewClient(), func() (string, bool) { return address, false })
	page, err := source.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second := startMirror(t)
	second.tee.Apply(changesOf("a", "b"))
	address = second.address
	if _, err := mirror.NewClient().FetchTable(t.Context(), second.address, "unknown"); !code.Is(err, code.PeerUnreachable) {
		t.Errorf("FetchTable() of an unknown table: error = %v, want peer-unreachable", err)
	}
	if _, err := source.List(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := source.Watch(t.Context(), page.TableVersion+100, time.Second); !code.Is(err, code.RowMissing) {
		t.Errorf("source.Watch() after a version of another run: error = %v, want row-missing", err)
	}
}

// Guards against repeated lists: the mirror has lost the store, so the source
// reads from the store. If it turned back to the mirror at once, it would list
// the table over and over.
func TestBacksOffFromStaleMirror(t *testing.T) {
	mirrorServer := startMirror(t)
	mirrorServer.mutex.Lock()
	mirrorServer.lastContact = time.Now().Add(-time.Minute)
	mirrorServer.mutex.Unlock()
	direct := &store{}
	client := mirror.NewClient()
	source := mirror.NewSource("targets", direct, client, func() (string, bool) { return mirrorServer.address, false })
	if page, err := source.List(context.Background()); err != nil || sortedKeys(page.Changes) != "from-store" {
		t.Fatalf("source.List() = %v, %v, want the row of the store", page, err)
	}
	for range 5 {
		if _, err := source.Watch(context.Background(), 1, time.Second); err != nil {
			t.Fatalf("source.Watch() = error %v, want none", err)
		}
	}
	if direct.calls != 6 {
		t.Errorf("%d calls to the store, want 6: a list and five watches", direct.calls)
	}
}

// A peer has a newer manifest and has lost the store since. Guards against keeping the
// older manifest: a newer one is newer at any age.
func TestFetchesTableOfMirrorThatLostTheStore(t *testing.T) {
	mirrorServer := startMirror(t)
	mirrorServer.tee.Apply(changesOf("config"))
	mirrorServer.lastContact = time.Now().Add(-time.Minute)
	changes, err := mirror.NewClient().FetchTable(t.Context(), mirrorServer.address, "targets")
	if err != nil || sortedKeys(changes) != "config" {
		t.Errorf("FetchTable() = %+v, %v, want row config", changes, err)
	}
}

// The time of day jumps on an instance that serves its tables. Guards against an age that jumps
// with it, so that a table that is seconds old passes for fresh.
func TestLastContactDoesNotFollowTimeOfDay(t *testing.T) {
	source := mirror.NewSource("targets", &store{}, mirror.NewClient(), func() (string, bool) { return "", true })
	if _, err := source.List(t.Context()); err != nil {
		t.Fatal(err)
	}
	contact := source.LastContact()
	if !strings.Contains(contact.String(), "m=") { // the text of a time tells its monotonic reading
		t.Errorf("LastContact() = %v, want a reading of the monotonic clock", contact)
	}
}
