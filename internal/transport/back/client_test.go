package back_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

func checkErrorState(t *testing.T, err error, want back.State) {
	t.Helper()
	var callError *back.CallError
	if !errors.As(err, &callError) || callError.State != want {
		t.Fatalf("error = %v, want a *back.CallError with state %v", err, want)
	}
}
