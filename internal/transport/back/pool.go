package back

import (
	"net/http"
	"sync/atomic"
	"time"
)

// pool holds the open connections to a target.
type pool struct {
	transport *http.Transport
	lastUsed  atomic.Int64 // start of the last call, in nanoseconds since the client was created
}

func (client *Client) newPool(now time.Duration) *pool {
	created := &pool{transport: &http.Transport{
		DialContext:            client.dialTarget,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        client.idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	created.lastUsed.Store(int64(now))
	return created
}

// dropUnusedPools discards the pools that no call has used for the idle timeout.
// Most are of targets that no longer exist. Calls in flight there go on.
func (client *Client) dropUnusedPools(now time.Duration) {
	client.pools.Range(func(address, loaded any) bool {
		unused := asPool(loaded)
		if now-time.Duration(unused.lastUsed.Load()) < client.idleTimeout {
			return true
		}
		if client.pools.CompareAndDelete(address, loaded) {
			unused.transport.CloseIdleConnections()
		}
		return true
	})
}

func asPool(loaded any) *pool {
	return loaded.(*pool) //nolint:forcetypeassert // the map holds pools only
}
