package usage

import "sync"

// copyProgress tracks the time up to which all counts are confirmed by one
// replica.
type copyProgress struct {
	mu              sync.Mutex          // also orders the taking of changes
	unconfirmed     map[*copyRound]bool // rounds in flight
	lastBeginMS     int64               // time at which the last round began
	requeuedAfterMS int64               // failed rounds requeued counts made after this time; 0 for none
}

func newCopyProgress() copyProgress {
	return copyProgress{unconfirmed: map[*copyRound]bool{}}
}

// begin adds a round that takes all changes at nowMS. It returns the time up to
// which all counts are either in the round or confirmed.
func (progress *copyProgress) begin(round *copyRound, nowMS int64) int64 {
	completeUntilMS := nowMS
	for other := range progress.unconfirmed {
		completeUntilMS = min(completeUntilMS, other.countedAfterMS)
	}
	round.countedAfterMS = progress.lastBeginMS
	if progress.requeuedAfterMS > 0 {
		round.countedAfterMS = min(round.countedAfterMS, progress.requeuedAfterMS)
	}
	progress.requeuedAfterMS = 0
	progress.lastBeginMS = nowMS
	progress.unconfirmed[round] = true
	return completeUntilMS
}

// end removes a round. The changes of an unconfirmed one become part of the
// next round.
func (progress *copyProgress) end(round *copyRound, confirmed bool) {
	delete(progress.unconfirmed, round)
	if confirmed {
		return
	}
	if progress.requeuedAfterMS == 0 || round.countedAfterMS < progress.requeuedAfterMS {
		progress.requeuedAfterMS = max(round.countedAfterMS, 1)
	}
}
