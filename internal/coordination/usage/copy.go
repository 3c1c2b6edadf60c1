package usage

import (
	"context"
	"errors"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
)

// retriesPerCopyTimeout is the number of retries of a worker within one copy
// timeout.
const retriesPerCopyTimeout = 8

// Start copies recorded lines to replicas until ctx ends. The channel then
// delivers nil, once all copies in flight have ended.
func (meter *Meter) Start(ctx context.Context) <-chan error {
	ended := make(chan error, meter.settings.copyWorkers)
	for worker := range meter.settings.copyWorkers {
		go func() {
			meter.runWorker(ctx, worker == 0)
			ended <- nil
		}()
	}
	result := make(chan error, 1)
	go func() {
		var errs []error
		for range meter.settings.copyWorkers {
			errs = append(errs, <-ended)
		}
		result <- errors.Join(errs...)
	}()
	return result
}

// runWorker runs one copy round after another. Only one worker sends
// heartbeats.
func (meter *Meter) runWorker(ctx context.Context, sendsHeartbeats bool) {
	for ctx.Err() == nil {
		if meter.waitForWork(ctx, sendsHeartbeats) {
			meter.runRound(ctx)
		}
	}
}

func (meter *Meter) waitForWork(ctx context.Context, sendsHeartbeats bool) bool {
	var heartbeat <-chan time.Time
	if sendsHeartbeats {
		timer := time.NewTimer(meter.jitter(meter.settings.heartbeatInterval))
		defer timer.Stop()
		heartbeat = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-heartbeat:
		return true
	case <-meter.wake:
		return true
	}
}

// runRound copies the changes since the last round and releases the records
// that wait for it. A replica that lacks earlier counts is then sent all of
// them.
func (meter *Meter) runRound(ctx context.Context) {
	replicaName, synced := meter.copyChanges(ctx)
	switch {
	case replicaName == "":
		pause.For(ctx, meter.jitter(meter.settings.copyTimeout/retriesPerCopyTimeout))
	case !synced:
		meter.resync(ctx, replicaName)
	}
}

// copyChanges returns the name of the replica that stored the changes, empty if
// none did, and whether that replica has all earlier counts too.
func (meter *Meter) copyChanges(ctx context.Context) (string, bool) {
	meter.copyLock.lockShared()
	defer meter.copyLock.unlockShared()
	round, batches, expected := meter.beginRound()
	replicaName, err := meter.copyToFirst(ctx, batches)
	synced := err == nil && replicaName == expected
	meter.endRound(round, batches, synced)
	round.err = err
	close(round.done)
	meter.degraded.Store(err != nil)
	return replicaName, synced
}

// beginRound takes the changes and starts a new pending round. The swap comes
// before the changes are taken: a record that waits for the old round has been
// counted by then, so its line is among the changes.
func (meter *Meter) beginRound() (*copyRound, []Batch, string) {
	meter.progress.mu.Lock()
	defer meter.progress.mu.Unlock()
	round := meter.pendingRound.Swap(newCopyRound())
	completeUntilMS := meter.progress.begin(round, time.Now().UnixMilli())
	expected := meter.Status().Replica
	batches := meter.takeChanges(completeUntilMS, expected)
	return round, batches, expected
}

// endRound marks the changes as dirty again unless the replica that has all
// earlier counts confirmed them.
func (meter *Meter) endRound(round *copyRound, batches []Batch, synced bool) {
	meter.progress.mu.Lock()
	defer meter.progress.mu.Unlock()
	if !synced {
		meter.requeueChanges(batches)
	}
	meter.progress.end(round, synced)
}

// takeChanges returns the changes since the last copy, or an empty batch of the
// current window as a heartbeat.
func (meter *Meter) takeChanges(completeUntilMS int64, replicaName string) []Batch {
	var batches []Batch
	for _, counts := range meter.listUnsettled() {
		if lines := counts.takeDirty(); len(lines) > 0 {
			batches = append(batches, meter.newBatch(counts.window, lines, completeUntilMS))
		}
	}
	if len(batches) == 0 {
		batches = append(batches, meter.newBatch(meter.currentCounts.Load().window, nil, completeUntilMS))
	}
	for i := range batches {
		batches[i].Replica = replicaName
	}
	return batches
}

func (meter *Meter) requeueChanges(batches []Batch) {
	for _, counts := range meter.listUnsettled() {
		for _, batch := range batches {
			if batch.Window == counts.window {
				counts.markDirty(batch.Lines)
			}
		}
	}
}

// copyToFirst copies batches to the first replica that accepts them, within the
// copy timeout for all attempts together.
func (meter *Meter) copyToFirst(ctx context.Context, batches []Batch) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, meter.settings.copyTimeout)
	defer cancel()
	var lastErr error
	for i, replica := range meter.replicas {
		replicaName, err := meter.copyTo(ctx, replica, len(meter.replicas)-i, batches)
		if err == nil {
			return replicaName, nil
		}
		lastErr = err
	}
	if !meter.degraded.Load() {
		meter.settings.logger.Warn().Err(lastErr).Msg("no replica accepted a copy of the usage counts")
	}
	return "", code.Wrap(lastErr, code.WriteUnknown, "no replica accepted a copy of the usage counts")
}

// copyTo limits the attempt to an equal share of the remaining time, so that
// the later replicas can still be tried.
func (meter *Meter) copyTo(ctx context.Context, replica Replica, remainingReplicas int, batches []Batch) (string, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(remainingReplicas))
	defer cancel()
	started := time.Now()
	replicaName, err := replica.Store(ctx, batches)
	meter.metrics.copySeconds.Observe(time.Since(started).Seconds())
	return replicaName, err
}

// resync sends all unsettled counts to a replica that lacks some of them, since
// the previous replica may be lost. It holds copyLock exclusively, so no other
// copy is in flight.
func (meter *Meter) resync(ctx context.Context, replicaName string) {
	meter.copyLock.lockExclusive()
	defer meter.copyLock.unlockExclusive()
	if meter.Status().Replica == replicaName {
		return
	}
	completeUntilMS := time.Now().UnixMilli()
	var batches []Batch
	for _, counts := range meter.listUnsettled() {
		batch := meter.newBatch(counts.window, counts.lines(), completeUntilMS)
		batch.Replica = replicaName
		batches = append(batches, batch)
	}
	storedBy, err := meter.copyToFirst(ctx, batches)
	if err == nil && storedBy == replicaName {
		meter.mu.Lock()
		meter.syncedReplica = replicaName
		meter.mu.Unlock()
	}
}

// Handoff closes the current and the next window, and sends the final counts of
// all windows, with the copies in the store set by WithReplicaStore, to two
// replicas that return different names, or to one if the Meter has no fallback.
// The instance can exit afterwards. It retries until ctx ends and then returns
// code.WriteUnknown. Call it after the last response.
func (meter *Meter) Handoff(ctx context.Context) error {
	last := meter.currentCounts.Load().window + 1
	meter.sealThrough(last)
	batches := meter.finalBatches(last)
	if meter.settings.replicaStore != nil {
		batches = append(batches, meter.settings.replicaStore.copies()...)
	}
	replicaNames := map[string]bool{}
	for len(replicaNames) < min(2, len(meter.replicas)) {
		err := meter.tryHandoff(ctx, batches, replicaNames)
		if ctx.Err() != nil {
			return code.Wrap(errors.Join(ctx.Err(), err), code.WriteUnknown, "the final usage counts were not handed off")
		}
		if err != nil {
			pause.For(ctx, meter.jitter(meter.settings.copyTimeout))
		}
	}
	return nil
}

func (meter *Meter) tryHandoff(ctx context.Context, batches []Batch, replicaNames map[string]bool) error {
	var errs []error
	for _, replica := range meter.replicas {
		ctx, cancel := context.WithTimeout(ctx, meter.settings.copyTimeout)
		replicaName, err := replica.Store(ctx, batches)
		cancel()
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if replicaNames[replicaName] {
			errs = append(errs, code.Errorf(code.Internal, "two replicas returned the same name"))
		}
		replicaNames[replicaName] = true
	}
	return errors.Join(errs...)
}

func (meter *Meter) jitter(delay time.Duration) time.Duration {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return delay/2 + time.Duration(meter.random.Int64N(int64(delay)))
}
