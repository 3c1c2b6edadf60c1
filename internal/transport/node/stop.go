package node

import (
	"context"
	"time"
)

// Stop takes the instance out of the balancer's rotation and serves on until
// that has happened. Then it takes no more requests, lets those in flight end,
// at most for the grace, and ends. It returns how many requests were cut.
func (node *Node) Stop() int64 {
	limit := time.Now().Add(node.settings.Bounds.Grace - endSlack)
	node.stopping.Store(true)
	node.proxy.Drain()
	time.Sleep(min(leastOut, time.Until(limit)))
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	cut := node.servers[0].Stop(ctx)
	node.servers[1].Stop(ctx)
	node.end()
	return cut
}

// end stops all goroutines.
func (node *Node) end() {
	removeCtx, cancel := context.WithTimeout(context.Background(), endSlack/2)
	defer cancel()
	if err := node.store.Remove(removeCtx, memberPrefix+node.settings.Instance); err != nil {
		node.logger.Warn().Err(err).Str("part", "node").Msg("own row is not removed")
	}
	node.cancel()
	limit := time.After(endSlack / 2)
	for _, done := range node.ended {
		select {
		case <-done:
		case <-limit:
			return
		}
	}
	select {
	case err := <-node.leased:
		if err != nil {
			node.logger.Warn().Err(err).Str("part", "node").Msg("lease is not released and will lapse")
		}
	case <-limit:
	}
	for i, server := range node.inner {
		_ = server.Close()
		<-node.served[i]
	}
}
