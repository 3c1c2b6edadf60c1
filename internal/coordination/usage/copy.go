package usage

import (
	"context"
	"errors"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
)

// retryShare is how many times a worker tries again within the copy timeout.
const retryShare = 8

// Start copies what Record counts until ctx ends. The channel gives nil when
// all copies have ended.
func (meter *Meter) Start(ctx context.Context) <-chan error {
	ended := make(chan error, meter.settings.workers)
	for worker := range meter.settings.workers {
		go func() {
			meter.work(ctx, worker == 0)
			ended <- nil
		}()
	}
	result := make(chan error, 1)
	go func() {
		var errs []error
		for range meter.settings.workers {
			errs = append(errs, <-ended)
		}
		result <- errors.Join(errs...)
	}()
	return result
}

// work runs one copy after another. One worker sends the heartbeats.
func (meter *Meter) work(ctx context.Context, beats bool) {
	for ctx.Err() == nil {
		if meter.await(ctx, beats) {
			meter.copyRound(ctx)
		}
	}
}

func (meter *Meter) await(ctx context.Context, beats bool) bool {
	var beat <-chan time.Time
	if beats {
		timer := time.NewTimer(meter.jitter(meter.settings.heartbeat))
		defer timer.Stop()
		beat = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-beat:
		return true
	case <-meter.wake:
		return true
	}
}

// copyRound copies what changed since the last copy, and wakes the records that
// wait for it. A replica that does not have all counts gets them then.
func (meter *Meter) copyRound(ctx context.Context) {
	holder, whole := meter.copyChanges(ctx)
	switch {
	case holder == "":
		pause.For(ctx, meter.jitter(meter.settings.copyTimeout/retryShare))
	case !whole:
		meter.follow(ctx, holder)
	}
}

// copyChanges returns the replica that took the changes, and whether that
// replica has all earlier ones.
func (meter *Meter) copyChanges(ctx context.Context) (string, bool) {
	meter.gate.enter()
	defer meter.gate.leave()
	round, batches, expected := meter.beginRound()
	holder, err := meter.place(ctx, batches)
	whole := err == nil && holder == expected
	meter.endRound(round, batches, whole)
	round.err = err
	close(round.done)
	meter.degraded.Store(err != nil)
	return holder, whole
}

// beginRound takes the changes and replaces the round that records wait for.
// The round is replaced first, so that each record that waits for it is in a
// tally by then.
func (meter *Meter) beginRound() (*round, []Batch, string) {
	meter.progress.mu.Lock()
	defer meter.progress.mu.Unlock()
	round := meter.pending.Swap(newRound())
	atMS := meter.progress.begin(round, time.Now().UnixMilli())
	expected := meter.Status().Holder
	batches := meter.changes(atMS, expected)
	return round, batches, expected
}

// endRound makes the changes wait for a copy again if they were not confirmed
// by the replica that has all the others.
func (meter *Meter) endRound(round *round, batches []Batch, whole bool) {
	meter.progress.mu.Lock()
	defer meter.progress.mu.Unlock()
	if !whole {
		meter.returnChanges(batches)
	}
	meter.progress.end(round, whole)
}

// changes returns what changed since the last copy, or an empty batch of the
// current window.
func (meter *Meter) changes(atMS int64, holder string) []Batch {
	var batches []Batch
	for _, tally := range meter.unsettled() {
		if lines := tally.takeDirty(); len(lines) > 0 {
			batches = append(batches, meter.batch(tally.window, lines, atMS))
		}
	}
	if len(batches) == 0 {
		batches = append(batches, meter.batch(meter.current.Load().window, nil, atMS))
	}
	for i := range batches {
		batches[i].Holder = holder
	}
	return batches
}

func (meter *Meter) returnChanges(batches []Batch) {
	for _, tally := range meter.unsettled() {
		for _, batch := range batches {
			if batch.Window == tally.window {
				tally.markDirty(batch.Lines)
			}
		}
	}
}

// place gives batches to the first replica that takes them, all within the
// copy timeout.
func (meter *Meter) place(ctx context.Context, batches []Batch) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, meter.settings.copyTimeout)
	defer cancel()
	var last error
	for i, replica := range meter.replicas {
		holder, err := meter.try(ctx, replica, len(meter.replicas)-i, batches)
		if err == nil {
			return holder, nil
		}
		last = err
	}
	if !meter.degraded.Load() {
		meter.settings.logger.Warn().Err(last).Msg("no replica takes a copy")
	}
	return "", code.Wrap(last, code.WriteUnknown, "no replica takes a copy")
}

// try leaves an equal part of the remaining time to each later replica.
func (meter *Meter) try(ctx context.Context, replica Replica, left int, batches []Batch) (string, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
	defer cancel()
	started := time.Now()
	holder, err := replica.Copy(ctx, batches)
	meter.metrics.copySeconds.Observe(time.Since(started).Seconds())
	return holder, err
}

// follow gives a new holder all counts that are not settled, since the one
// before it may be lost. No other copy is on its way meanwhile.
func (meter *Meter) follow(ctx context.Context, holder string) {
	meter.gate.enterAlone()
	defer meter.gate.leaveAlone()
	if meter.Status().Holder == holder {
		return
	}
	atMS := time.Now().UnixMilli()
	var batches []Batch
	for _, tally := range meter.unsettled() {
		batch := meter.batch(tally.window, tally.lines(), atMS)
		batch.Holder = holder
		batches = append(batches, batch)
	}
	placed, err := meter.place(ctx, batches)
	if err == nil && placed == holder {
		meter.mu.Lock()
		meter.holder = holder
		meter.mu.Unlock()
	}
}

// Handoff ends the current and the next window, and gives the final figures of
// all windows, and the copies of WithHolder, to two replicas that answer with
// different names, or to one if the Meter has no fallback. The instance can end
// then. It tries until ctx ends. Call it after the last answer.
func (meter *Meter) Handoff(ctx context.Context) error {
	last := meter.current.Load().window + 1
	meter.close(last)
	batches := meter.finals(last)
	if meter.settings.holder != nil {
		batches = append(batches, meter.settings.holder.copies()...)
	}
	holders := map[string]bool{}
	for len(holders) < min(2, len(meter.replicas)) {
		err := meter.handoffOnce(ctx, batches, holders)
		if ctx.Err() != nil {
			return code.Wrap(errors.Join(ctx.Err(), err), code.WriteUnknown, "the figures were not handed off")
		}
		if err != nil {
			pause.For(ctx, meter.jitter(meter.settings.copyTimeout))
		}
	}
	return nil
}

func (meter *Meter) handoffOnce(ctx context.Context, batches []Batch, holders map[string]bool) error {
	var errs []error
	for _, replica := range meter.replicas {
		ctx, cancel := context.WithTimeout(ctx, meter.settings.copyTimeout)
		holder, err := replica.Copy(ctx, batches)
		cancel()
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if holders[holder] {
			errs = append(errs, code.Errorf(code.Internal, "two replicas are the same one"))
		}
		holders[holder] = true
	}
	return errors.Join(errs...)
}

func (meter *Meter) jitter(delay time.Duration) time.Duration {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return delay/2 + time.Duration(meter.random.Int64N(int64(delay)))
}
