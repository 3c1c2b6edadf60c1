package feed

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
)

const (
	storeReadTimeout        = 5 * time.Second
	startJitter             = time.Second
	pollCheckInterval       = 200 * time.Millisecond
	minPollInterval         = time.Second
	pollIntervalPerInstance = 100 * time.Millisecond // 10 reads per second for the whole fleet
	staleProofAge           = 2 * time.Second
	maxPollBackoffShift     = 2
	maxSingleNotes          = 4 // notes fetched one by one; beyond that the whole catalog is
)

// pollStore reads the head row at intervals, which are shorter while the
// instance is isolated. The first read is skipped if a peer has already proven
// the current note to be the newest.
func (feed *Feed) pollStore(ctx context.Context, stopped chan<- struct{}) {
	defer func() { stopped <- struct{}{} }()
	failures, first, isolated := 0, true, true
	due := time.Now().Add(feed.randomBelow(startJitter))
	for ctx.Err() == nil {
		pause.For(ctx, min(time.Until(due), feed.jitter(pollCheckInterval)))
		wasIsolated := isolated
		isolated = feed.isIsolated()
		if feed.pollRequested() || isolated && !wasIsolated {
			due = earlier(due, time.Now().Add(feed.randomBelow(minPollInterval)))
		}
		if time.Now().Before(due) || ctx.Err() != nil {
			continue
		}
		if !first || timeSince(feed.ProvenAt()) > staleProofAge {
			failures = feed.pollOnce(ctx, failures)
		}
		first = false
		due = time.Now().Add(feed.jitter(feed.pollInterval(failures)))
	}
}

// pollOnce polls the store and returns the new number of consecutive failures.
func (feed *Feed) pollOnce(ctx context.Context, failures int) int {
	err := feed.refresh(ctx)
	if ctx.Err() != nil {
		return failures
	}
	feed.storeDown.Store(err != nil)
	if err == nil {
		feed.metrics.reads.WithLabelValues("answered").Inc()
		return 0
	}
	feed.metrics.reads.WithLabelValues("failed").Inc()
	if failures == 0 {
		feed.logger.Warn().Err(err).Msg("reading release notes from the store failed")
	}
	return failures + 1
}

// pollInterval returns the delay until the next poll. It grows with the number
// of instances, so that the read rate of the whole fleet does not, and with the
// number of consecutive failures. For an isolated instance it does not grow with
// the number of instances.
func (feed *Feed) pollInterval(failures int) time.Duration {
	interval := minPollInterval
	if !feed.isIsolated() {
		interval = max(interval, time.Duration(feed.peers.InstanceCount())*pollIntervalPerInstance)
	}
	return interval << min(failures, maxPollBackoffShift)
}

// isIsolated reports whether there is no recent proof and no majority of peers
// that would show that they have lost the store as well.
func (feed *Feed) isIsolated() bool {
	return timeSince(feed.ProvenAt()) > staleProofAge && !feed.peers.HasMajority(feed.Number())
}

// refresh reads the head row and installs its note if it is newer.
func (feed *Feed) refresh(ctx context.Context) error {
	readAt := time.Now()
	head, _, err := readHead(ctx, feed.store)
	if err != nil {
		feed.recordMalformed(err)
		return err
	}
	number := feed.Number()
	if head.Number < number {
		err := malformed("store's head %d is older than the current note %d", head.Number, number)
		feed.recordRefusal("reverted", err)
		return err
	}
	if err := feed.checkFork(head); err != nil {
		return err
	}
	feed.recordProof(head.Number, readAt)
	feed.dropContradictedProof(head.Number, readAt)
	if head.Number == number {
		return nil
	}
	err = feed.catchUp(ctx, head)
	if err != nil {
		feed.recordMalformed(err)
		feed.ObserveNumber(head.Number)
	}
	return err
}

// checkFork returns an error, and records the refusal, if head conflicts with
// the current note.
func (feed *Feed) checkFork(head Head) error {
	current := feed.current.Load()
	if current == nil || !current.conflictsWith(head) {
		return nil
	}
	err := malformed("head %d conflicts with the current note %d", head.Number, current.head.Number)
	feed.recordRefusal("forked", err)
	return err
}

// catchUp installs the notes up to head one by one, or the whole catalog if
// more than maxSingleNotes are missing or one of them cannot be applied.
func (feed *Feed) catchUp(ctx context.Context, head Head) error {
	if head.Number-feed.Number() <= maxSingleNotes && feed.installNotesFromStore(ctx, head) == nil {
		return nil
	}
	if feed.Number() >= head.Number {
		return nil
	}
	data, err := fetchCatalog(ctx, feed.store, head)
	if err != nil {
		return err
	}
	return feed.installCatalog(head, nil, data)
}

func (feed *Feed) installNotesFromStore(ctx context.Context, newest Head) error {
	for number := feed.Number() + 1; number <= newest.Number; number++ {
		head := newest
		var err error
		if number < newest.Number {
			head, err = readLogHead(ctx, feed.store, number)
		}
		if err != nil {
			return err
		}
		data, err := fetchNote(ctx, feed.store, head)
		if err != nil {
			return err
		}
		if err := feed.installNote(head, data); err != nil {
			return err
		}
	}
	return nil
}

func (feed *Feed) recordMalformed(err error) {
	if !code.Is(err, code.StoreDown) {
		feed.recordRefusal("malformed", err)
	}
}

func (feed *Feed) pollRequested() bool {
	select {
	case <-feed.pollSignal:
		return true
	default:
		return false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
