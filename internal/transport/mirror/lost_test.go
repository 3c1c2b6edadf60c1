package mirror_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/transport/mirror"
)

// noticed is how long after the last news an instance must turn elsewhere: a
// leaving target may get requests for 3 s, and the list takes some of these.
const noticed = 2800 * time.Millisecond

// pipes is a network of pipes within a test's own time.
type pipes struct {
	conns  chan net.Conn
	closed sync.Once
	done   chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (pipes *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-pipes.conns:
		return conn, nil
	case <-pipes.done:
		return nil, net.ErrClosed
	}
}

func (pipes *pipes) Close() error {
	pipes.closed.Do(func() { close(pipes.done) })
	return nil
}

func (pipes *pipes) Addr() net.Addr { return &net.UnixAddr{} }

func (pipes *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case pipes.conns <- theirs:
		return ours, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// untilStore feeds, and lists after a failure, until rows come from the store.
func untilStore(t *testing.T, source *mirror.Source, after uint64) {
	t.Helper()
	for range 20 {
		page, err := source.Watch(t.Context(), after, 2*time.Second)
		if err == nil {
			after = page.Version
			continue
		}
		page, err = source.List(t.Context())
		if err == nil && names(page.Changes) == "from-store" {
			return
		}
		after = page.Version
	}
	t.Error("the store is never asked")
}

// Pattern: the instance that serves the tables to others in its data centre stops
// to answer, or has lost the store itself, while targets leave. The others turn to
// the store before the targets are gone.
func TestLostMirrorIsNoticedInTime(t *testing.T) {
	for name, lose := range map[string]func(served *served, frozen chan struct{}) (heard time.Time){
		"frozen": func(_ *served, frozen chan struct{}) time.Time {
			close(frozen)
			return time.Now()
		},
		"without the store": func(served *served, _ chan struct{}) time.Time {
			served.mutex.Lock()
			defer served.mutex.Unlock()
			served.heard = time.Now()
			return served.heard
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				subject := mirror.New()
				served := &served{}
				served.tee = subject.Tee("targets", sink{}, func() time.Time {
					served.mutex.Lock()
					defer served.mutex.Unlock()
					if served.heard.IsZero() {
						return time.Now()
					}
					return served.heard
				})
				served.tee.Apply(rows("a"))
				path, handler := subject.Handler()
				frozen, end := make(chan struct{}), make(chan struct{})
				listener := newPipes()
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
				client := mirror.NewClient(mirror.WithDial(listener.dial))
				source := mirror.NewSource("targets", &store{}, client, func() (string, bool) { return "mirror:1", false })
				page, err := source.List(t.Context())
				if err != nil || names(page.Changes) != "a" {
					t.Fatalf("list %+v, %v", page, err)
				}
				heard := lose(served, frozen)
				untilStore(t, source, page.Version)
				if took := time.Since(heard); took > noticed {
					t.Errorf("the store is asked %s after the last news", took)
				}
				close(end)
				client.Close()
				_ = server.Close()
				synctest.Wait()
			})
		})
	}
}
