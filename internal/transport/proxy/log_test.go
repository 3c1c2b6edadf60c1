package proxy_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/proxy"
)

// The log line of a failed request must tell a connection that its target closed
// from one that was reset: only then can its cause be found afterwards.
func TestLogNamesEndOfTargetConnection(t *testing.T) {
	closeWith := func(reset bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	for want, reset := range map[string]bool{":closed": false, ":reset": true} {
		harness := newHarness(t)
		harness.startTarget("s1", "desk", site.NoStage, closeWith(reset))
		harness.do(harness.newRequest(http.MethodPost, "/book/x"))
		if log := harness.log.String(); !strings.Contains(log, want) {
			t.Errorf("log = %s, want a call that ends in %q", log, want)
		}
	}
}

// The log line of a request that the manifest does not allow must tell a manifest that lacks
// the route or the key from one that is out of date.
func TestLogTellsManifestOfDeniedRequests(t *testing.T) {
	age := func() (time.Duration, time.Duration) { return 7 * time.Second, 300 * time.Millisecond }
	for name, change := range map[string]func(*http.Request){
		"host": func(request *http.Request) { request.Host = "other.example" },
		"path": func(request *http.Request) { request.URL.Path = "/none/x" },
		"key":  func(request *http.Request) { request.Header.Set("Authorization", "Bearer other") },
	} {
		harness := newHarness(t, proxy.WithManifestAge(age))
		request := harness.newRequest(http.MethodPost, "/book/x")
		change(request)
		harness.do(request)
		harness.front.Close() // waits for the log line
		for _, field := range []string{`"manifest":1`, `"host":"` + request.Host, `"path":"` + request.URL.Path, `"manifest-age-ms":7000`, `"store-contact-age-ms":300`} {
			if log := harness.log.String(); !strings.Contains(log, field) {
				t.Errorf("log of a request denied for its %s = %s, want %s", name, log, field)
			}
		}
	}
}
