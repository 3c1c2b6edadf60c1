package front_test

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"testing"

	"mangopier.example/mangopier/internal/transport/front"
)

// Guards against a status that the server library does not know and replaces by 200: each
// status from 200 to 999 must reach the caller, also behind others on one connection, with
// a length, in chunks and without a body.
func TestEachStatusReachesCaller(t *testing.T) {
	server := startServer(t, front.DefaultLimits(), func(w http.ResponseWriter, r *http.Request) {
		status, _ := strconv.Atoi(r.URL.Query().Get("status"))
		body := "body of " + r.URL.Path
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		case "/empty":
			body = ""
		}
		w.WriteHeader(status)
		if body != "" && status != http.StatusNoContent && status != http.StatusNotModified {
			_, _ = io.WriteString(w, body)
		}
		if flusher, ok := w.(http.Flusher); ok && r.URL.Path == "/flushed" {
			flusher.Flush()
		}
	})
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	for status := http.StatusOK; status <= 999; status++ {
		for _, path := range []string{"/length", "/chunks", "/flushed", "/empty"} {
			_, _ = io.WriteString(conn, "GET "+path+"?status="+strconv.Itoa(status)+" HTTP/1.1\r\nHost: guides.example\r\n\r\n")
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("response to %s with status %d: %v", path, status, err)
			}
			body, err := io.ReadAll(response.Body)
			want := "body of " + path
			if path == "/empty" || status == http.StatusNoContent || status == http.StatusNotModified {
				want = ""
			}
			if response.StatusCode != status || string(body) != want || err != nil {
				t.Errorf("response to %s = %d %q, %v, want %d %q", path, response.StatusCode, body, err, status, want)
			}
		}
	}
}
