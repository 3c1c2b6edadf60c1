package mirror_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mangopier.example/mangopier/internal/state/table"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// Guards against keeping a head or a table without end of another instance.
func TestLargeAnswersOfMirrorsAreRefused(t *testing.T) {
	tables := mirror.New()
	tee := tables.Tee("targets", discardChanges{}, time.Now)
	filler := 0
	_, handler := tables.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Filler", strings.Repeat("x", filler))
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	fetch := func() error {
		_, err := mirror.NewClient().FetchTable(t.Context(), server.Listener.Addr().String(), "targets")
		return err
	}
	tee.Apply([]table.Change{{Key: "a", Version: 1, Value: bytes.Repeat([]byte("x"), 64<<10)}})
	if err := fetch(); err != nil {
		t.Errorf("FetchTable() of 64 KiB = %v, want none", err)
	}
	filler = 200 << 10
	if err := fetch(); err == nil {
		t.Error("FetchTable() with a head of 200 KiB succeeds, want an error")
	}
	filler = 0
	tee.Apply([]table.Change{{Key: "b", Version: 2, Value: bytes.Repeat([]byte("x"), 72<<20)}})
	if err := fetch(); err == nil {
		t.Error("FetchTable() of 72 MiB succeeds, want an error")
	}
}

// Guards against keeping a request without end, which anyone can send to a mirror.
func TestLargeRequestIsRefused(t *testing.T) {
	server := startMirror(t)
	server.tee.Apply([]table.Change{{Key: "a", Version: 1}})
	if _, err := mirror.NewClient().FetchTable(t.Context(), server.address, strings.Repeat("x", 1<<20)); err == nil || mirror.LacksTable(err) {
		t.Errorf("FetchTable() with a name of 1 MiB = %.100v, want a refusal before the table is looked up", err)
	}
}
