package detour_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Guards against keeping what an instance sends without end, in a head or in one message.
func TestLargeHeadsAndMessagesAreRefused(t *testing.T) {
	const (
		head    = 200 << 10
		message = 24 << 20
	)
	serve := func(_ context.Context, w http.ResponseWriter, _ *site.ForwardedRequest) {
		w.WriteHeader(http.StatusOK)
	}
	large := startPeer(t, serve, func(handler http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Filler", strings.Repeat("x", head))
			handler.ServeHTTP(w, r)
		})
	})
	if response, err := newClient(t).Do(t.Context(), large.address, &site.ForwardedRequest{}); err == nil {
		t.Errorf("Do() of a response with a head of %d bytes = %d, want an error", head, response.Status)
	}
	headers := startPeer(t, func(_ context.Context, w http.ResponseWriter, _ *site.ForwardedRequest) {
		w.Header().Set("X-Filler", strings.Repeat("x", message))
		w.WriteHeader(http.StatusOK)
	}, nil)
	if response, err := newClient(t).Do(t.Context(), headers.address, &site.ForwardedRequest{}); err == nil {
		t.Errorf("Do() of a message of %d bytes = %d, want an error", message, response.Status)
	}
	request := &site.ForwardedRequest{}
	request.Request.Body = bytes.Repeat([]byte("x"), message)
	if response, err := newClient(t).Do(t.Context(), startPeer(t, serve, nil).address, request); err == nil {
		t.Errorf("Do() of a request of %d bytes = %d, want an error", message, response.Status)
	}
}

// An instance passes a large body on in one write. Guards against a message that the other
// instance has to keep whole, outside of its bound for responses.
func TestLargeBodyArrivesInSmallMessages(t *testing.T) {
	const size = 1 << 20
	peer := startPeer(t, func(_ context.Context, w http.ResponseWriter, _ *site.ForwardedRequest) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	}, nil)
	response := do(t, newClient(t), peer)
	buffer, total := make([]byte, size), 0
	for {
		count, err := response.Body.Read(buffer)
		total += count
		if count > size/4 {
			t.Errorf("a message holds %d bytes of the body, want %d at most", count, size/4)
		}
		if err != nil {
			break
		}
	}
	if total != size {
		t.Errorf("body has %d bytes, want %d", total, size)
	}
}
