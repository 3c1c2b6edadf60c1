package node

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

// detourCheckInterval is the time between two looks for forwarded requests that a
// stopping instance still runs.
const detourCheckInterval = 10 * time.Millisecond

// answerReserve is the part of the grace period that is kept for answering requests
// that are still in flight.
const answerReserve = 200 * time.Millisecond

// Stop drains the instance and ends it. It fails the readiness check and keeps
// serving until the load balancer has taken the instance out of rotation, then
// accepts no more requests and waits for those in flight, at most for the grace
// period. Requests that last longer are ended with an error. It returns the number
// of requests that were interrupted without an answer.
func (node *Node) Stop() int64 {
	deadline := time.Now().Add(node.settings.Bounds.ShutdownGrace - shutdownReserve)
	node.stopping.Store(true)
	node.proxy.Drain()
	defer time.AfterFunc(time.Until(deadline)-answerReserve, node.proxy.End).Stop()
	time.Sleep(min(minDrainTime, time.Until(deadline)-answerReserve))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	interrupted := node.servers[0].Stop(ctx)
	for node.detourServer.ActiveRequests() > 0 && pause.For(ctx, detourCheckInterval) {
		continue // the instance that forwarded the request waits for its response
	}
	interrupted += node.detourServer.ActiveRequests()
	node.servers[1].Stop(ctx)
	node.shutDown()
	return interrupted
}

// shutDown removes the member row, stops the goroutines and closes the internal
// servers.
func (node *Node) shutDown() {
	removeCtx, cancel := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancel()
	if err := node.store.Remove(removeCtx, memberKeyPrefix+node.settings.Instance); err != nil {
		node.logger.Warn().Err(err).Str("part", "node").Msg("member row of this instance cannot be removed")
	}
	node.cancel()
	timeout := time.After(shutdownReserve / 2)
	for _, done := range node.loopsDone {
		select {
		case <-done:
		case <-timeout:
			return
		}
	}
	select {
	case err := <-node.leaseDone:
		if err != nil {
			node.logger.Warn().Err(err).Str("part", "node").Msg("lease cannot be released and will expire")
		}
	case <-timeout:
	}
	for i, server := range node.internalServers {
		_ = server.Close()
		<-node.internalDone[i]
	}
}
