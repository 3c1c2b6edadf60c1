package loader

import "math"

// site names a model in a data centre.
type site struct {
	name       string
	dataCenter string
}

// count holds the targets that are to hold a model, in a data centre or in
// all of them.
type count struct {
	holders int
	serving int // take work
	loading int // load weights
	coming  int // take no work, but load or lack weights
}

// board counts the loads in progress while others are admitted.
type board struct {
	state    State
	share    float64
	local    map[site]*count
	overall  map[string]*count
	fetches  map[fetch]struct{} // fetches from the store in progress
	starting map[string]bool    // targets with an admitted load
}

// fetch names weights on their way from the store to a data centre.
type fetch struct {
	weights    Weights
	dataCenter string
}

func newBoard(state State, share float64) *board {
	board := &board{
		state:    state,
		share:    share,
		local:    map[site]*count{},
		overall:  map[string]*count{},
		fetches:  map[fetch]struct{}{},
		starting: map[string]bool{},
	}
	for _, target := range state.Targets {
		board.add(target)
	}
	return board
}

func (board *board) add(target Target) {
	board.each(target, func(count *count) {
		count.holders++
		switch {
		case target.Loading:
			count.loading++
			count.coming++
		case target.Serving:
			count.serving++
		case target.lacks():
			count.coming++
		}
	})
	for _, want := range target.Wanted {
		if target.Loading && want.RemainingBytes > 0 && !board.state.cached(target.DataCenter, want.Weights) {
			board.fetches[fetch{want.Weights, target.DataCenter}] = struct{}{}
		}
	}
}

// each calls visit with the counts of all models of a target.
func (board *board) each(target Target, visit func(*count)) {
	for name := range target.names() {
		at := site{name, target.DataCenter}
		if board.local[at] == nil {
			board.local[at] = &count{}
		}
		if board.overall[name] == nil {
			board.overall[name] = &count{}
		}
		visit(board.local[at])
		visit(board.overall[name])
	}
}

// admits reports whether a load may start.
func (board *board) admits(pending pending) bool {
	if board.starting[pending.target.ID] {
		return false
	}
	return board.fed(pending) && (!pending.target.Serving || board.spared(pending.target))
}

// fed reports whether the load takes nothing from the store, or the store has
// rate left for it.
func (board *board) fed(pending pending) bool {
	weights, dataCenter := pending.want.Weights, pending.target.DataCenter
	if board.state.cached(dataCenter, weights) {
		return true
	}
	if _, fetching := board.fetches[fetch{weights, dataCenter}]; fetching {
		return false // waits for the data centre's copy
	}
	return len(board.fetches) < board.streams()
}

// streams returns how many fetches use up the rate of the store.
func (board *board) streams() int {
	if board.state.TargetBytesPerSecond <= 0 {
		return 1
	}
	return max(int(math.Ceil(board.state.StoreBytesPerSecond/board.state.TargetBytesPerSecond)), 1)
}

// spared reports whether all models of a target stay served without it.
func (board *board) spared(target Target) bool {
	spared := true
	board.each(target, func(count *count) {
		spared = spared && count.spares(board.share)
	})
	return spared
}

// spares reports whether one more target may stop serving. The last one may
// only where no other will come back first.
func (count *count) spares(share float64) bool {
	if count.loading >= max(int(share*float64(count.holders)), 1) {
		return false
	}
	return count.serving > 1 || count.coming == 0
}

func (board *board) start(pending pending) {
	target := pending.target
	board.starting[target.ID] = true
	board.each(target, func(count *count) {
		count.loading++
		if target.Serving {
			count.serving--
			count.coming++
		}
	})
	if !board.state.cached(target.DataCenter, pending.want.Weights) {
		board.fetches[fetch{pending.want.Weights, target.DataCenter}] = struct{}{}
	}
}

func (target Target) lacks() bool {
	for _, want := range target.Wanted {
		if !want.Loaded {
			return true
		}
	}
	return false
}

// names returns the names of all weights that a target is to hold.
func (target Target) names() map[string]struct{} {
	names := map[string]struct{}{}
	for _, want := range target.Wanted {
		names[want.Name] = struct{}{}
	}
	return names
}
