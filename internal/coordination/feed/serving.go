package feed

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// FreshLimit is how long a proof that a note is the newest lets an instance
// take keyed work.
const FreshLimit = 4 * time.Second

// proof states that the store's head had a number at some instant. The instant
// lies before the read or the call that proved it, on this instance's clock.
type proof struct {
	number  uint64
	at      time.Time
	heardAt time.Time // when this instance learnt of it
}

// Serving returns nil while the instance may take keyed work: while it has
// proof from the last FreshLimit that its note is the newest, got from the
// store by itself or by a peer; or else while more than half of the instances
// answer it and none knows of a newer note, so that the store is lost to them
// too. Errors have code.NotReady before the first note, and
// code.InstanceIsolated.
func (feed *Feed) Serving() error {
	release := feed.inForce.Load()
	if release == nil {
		return code.Errorf(code.NotReady, "no release note is in force")
	}
	if elapsed(feed.Fresh()) <= FreshLimit {
		return nil
	}
	if feed.ahead.Load() != nil {
		return code.Errorf(code.InstanceIsolated, "a newer release note than %d exists and cannot be fetched", release.head.Number)
	}
	if !feed.peers.Majority(release.head.Number) {
		return code.Errorf(code.InstanceIsolated, "neither the store nor most instances answer")
	}
	return nil
}

// Fresh returns the latest instant at which the note in force is known to have
// been the newest, the zero time for none.
func (feed *Feed) Fresh() time.Time {
	if at := feed.fresh.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Witness takes a peer's proof that the store's head was number at an instant.
func (feed *Feed) Witness(number uint64, at time.Time) {
	feed.prove(number, at)
	feed.Offer(number)
}

// prove keeps the latest proof for the note in force and for one ahead of it.
// What proves an older note to have been the newest proves the one in force to
// have been at least as new.
func (feed *Feed) prove(number uint64, at time.Time) {
	feed.proofMu.Lock()
	defer feed.proofMu.Unlock()
	if number <= feed.Number() {
		feed.renew(at)
		return
	}
	ahead := feed.ahead.Load()
	if ahead == nil || number > ahead.number || number == ahead.number && at.After(ahead.at) {
		feed.ahead.Store(&proof{number: number, at: at, heardAt: time.Now()})
	}
}

// renew needs proofMu.
func (feed *Feed) renew(at time.Time) {
	if at.After(feed.Fresh()) {
		feed.fresh.Store(&at)
	}
}

// reach puts release in force and takes the proof that waited for it, in one
// step for those who hold proofMu.
func (feed *Feed) reach(release *release) {
	feed.proofMu.Lock()
	defer feed.proofMu.Unlock()
	feed.inForce.Store(release)
	if ahead := feed.ahead.Load(); ahead != nil && ahead.number <= release.head.Number {
		feed.renew(ahead.at)
		feed.ahead.Store(nil)
	}
}

// contradict forgets a peer's proof of a note that the store did not show in a
// read that began later.
func (feed *Feed) contradict(number uint64, readAt time.Time) {
	feed.proofMu.Lock()
	defer feed.proofMu.Unlock()
	ahead := feed.ahead.Load()
	if ahead != nil && number < ahead.number && readAt.After(ahead.heardAt) {
		feed.ahead.Store(nil)
	}
}

// elapsed returns the time since an instant by the monotonic or the wall
// clock, whichever moved further, since the monotonic one may stand still
// while a machine is suspended.
func elapsed(since time.Time) time.Duration {
	if since.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	now := time.Now()
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
