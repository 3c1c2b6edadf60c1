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

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/front"
	"mangopier.example/mangopier/internal/transport/peer"
)

// tcpProxy forwards connections to address. Incrementing epoch makes the connections
// open at that time silent: they stay open but carry no more data, as after a
// middlebox loses its connection table. Later connections work.
type tcpProxy struct {
	address string
	epoch   atomic.Int64
	opened  atomic.Int64
}

func (proxy *tcpProxy) listen(t *testing.T) string {
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
			proxy.opened.Add(1)
			go proxy.forward(conn)
		}
	}()
	return listener.Addr().String()
}

func (proxy *tcpProxy) forward(conn net.Conn) {
	defer conn.Close()
	upstream, err := (&net.Dialer{}).Dial("tcp", proxy.address)
	if err != nil {
		return
	}
	defer upstream.Close()
	epoch := proxy.epoch.Load()
	go proxy.copy(conn, upstream, epoch)
	proxy.copy(upstream, conn, epoch)
}

func (proxy *tcpProxy) copy(dst io.Writer, src io.Reader, epoch int64) {
	buffer := make([]byte, 4096)
	for {
		count, err := src.Read(buffer)
		if err != nil {
			return
		}
		if proxy.epoch.Load() == epoch {
			_, _ = dst.Write(buffer[:count])
		}
	}
}

type slowCopier struct{ delay time.Duration }

func (copier slowCopier) CopyUsage(_ context.Context, usage *peerpb.UsageCopy) (*peerpb.UsageAck, error) {
	time.Sleep(copier.delay)
	return &peerpb.UsageAck{Sequence: usage.Sequence}, nil
}

// When the pooled connections to a peer have gone silent, one call times out on the
// first. The next must not pick the second one from the pool and time out as well.
func TestTimeoutClosesSilentIdleConnections(t *testing.T) {
	proxy := &tcpProxy{address: startServer(t, peer.Handlers{UsageCopier: slowCopier{delay: 50 * time.Millisecond}})}
	address := proxy.listen(t)
	client := peer.NewClient()
	defer client.Close()
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			if _, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{}); err != nil {
				t.Errorf("CopyUsage() error = %v, want none", err)
			}
		})
	}
	group.Wait()
	if opened := proxy.opened.Load(); opened != 2 {
		t.Fatalf("client opened %d connections, want 2", opened)
	}
	proxy.epoch.Add(1)
	if _, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{}); !code.Is(err, code.PeerUnreachable) {
		t.Fatalf("CopyUsage() over a silent connection: error %v, want code.PeerUnreachable", err)
	}
	if _, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{}); err != nil {
		t.Fatalf("CopyUsage() after the timeout: error %v, want success over a new connection", err)
	}
}

// Entry instances serve the handler on nbhttp instead of net/http, so calls, large
// payloads and result codes have to work there too.
func TestHandlerWorksOnNBHTTP(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(peer.Handlers{UsageCopier: copier{}}))
	server := front.New("127.0.0.1:0", mux)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Stop(t.Context())
	client := peer.NewClient()
	defer client.Close()
	address := server.Address()
	ack, err := client.CopyUsage(t.Context(), address, &peerpb.UsageCopy{Sequence: 4, Payload: make([]byte, 100_000)})
	if err != nil || ack.Sequence != 4 {
		t.Fatalf("CopyUsage() = %v, %v, want sequence 4", ack, err)
	}
	if _, err := client.Status(t.Context(), address); !code.Is(err, code.NotReady) {
		t.Fatalf("Status() without a handler: error %v, want code.NotReady", err)
	}
}
