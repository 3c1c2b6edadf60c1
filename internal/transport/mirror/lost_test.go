package mirror_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// maxFailoverTime is the time after a mirror's last contact with the store within
// which a source must ask the store: a draining target may get requests for 3 s,
// and the list takes some of these.
const maxFailoverTime = 2800 * time.Millisecond

// pipeListener connects a server and its clients by in-memory pipes, which work
// within the fake clock of synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed sync.Once
	done   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (pipeListener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-pipeListener.conns:
		return conn, nil
	case <-pipeListener.done:
		return nil, net.ErrClosed
	}
}

func (pipeListener *pipeListener) Close() error {
	pipeListener.closed.Do(func() { close(pipeListener.done) })
	return nil
}

func (pipeListener *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

func (pipeListener *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case pipeListener.conns <- serverConn:
		return clientConn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// watchUntilStoreIsUsed waits for changes, and lists after a failure, until the
// rows come from the store.
func watchUntilStoreIsUsed(t *testing.T, source *mirror.Source, after uint64) {
	t.Helper()
	for range 20 {
		page, err := source.Watch(t.Context(), after, 2*time.Second)
		if err == nil {
			after = page.TableVersion
			continue
		}
		page, err = source.List(t.Context())
		if err == nil && sortedKeys(page.Changes) == "from-store" {
			return
		}
		after = page.TableVersion
	}
	t.Error("20 rounds without a list from the store, want failover to the store")
}

// Guards against routing to targets that have gone: the mirror of a data centre
// stops responding, or loses the store itself, while targets drain. Its readers
// must turn to the store before the targets are gone.
func TestFailsOverToStoreInTime(t *testing.T) {
	for name, fail := range map[string]func(mirrorServer *mirrorServer, frozen chan struct{}) (lastContact time.Time){
		"mirror does not respond": func(_ *mirrorServer, frozen chan struct{}) time.Time {
			close(frozen)
			return time.Now()
		},
		"mirror loses the store": func(mirrorServer *mirrorServer, _ chan struct{}) time.Time {
			mirrorServer.mutex.Lock()
			defer mirrorServer.mutex.Unlock()
			mirrorServer.lastContact = time.Now()
			return mirrorServer.lastContact
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tables := mirror.New()
				mirrorServer := &mirrorServer{}
				mirrorServer.tee = tables.Tee("targets", discardChanges{}, func() time.Time {
					mirrorServer.mutex.Lock()
					defer mirrorServer.mutex.Unlock()
					if mirrorServer.lastContact.IsZero() {
						return time.Now()
					}
					return mirrorServer.lastContact
				})
				mirrorServer.tee.Apply(changesOf("a"))
				path, handler := tables.Handler()
				frozen, end := make(chan struct{}), make(chan struct{})
				listener := newPipeListener()
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					select {
					case <-frozen:
						<-end
					default:
						if r.URL.Path == path {
							handler.ServeHTTP(w, r)
						}
					}
				})}
				go func() { _ = server.Serve(listener) }()
				client := mirror.NewClient(mirror.WithDialContext(listener.dial))
				source := mirror.NewSource("targets", &store{}, client, func() (string, bool) { return "mirror:1", false })
				page, err := source.List(t.Context())
				if err != nil || sortedKeys(page.Changes) != "a" {
					t.Fatalf("source.List() = %+v, %v, want row a of the mirror", page, err)
				}
				lastContact := fail(mirrorServer, frozen)
				watchUntilStoreIsUsed(t, source, page.TableVersion)
				if took := time.Since(lastContact); took > maxFailoverTime {
					t.Errorf("store asked %s after the last contact, want at most %s", took, maxFailoverTime)
				}
				close(end)
				client.Close()
				_ = server.Close()
				synctest.Wait()
			})
		})
	}
}

// The store turned an instance away for a moment, so that it reads a mirror. Guards against
// going on with that while the store serves it again: when the mirror loses the store, the
// instance does not see a new manifest until the table of the mirror is too old.
func TestReturnsToStoreAfterOwnOutage(t *testing.T) {
	const maxReturnTime = time.Second
	synctest.Test(t, func(t *testing.T) {
		tables, listener := mirror.New(), newPipeListener()
		tee := tables.Tee("targets", discardChanges{}, time.Now) // never loses the store
		tee.Apply(changesOf("a"))
		mux := http.NewServeMux()
		mux.Handle(tables.Handler())
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }()
		client, store := mirror.NewClient(mirror.WithDialContext(listener.dial)), &store{err: code.Errorf(code.StoreDown, "turned away")}
		source := mirror.NewSource("targets", store, client, func() (string, bool) { return "mirror:1", true })
		page, err := source.List(t.Context())
		if err != nil || sortedKeys(page.Changes) != "a" {
			t.Fatalf("source.List() = %+v, %v, want row a of the mirror", page, err)
		}
		for range 4 { // the store stays away for a while
			if page, err = source.Watch(t.Context(), page.TableVersion, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		store.err = nil
		returned := time.Now()
		watchUntilStoreIsUsed(t, source, page.TableVersion)
		if took := time.Since(returned); took > maxReturnTime {
			t.Errorf("store used %s after it serves the instance again, want at most %s", took, maxReturnTime)
		}
		client.Close()
		_ = server.Close()
		synctest.Wait()
	})
}
