package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/peer"
)

// relay passes connections on to address until it loses track of them: those
// open by then go silent, later ones work.
type relay struct {
	address string
	epoch   atomic.Int64
	opened  atomic.Int64
}

func (relay *relay) listen(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			relay.opened.Add(1)
			go relay.pass(conn)
		}
	}()
	return listener.Addr().String()
}

func (relay *relay) pass(conn net.Conn) {
	defer conn.Close()
	next, err := (&net.Dialer{}).Dial("tcp", relay.address)
	if err != nil {
		return
	}
	defer next.Close()
	epoch := relay.epoch.Load()
	go relay.copy(conn, next, epoch)
	relay.copy(next, conn, epoch)
}

func (relay *relay) copy(dst io.Writer, src io.Reader, epoch int64) {
	buffer := make([]byte, 4096)
	for {
		count, err := src.Read(buffer)
		if err != nil {
			return
		}
		if relay.epoch.Load() == epoch {
			_, _ = dst.Write(buffer[:count])
		}
	}
}

type slowCopier struct{ pause time.Duration }

func (slow slowCopier) CopyUsage(_ context.Context, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	time.Sleep(slow.pause)
	return &peerpb.UsageAck{Sequence: usage.Sequence}, nil
}

func TestSilentConnectionsAreDropped(t *testing.T) {
	relay := &relay{address: start(t, peer.Handlers{Copier: slowCopier{pause: 50 * time.Millisecond}})}
	address := relay.listen(t)
	client := peer.NewClient()
	defer client.Close()
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			if _, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if opened := relay.opened.Load(); opened != 2 {
		t.Fatalf("%d connections are open", opened)
	}
	relay.epoch.Add(1)
	if _, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{}); !code.Is(err, code.PeerUnreachable) {
		t.Fatalf("silent connection: %v", err)
	}
	if _, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{}); err != nil {
		t.Fatalf("the other silent connection was used again: %v", err)
	}
}

func TestHandlerOnNBHTTP(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(peer.Handlers{Copier: copier{}}))
	engine := nbhttp.NewEngine(nbhttp.Config{Network: "tcp", Addrs: []string{"127.0.0.1:0"}, Handler: mux})
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	client := peer.NewClient()
	defer client.Close()
	address := engine.Addrs[0]
	ack, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{Sequence: 4, Payload: make([]byte, 100_000)})
	if err != nil || ack.Sequence != 4 {
		t.Fatalf("got %v, %v", ack, err)
	}
	if _, err := client.Status(t.Context(), address); !code.Is(err, code.NotReady) {
		t.Fatalf("got %v", err)
	}
}
