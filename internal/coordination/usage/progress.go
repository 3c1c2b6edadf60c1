package usage

import "sync"

// progress tells up to which time all counts are confirmed by the holder.
type progress struct {
	mu       sync.Mutex      // also orders the taking of changes
	rounds   map[*round]bool // rounds that are not confirmed
	beganMS  int64           // when the last round began
	returned int64           // after this time counts were returned by failed rounds, 0 for none
}

func newProgress() progress {
	return progress{rounds: map[*round]bool{}}
}

// begin adds a round that takes all changes at nowMS, and returns the time up
// to which all counts are in it or confirmed.
func (progress *progress) begin(round *round, nowMS int64) int64 {
	atMS := nowMS
	for other := range progress.rounds {
		atMS = min(atMS, other.sinceMS)
	}
	round.sinceMS = progress.beganMS
	if progress.returned > 0 {
		round.sinceMS = min(round.sinceMS, progress.returned)
	}
	progress.returned = 0
	progress.beganMS = nowMS
	progress.rounds[round] = true
	return atMS
}

// end removes a round. The changes of one that was not confirmed are in the
// next round.
func (progress *progress) end(round *round, confirmed bool) {
	delete(progress.rounds, round)
	if confirmed {
		return
	}
	if progress.returned == 0 || round.sinceMS < progress.returned {
		progress.returned = max(round.sinceMS, 1)
	}
}
