package feed

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
)

const (
	storeTimeout      = 5 * time.Second
	startSpread       = time.Second
	pollCheckInterval = 200 * time.Millisecond
	pollMinInterval   = time.Second
	pollPerInstance   = 100 * time.Millisecond // so that all instances make 10 reads a second
	staleLimit        = 2 * time.Second
	backoffMaxShift   = 2
	deltasMax         = 4 // notes fetched singly before the whole catalog is
)

// poll reads the head row now and then, more often while neither the store nor
// most peers have answered of late. The first read is left out if peers were
// faster.
func (feed *Feed) poll(ctx context.Context, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	failures, first, cutOff := 0, true, true
	due := time.Now().Add(feed.randomBelow(startSpread))
	for ctx.Err() == nil {
		pause.For(ctx, min(time.Until(due), feed.jitter(pollCheckInterval)))
		wasCutOff := cutOff
		cutOff = feed.cutOff()
		if feed.hurried() || cutOff && !wasCutOff {
			due = earlier(due, time.Now().Add(feed.randomBelow(pollMinInterval)))
		}
		if time.Now().Before(due) || ctx.Err() != nil {
			continue
		}
		if !first || elapsed(feed.Fresh()) > staleLimit {
			failures = feed.refreshed(ctx, failures)
		}
		first = false
		due = time.Now().Add(feed.jitter(feed.pollInterval(failures)))
	}
}

// refreshed polls once and returns the count of failures in a row.
func (feed *Feed) refreshed(ctx context.Context, failures int) int {
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
		feed.log.Warn().Err(err).Msg("store does not give the release notes")
	}
	return failures + 1
}

// pollInterval grows with the number of instances, so that their reads
// together do not, and with failures in a row.
func (feed *Feed) pollInterval(failures int) time.Duration {
	interval := pollMinInterval
	if !feed.cutOff() {
		interval = max(interval, time.Duration(feed.peers.Count())*pollPerInstance)
	}
	return interval << min(failures, backoffMaxShift)
}

// cutOff reports that peers bring no proof and do not show that they lost the
// store as well.
func (feed *Feed) cutOff() bool {
	return elapsed(feed.Fresh()) > staleLimit && !feed.peers.Majority(feed.Number())
}

// refresh reads the head row and brings its note in force.
func (feed *Feed) refresh(ctx context.Context) error {
	readAt := time.Now()
	head, _, err := readHead(ctx, feed.store)
	if err != nil {
		feed.refuseMalformed(err)
		return err
	}
	number := feed.Number()
	if head.Number < number {
		err := malformed("store's head %d is below the note in force, %d", head.Number, number)
		feed.refuse("reverted", err)
		return err
	}
	if err := feed.checkFork(head); err != nil {
		return err
	}
	feed.prove(head.Number, readAt)
	feed.contradict(head.Number, readAt)
	if head.Number == number {
		return nil
	}
	err = feed.catchUp(ctx, head)
	if err != nil {
		feed.refuseMalformed(err)
		feed.Offer(head.Number)
	}
	return err
}

// checkFork refuses another note under the number in force, or one that
// follows another.
func (feed *Feed) checkFork(head Head) error {
	current := feed.inForce.Load()
	if current == nil || !current.forks(head) {
		return nil
	}
	err := malformed("head %d does not agree with the note in force, %d", head.Number, current.head.Number)
	feed.refuse("forked", err)
	return err
}

// catchUp loads the notes up to head one by one, or the whole catalog if there
// are many or one of them cannot be applied.
func (feed *Feed) catchUp(ctx context.Context, head Head) error {
	if head.Number-feed.Number() <= deltasMax && feed.loadNotes(ctx, head) == nil {
		return nil
	}
	if feed.Number() >= head.Number {
		return nil
	}
	data, err := loadCatalog(ctx, feed.store, head)
	if err != nil {
		return err
	}
	return feed.installCatalog(head, nil, data)
}

func (feed *Feed) loadNotes(ctx context.Context, newest Head) error {
	for number := feed.Number() + 1; number <= newest.Number; number++ {
		head := newest
		var err error
		if number < newest.Number {
			head, err = readLog(ctx, feed.store, number)
		}
		if err != nil {
			return err
		}
		data, err := loadNote(ctx, feed.store, head)
		if err != nil {
			return err
		}
		if err := feed.installNote(head, data); err != nil {
			return err
		}
	}
	return nil
}

func (feed *Feed) refuseMalformed(err error) {
	if !code.Is(err, code.StoreDown) {
		feed.refuse("malformed", err)
	}
}

func (feed *Feed) hurried() bool {
	select {
	case <-feed.hurry:
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
