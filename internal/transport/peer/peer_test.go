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

func start(t *testing.T, handlers peer.Handlers) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(handlers))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestCallCarriesMessagesAndCodes(t *testing.T) {
	ctx, client := t.Context(), peer.NewClient()
	defer client.Close()
	address := start(t, peer.Handlers{Copier: copier{}})
	ack, err := client.CopyUsage(ctx, address, &peerpb.UsageCopy{Origin: "a", Incarnation: 7, Sequence: 9})
	if err != nil || ack.Incarnation != 7 || ack.Sequence != 9 {
		t.Fatalf("got %v, %v", ack, err)
	}
	if _, err := client.Status(ctx, address); !code.Is(err, code.NotReady) {
		t.Fatalf("absent part: %v", err)
	}
	address = start(t, peer.Handlers{Copier: copier{err: code.Errorf(code.WindowFrozen, "too late")}})
	if _, err := client.CopyUsage(ctx, address, &peerpb.UsageCopy{}); !code.Is(err, code.WindowFrozen) {
		t.Fatalf("code was lost on the way: %v", err)
	}
}

func TestCallToSilentOrDeadPeerEnds(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := peer.NewClient()
	defer client.Close()
	// The listener's backlog takes the connection and nobody ever answers.
	if _, err := client.Exchange(t.Context(), listener.Addr().String(), &peerpb.State{}); !code.Is(err, code.PeerUnreachable) {
		t.Fatalf("silent peer: %v", err)
	}
	listener.Close()
	if _, err := client.Exchange(t.Context(), listener.Addr().String(), &peerpb.State{}); !code.Is(err, code.PeerUnreachable) {
		t.Fatalf("dead peer: %v", err)
	}
}

func TestMessagesAreBounded(t *testing.T) {
	client := peer.NewClient()
	defer client.Close()
	address := start(t, peer.Handlers{Copier: copier{}})
	huge := &peerpb.UsageCopy{Payload: make([]byte, peer.RequestMaxBytes+1)}
	if _, err := client.CopyUsage(t.Context(), address, huge); err == nil {
		t.Fatal("a message above the limit was taken")
	}
}
