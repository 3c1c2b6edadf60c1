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

const guardTime = 20 * time.Second

func start(t *testing.T, limits front.Limits, handler http.HandlerFunc) *front.Server {
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
	_ = conn.SetDeadline(time.Now().Add(guardTime))
	return conn
}

func TestFramingCases(t *testing.T) {
	data, err := os.ReadFile("testdata/framing.txt")
	if err != nil {
		t.Fatal(err)
	}
	limits := front.DefaultLimits()
	limits.HeaderBytes, limits.BodyBytes, limits.LingerTimeout = 4<<10, 3<<10, 50*time.Millisecond
	server := start(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hidden" {
			t.Error("a hidden request was run")
		}
		w.WriteHeader(http.StatusOK)
		_, _ = io.Copy(w, r.Body)
	})
	for _, section := range strings.Split(string(data), "\n-- ")[1:] {
		name, rest, _ := strings.Cut(section, "\n")
		input, want, _ := strings.Cut(rest, "=> ")
		t.Run(name, func(t *testing.T) {
			if got := exchange(t, server, expand(input)); got != strings.TrimSpace(want) {
				t.Fatalf("got %s", got)
			}
		})
	}
}

// expand turns line ends into those of the protocol and %N% into N bytes.
func expand(input string) string {
	input = strings.ReplaceAll(input, "\n", "\r\n")
	return regexp.MustCompile(`%(\d+)%`).ReplaceAllStringFunc(input, func(mark string) string {
		count, _ := strconv.Atoi(strings.Trim(mark, "%"))
		return strings.Repeat("x", count)
	})
}

func exchange(t *testing.T, server *front.Server, input string) string {
	t.Helper()
	conn := dial(t, server)
	go func() { _, _ = io.WriteString(conn, input) }()
	var answers []string
	reader := bufio.NewReader(conn)
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return strings.Join(answers, " ")
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		answers = append(answers, strconv.Itoa(answer.StatusCode)+"/"+answer.Header.Get(front.HeaderCode))
	}
}

func TestCallerThatLeavesCancelsContext(t *testing.T) {
	gone := make(chan struct{})
	server := start(t, front.DefaultLimits(), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "x")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(gone)
	})
	conn := dial(t, server)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	<-gone
}

func TestHalfRequestIsRefusedOnce(t *testing.T) {
	limits := front.DefaultLimits()
	limits.RequestTimeout = 50 * time.Millisecond
	server := start(t, limits, func(http.ResponseWriter, *http.Request) { t.Error("half a request was run") })
	got := exchange(t, server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
	if got != "408/1015" {
		t.Fatalf("got %s", got)
	}
}

func TestBodiesTogetherAreBounded(t *testing.T) {
	limits := front.DefaultLimits()
	limits.AllBodiesBytes = 8 << 10
	server := start(t, limits, func(http.ResponseWriter, *http.Request) {})
	var conns []net.Conn
	for range 3 {
		conn := dial(t, server)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 3000))
		conns = append(conns, conn)
	}
	answer := make([]byte, 32)
	refused := make(chan string, len(conns))
	for _, conn := range conns {
		go func() {
			n, _ := conn.Read(answer[:len(answer):len(answer)])
			refused <- string(bytes.Clone(answer[:n]))
		}()
	}
	if got := <-refused; !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Fatalf("got %q", got)
	}
}

func TestStopCutsNoStream(t *testing.T) {
	const streams, parts = 50, 20
	server := start(t, front.DefaultLimits(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		w.WriteHeader(http.StatusOK)
		for range parts {
			_, _ = io.WriteString(w, "part\n")
			w.(http.Flusher).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	results := make(chan error, streams)
	begun := make(chan struct{}, streams)
	for range streams {
		go func() { results <- readStream(server.Address(), parts, begun) }()
	}
	for range streams {
		<-begun
	}
	if cut := server.Stop(context.Background()); cut != 0 {
		t.Errorf("%d requests cut", cut)
	}
	for range streams {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

func readStream(address string, parts int, begun chan<- struct{}) error {
	answer, err := http.Get("http://" + address + "/")
	begun <- struct{}{}
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if bytes.Count(data, []byte("\n")) != parts {
		return errors.New("stream was cut")
	}
	return nil
}

// A connection that is idle while the server stops is closed at once: a
// request that came on it later would be cut when the server ends.
func TestStopClosesIdleConnectionsFirst(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server := start(t, front.DefaultLimits(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
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
	<-begun
	stopped := make(chan int64)
	go func() { stopped <- server.Stop(context.Background()) }()
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection gives %v", err)
	}
	close(release)
	response, err = http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the busy connection gives %v, %v", response, err)
	}
	if cut := <-stopped; cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
}
