package back_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/fakes"
)

// upload is larger than the buffers of a connection to a fakes.RawServer, in bytes.
const upload = 8 << 20

func listenRaw(t *testing.T, handler fakes.RawHandler) string {
	t.Helper()
	server, err := fakes.ListenRaw(handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// callWhole sends a call and returns the whole response. The error is that of the call or of
// the body.
func callWhole(client *back.Client, call *back.Call) (*back.Response, string, error) {
	response, err := client.Do(context.Background(), call)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// The kernel reports a reset once: if the write of the upload is told, reads see the end of
// the stream. Guards against taking what came before the reset for a whole answer (MIXED).
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		address := listenRaw(t, fakes.ResetAfter("HTTP/1.1 200 OK\r\n\r\na part of the ", pause))
		for _, reuse := range []bool{false, true} {
			client := back.New()
			for range 40 {
				_, body, err := callWhole(client, &back.Call{Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, upload), ReuseConnection: reuse})
				if err == nil {
					t.Errorf("Do() with a reset after %v, reuse %t: body %q, nil, want an error", pause, reuse, body)
				}
			}
			client.Close()
		}
	}
}

// A target answers without a length before it has read the upload, and ends its side of the
// connection. Guards against taking the end of such a whole answer for a reset, whether the
// target reads on or resets the connection later, when it gets more of the upload.
func TestEndDuringUploadIsEndOfResponse(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"read to its end": func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		"reset later": func(conn *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
	} {
		address := listenRaw(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe whole answer")
			_ = conn.CloseWrite()
			end(conn)
		})
		client := back.New()
		for range 20 {
			if _, body, err := callWhole(client, &back.Call{Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, upload)}); body != "the whole answer" || err != nil {
				t.Errorf("Do(), upload %s: %q, %v, want the whole answer", name, body, err)
			}
		}
		client.Close()
	}
}

// A target answers with a name of a field that holds a byte that it may not hold. Guards against a
// response without that field (MIXED), and against another call on the connection.
func TestResponseWithBrokenFieldNameIsNone(t *testing.T) {
	var broken sync.Map // addresses of callers that got a broken response
	address := listenRaw(t, func(conn *net.TCPConn, request *http.Request) {
		peer := conn.RemoteAddr().String()
		line := "X-Sound: 1"
		if request.URL.Path == "/broken" {
			line = request.Header.Get("X-Line")
			line, _ = strconv.Unquote(line)
			broken.Store(peer, true)
		} else if _, used := broken.Load(peer); used {
			t.Error("Do() uses the connection of a broken response")
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n")
	})
	for _, line := range []string{"X-Broken : 1", "X Broken: 1", "Not-Executed : 1", "X-Broken\t: 1", "X-\x01Broken: 1", "X-Broken\x7f: 1", "X-Br\xc3\xb6ken: 1", "X(Broken): 1", ": 1", "X-Sound: 1\r\n X-Broken: 1", "X-Sound: 1\r\n\tNot-Executed: 1"} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			client := back.New()
			defer client.Close()
			_, _, err := callWhole(client, &back.Call{
				Address: address, Method: http.MethodPost, Path: "/broken", ReuseConnection: true,
				Header: http.Header{"X-Line": {strconv.QuoteToASCII(line)}},
			})
			checkErrorState(t, err, back.MayHaveRun)
			if _, _, err := callWhole(client, &back.Call{Address: address, Method: http.MethodPost, Path: "/sound", ReuseConnection: true}); err != nil {
				t.Errorf("Do() after a broken response = %v", err)
			}
		})
	}
}
