package back_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/transport/back"
)

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = back.New().Do(context.Background(), &back.Call{Address: address, Method: http.MethodPost, Path: "/"})
	checkErrorState(t, err, back.NotSent)
}

// Guards against resent calls: net/http's transport sends some requests again if
// the target closes a pooled connection just when the request is sent.
func TestCallsAreNeverReplayed(t *testing.T) {
	for _, call := range []back.Call{
		{Method: http.MethodPost, Path: "/book", Body: []byte("x")},
		{Method: http.MethodPost, Path: "/book", Body: []byte("x"), Repeatable: true},
		{Method: http.MethodPost, Path: "/book", Body: []byte("x"), Repeatable: true, Header: http.Header{"Idempotency-Key": {"k"}}},
		{Method: http.MethodPost, Path: "/book", Header: http.Header{"X-Idempotency-Key": {"k"}}},
	} {
		var runs atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusOK)
		}))
		client := back.New()
		call.Address = server.Listener.Addr().String()
		response, err := client.Do(context.Background(), &call)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		_, err = client.Do(context.Background(), &call)
		checkErrorState(t, err, back.MayHaveRun)
		if got := runs.Load(); got != 2 {
			t.Errorf("%+v: two calls arrived %d times, want 2", call, got)
		}
		server.Close()
	}
}

func TestRejectsResponseOfAnotherAttempt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderAttemptID, "another")
	}))
	defer server.Close()
	call := &back.Call{Address: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/", AttemptID: "mine", Repeatable: true}
	_, err := back.New().Do(context.Background(), call)
	checkErrorState(t, err, back.MayHaveRun)
}

// Guards against losing a call for each idle connection to a target that lost its
// state, and against closing all of them when a target closes a single one.
func TestOnlyResetEndsIdleConnections(t *testing.T) {
	for _, tc := range []struct {
		name   string
		reset  bool
		opened int32 // connections opened for two calls at once, a failed one and one after that
	}{
		{"reset", true, 3},
		{"plain close", false, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var opened atomic.Int32
			var gate sync.WaitGroup
			gate.Add(2)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				switch request.URL.Path {
				case "/together":
					gate.Done()
					gate.Wait()
				case "/fail":
					closeConnection(t, w, tc.reset)
				}
			}))
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			client := back.New()
			defer client.Close()
			address := server.Listener.Addr().String()
			var callers sync.WaitGroup
			for range 2 {
				callers.Go(func() { checkAnswered(t, client, address, "/together") })
			}
			callers.Wait()
			_, err := client.Do(context.Background(), &back.Call{Address: address, Method: http.MethodPost, Path: "/fail", Body: []byte("x"), ReuseConnection: true})
			checkErrorState(t, err, back.MayHaveRun)
			checkAnswered(t, client, address, "/after")
			if got := opened.Load(); got != tc.opened {
				t.Errorf("connections opened = %d, want %d", got, tc.opened)
			}
		})
	}
}

// closeConnection closes the connection of a request without an answer, with a
// reset if reset is set.
func closeConnection(t *testing.T, w http.ResponseWriter, reset bool) {
	t.Helper()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Errorf("Hijack() = %v", err)
		return
	}
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

func checkAnswered(t *testing.T, client *back.Client, address, path string) {
	t.Helper()
	response, err := client.Do(context.Background(), &back.Call{Address: address, Method: http.MethodGet, Path: path, Repeatable: true})
	if err != nil {
		t.Errorf("Do(%s) = %v", path, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

func checkErrorState(t *testing.T, err error, want back.State) {
	t.Helper()
	var callError *back.CallError
	if !errors.As(err, &callError) || callError.State != want {
		t.Fatalf("error = %v, want a *back.CallError with state %v", err, want)
	}
}
