package node

import (
	"context"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

// detourCheckInterval is the time between two looks for forwarded requests that a
// stopping instance still runs.
const detourCheckInterval = 10 * time.Millisecond

// Stop drains the instance and ends it, by the StopSchedule of the grace period. It fails
// the readiness check and keeps serving until the load balancer has taken the instance out
// of rotation, then refuses requests and waits for those in flight. Requests that last too
// long are ended with an error. It returns the number of requests that were interrupted
// without an answer.
func (node *Node) Stop() int64 {
	started, schedule := time.Now(), NewStopSchedule(node.settings.Bounds.ShutdownGrace)
	callers := node.servers[0]
	node.stopping.Store(true)
	node.mesh.BroadcastNext()
	node.proxy.Drain()
	defer time.AfterFunc(schedule.EndRequests, func() {
		callers.RefuseArriving()
		node.proxy.End()
	}).Stop()
	time.Sleep(time.Until(started.Add(schedule.TakeUntil)))
	node.logger.Info().Str("part", "node").Int64("active", callers.ActiveRequests()).Int64("forwarded", node.detourServer.ActiveRequests()).
		Msg("instance takes no more requests")
	callers.RefuseLate()
	node.detourServer.Refuse()
	time.Sleep(time.Until(started.Add(schedule.ListenUntil)))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(schedule.AnswerUntil))
	defer cancel()
	interrupted := callers.Finish(ctx)
	for node.detourServer.ActiveRequests() > 0 && pause.For(ctx, detourCheckInterval) {
		continue // the instance that forwarded the request waits for its response
	}
	interrupted += node.detourServer.ActiveRequests()
	node.shutDown(min(maxShutdownTime, time.Until(started.Add(schedule.Exit))))
	return interrupted
}

const (
	// maxShutdownTime bounds the end of a process whose requests have ended.
	maxShutdownTime = 700 * time.Millisecond
	// internalCloseTime is what the last responses to peers need. Peers that wait for changes
	// of a table get none.
	internalCloseTime = 50 * time.Millisecond
)

// shutDown removes the member row, stops the goroutines and closes the servers.
func (node *Node) shutDown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, server := range node.servers {
		closing.Go(func() { server.Stop(ctx) })
	}
	closing.Go(node.closeInternalServers)
	node.removeMemberRow(timeout / 2)
	node.stopLoops(ctx)
	closing.Wait()
}

func (node *Node) removeMemberRow(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := node.store.Remove(ctx, memberKeyPrefix+node.settings.Instance); err != nil {
		node.logger.Warn().Str("part", "node").Err(err).Msg("member row of this instance cannot be removed")
	}
}

// stopLoops stops the background goroutines and gives the lease up, until ctx ends.
func (node *Node) stopLoops(ctx context.Context) {
	node.cancel()
	for _, done := range node.loopsDone {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
	select {
	case err := <-node.leaseDone:
		if err != nil {
			node.logger.Warn().Err(err).Str("part", "node").Msg("lease cannot be released and will expire")
		}
	case <-ctx.Done():
	}
}

func (node *Node) closeInternalServers() {
	ctx, cancel := context.WithTimeout(context.Background(), internalCloseTime)
	defer cancel()
	for i, server := range node.internalServers {
		_ = server.Shutdown(ctx)
		_ = server.Close()
		<-node.internalDone[i]
	}
}
