package proxy_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
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
