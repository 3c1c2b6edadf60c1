package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/peer"
)

type copier struct{ err error }

func (copier copier) CopyUsage(_ context.Context, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	return &peerpb.UsageAck{Incarnation: usage.Incarnation, Sequence: usage.Sequence}, copier.err
}

func startServer(t *testing.T, handlers peer.Handlers) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(handlers))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A call must return the peer's reply, and an error the result code that the peer's
// handler set, including code.NotReady for a call without a handler.
func TestCallReturnsReplyAndResultCode(t *testing.T) {
	ctx, client := t.Context(), peer.NewClient()
	defer client.Close()
	address := startServer(t, peer.Handlers{UsageCopier: copier{}})
	ack, err := client.CopyUsage(ctx, address, &peerpb.UsageCopy{Origin: "a", Incarnation: 7, Sequence: 9})
	if err != nil || ack.Incarnation != 7 || ack.Sequence != 9 {
		t.Fatalf("CopyUsage() = %v, %v, want incarnation 7 and sequence 9", ack, err)
	}
	if _, err := client.Status(ctx, address); !code.Is(err, code.NotReady) {
		t.Fatalf("Status() without a handler: error %v, want code.NotReady", err)
	}
	address = startServer(t, peer.Handlers{UsageCopier: copier{err: code.Errorf(code.WindowFrozen, "too late")}})
	if _, err := client.CopyUsage(ctx, address, &peerpb.UsageCopy{}); !code.Is(err, code.WindowFrozen) {
		t.Fatalf("CopyUsage() error %v, want the handler's code.WindowFrozen", err)
	}
}

// A peer that accepts connections but never responds, or that refuses them, must not
// block the caller.
func TestCallToUnresponsivePeerIsUnreachable(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := peer.NewClient()
	defer client.Close()
	// The kernel completes the connection from the listener's backlog, but nothing
	// accepts it, so no response ever comes.
	if _, err := client.Exchange(t.Context(), listener.Addr().String(), &peerpb.State{}); !code.Is(err, code.PeerUnreachable) {
		t.Fatalf("Exchange() with a silent peer: error %v, want code.PeerUnreachable", err)
	}
	listener.Close()
	if _, err := client.Exchange(t.Context(), listener.Addr().String(), &peerpb.State{}); !code.Is(err, code.PeerUnreachable) {
		t.Fatalf("Exchange() with a closed listener: error %v, want code.PeerUnreachable", err)
	}
}

func TestRejectsMessageAboveSizeLimit(t *testing.T) {
	client := peer.NewClient()
	defer client.Close()
	address := startServer(t, peer.Handlers{UsageCopier: copier{}})
	oversized := &peerpb.UsageCopy{Payload: make([]byte, peer.MaxRequestBytes+1)}
	if _, err := client.CopyUsage(t.Context(), address, oversized); err == nil {
		t.Fatal("CopyUsage() with a message above the size limit succeeded, want an error")
	}
}
