package feed

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// MaxProofAge is the age up to which a proof that the current note is the newest
// lets an instance accept requests that need an API key.
const MaxProofAge = 4 * time.Second

// proof states that the store's head had a number at some time.
type proof struct {
	number     uint64
	at         time.Time // on this instance's clock, before the read or call that proved it
	receivedAt time.Time // when this instance recorded it
}

// CheckServing returns nil while the instance may accept requests that need an API
// key. That is the case if one of these holds:
//
//   - It has proof, from the store or a peer and no older than MaxProofAge, that
//     its note is the newest.
//   - It knows of no newer note, more than half of the instances respond to it
//     and none of them knows of a newer note: they have lost the store too.
//
// Errors have code.NotReady before the first note, else code.InstanceIsolated.
func (feed *Feed) CheckServing() error {
	current := feed.current.Load()
	if current == nil {
		return code.Errorf(code.NotReady, "no release note is in force")
	}
	if timeSince(feed.ProvenAt()) <= MaxProofAge {
		return nil
	}
	if feed.aheadProof.Load() != nil {
		return code.Errorf(code.InstanceIsolated, "a newer release note than %d exists and cannot be fetched", current.head.Number)
	}
	if !feed.peers.HasMajority(current.head.Number) {
		return code.Errorf(code.InstanceIsolated, "neither the store nor most instances answer")
	}
	return nil
}

// ProvenAt returns the latest time at which the current note is known to have been
// the newest, or the zero time if there is no proof.
func (feed *Feed) ProvenAt() time.Time {
	if at := feed.provenAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ObserveProof records a peer's proof that the store's head had the number at a time
// on this instance's clock, and requests the note if it is newer.
func (feed *Feed) ObserveProof(number uint64, at time.Time) {
	feed.recordProof(number, at)
	feed.ObserveNumber(number)
}

// recordProof keeps the latest proof for the current note and for a newer one. A
// proof that an older note was the newest at some time holds for the current
// note as well, which is newer than that.
func (feed *Feed) recordProof(number uint64, at time.Time) {
	feed.proofMu.Lock()
	defer feed.proofMu.Unlock()
	if number <= feed.Number() {
		feed.advanceProvenAt(at)
		return
	}
	known := feed.aheadProof.Load()
	if known == nil || number > known.number || number == known.number && at.After(known.at) {
		feed.aheadProof.Store(&proof{number: number, at: at, receivedAt: time.Now()})
	}
}

// advanceProvenAt moves provenAt forward to at. It needs proofMu.
func (feed *Feed) advanceProvenAt(at time.Time) {
	if at.After(feed.ProvenAt()) {
		feed.provenAt.Store(&at)
	}
}

// setCurrent makes next the current snapshot and applies the pending proof for
// it, atomically with respect to holders of proofMu.
func (feed *Feed) setCurrent(next *snapshot) {
	feed.proofMu.Lock()
	defer feed.proofMu.Unlock()
	feed.current.Store(next)
	if pending := feed.aheadProof.Load(); pending != nil && pending.number <= next.head.Number {
		feed.advanceProvenAt(pending.at)
		feed.aheadProof.Store(nil)
	}
}

// dropContradictedProof drops a peer's proof of a newer note if a read of the
// store that began after its receipt returned a lower number.
func (feed *Feed) dropContradictedProof(number uint64, readAt time.Time) {
	feed.proofMu.Lock()
	defer feed.proofMu.Unlock()
	pending := feed.aheadProof.Load()
	if pending != nil && number < pending.number && readAt.After(pending.receivedAt) {
		feed.aheadProof.Store(nil)
	}
}

// timeSince returns the time elapsed by the monotonic or the wall clock,
// whichever advanced further: the monotonic clock may stop while a machine is
// suspended.
func timeSince(since time.Time) time.Duration {
	if since.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	now := time.Now()
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
