package back_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/transport/back"
)

// Guards against memory that grows with each target that ever was: targets come and
// go, each with an address of its own.
func TestPoolsOfFormerTargetsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idleTimeout = 4 * time.Second
		client := back.New(back.WithIdleTimeout(idleTimeout))
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // the calls choose a pool and open no connection
		call := func(address string) {
			_, _ = client.Do(ctx, &back.Call{Address: address, Method: http.MethodGet, Path: "/", Repeatable: true})
		}
		for i := range 20 {
			call(fmt.Sprintf("10.0.0.%d:1", i))
		}
		if got := client.PoolCount(); got != 20 {
			t.Errorf("PoolCount() of targets in use = %d, want 20", got)
		}
		time.Sleep(idleTimeout)
		call("10.0.0.0:1")
		call("10.0.0.1:1")
		time.Sleep(idleTimeout / 2)
		call("10.0.1.1:1")
		if got := client.PoolCount(); got != 3 {
			t.Errorf("PoolCount() after the idle timeout = %d, want 3: two in use and the new one", got)
		}
	})
}
