package front_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/front"
)

const connTimeout = 20 * time.Second

func startServer(t *testing.T, limits front.Limits, handler http.HandlerFunc) *front.Server {
	t.Helper()
	server := front.New("127.0.0.1:0", handler, front.WithLimits(limits))
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		server.Stop(ctx)
	})
	return server
}

func dial(t *testing.T, server *front.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(connTimeout))
	return conn
}

// Guards against request smuggling: the requests of testdata/framing.txt with
// ambiguous framing or above the limits must be refused.
func TestFramingCases(t *testing.T) {
	data, err := os.ReadFile("testdata/framing.txt")
	if err != nil {
		t.Fatal(err)
	}
	limits := front.DefaultLimits()
	limits.HeaderBytes, limits.BodyBytes, limits.LingerTimeout = 4<<10, 3<<10, 50*time.Millisecond
	server := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hidden" {
			t.Error("smuggled request /hidden reached the handler")
		}
		w.WriteHeader(http.StatusOK)
		_, _ = io.Copy(w, r.Body)
	})
	for _, section := range strings.Split(string(data), "\n-- ")[1:] {
		name, rest, _ := strings.Cut(section, "\n")
		input, want, _ := strings.Cut(rest, "=> ")
		t.Run(name, func(t *testing.T) {
			if got := sendRaw(t, server, expandInput(input)); got != strings.TrimSpace(want) {
				t.Fatalf("responses = %s, want %s", got, strings.TrimSpace(want))
			}
		})
	}
}

// expandInput turns line ends into CRLF and %N% into N bytes.
func expandInput(input string) string {
	input = strings.ReplaceAll(input, "\n", "\r\n")
	return regexp.MustCompile(`%(\d+)%`).ReplaceAllStringFunc(input, func(mark string) string {
		count, _ := strconv.Atoi(strings.Trim(mark, "%"))
		return strings.Repeat("x", count)
	})
}

// sendRaw sends raw bytes on a new connection and returns status/code of each
// response until the connection closes.
func sendRaw(t *testing.T, server *front.Server, input string) string {
	t.Helper()
	conn := dial(t, server)
	go func() { _, _ = io.WriteString(conn, input) }()
	var responses []string
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return strings.Join(responses, " ")
		}
		_, _ = io.Copy(io.Discard, response.Body)
		responses = append(responses, strconv.Itoa(response.StatusCode)+"/"+response.Header.Get(front.HeaderCode))
	}
}

func TestClosedConnectionCancelsContext(t *testing.T) {
	canceled := make(chan struct{})
	server := startServer(t, front.DefaultLimits(), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "x")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(canceled)
	})
	conn := dial(t, server)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	<-canceled
}

func TestIncompleteRequestTimesOutOnce(t *testing.T) {
	limits := front.DefaultLimits()
	limits.RequestTimeout = 50 * time.Millisecond
	server := startServer(t, limits, func(http.ResponseWriter, *http.Request) { t.Error("incomplete request reached the handler") })
	got := sendRaw(t, server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
	if got != "408/1015" {
		t.Fatalf("responses = %s, want 408/1015", got)
	}
}

func TestLimitsBodyBytesOfAllConnections(t *testing.T) {
	limits := front.DefaultLimits()
	limits.TotalBodyBytes = 8 << 10
	server := startServer(t, limits, func(http.ResponseWriter, *http.Request) {})
	var conns []net.Conn
	for range 3 {
		conn := dial(t, server)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 3000))
		conns = append(conns, conn)
	}
	response := make([]byte, 32)
	refused := make(chan string, len(conns))
	for _, conn := range conns {
		go func() {
			n, _ := conn.Read(response[:len(response):len(response)])
			refused <- string(bytes.Clone(response[:n]))
		}()
	}
	if got := <-refused; !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Fatalf("first response = %q, want status 503", got)
	}
}

func TestStopFinishesRunningStreams(t *testing.T) {
	const streams, parts = 50, 20
	server := startServer(t, front.DefaultLimits(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		w.WriteHeader(http.StatusOK)
		for range parts {
			_, _ = io.WriteString(w, "part\n")
			w.(http.Flusher).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	results := make(chan error, streams)
	started := make(chan struct{}, streams)
	for range streams {
		go func() { results <- readStream(server.Address(), parts, started) }()
	}
	for range streams {
		<-started
	}
	if interrupted := server.Stop(context.Background()); interrupted != 0 {
		t.Errorf("server.Stop() = %d interrupted requests, want 0", interrupted)
	}
	for range streams {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

func readStream(address string, parts int, started chan<- struct{}) error {
	response, err := http.Get("http://" + address + "/")
	started <- struct{}{}
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if bytes.Count(data, []byte("\n")) != parts {
		return errors.New("stream ended before its last part")
	}
	return nil
}

// A connection that is idle while the server stops must be closed at once: a
// request that arrived on it later would be interrupted when the server ends.
func TestStopClosesIdleConnectionsFirst(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server := startServer(t, front.DefaultLimits(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		}
		w.Header().Set("Content-Length", "2")
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "ok")
	})
	idle, busy := dial(t, server), dial(t, server)
	_, _ = io.WriteString(idle, "GET /quick HTTP/1.1\r\nHost: x\r\n\r\n")
	reader := bufio.NewReader(idle)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(response.Body)
	_, _ = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	stopped := make(chan int64)
	go func() { stopped <- server.Stop(context.Background()) }()
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read from the idle connection: error = %v, want EOF", err)
	}
	close(release)
	response, err = http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("response on the busy connection = %v, %v, want status 200", response, err)
	}
	if interrupted := <-stopped; interrupted != 0 {
		t.Errorf("server.Stop() = %d interrupted requests, want 0", interrupted)
	}
}
