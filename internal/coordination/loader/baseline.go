package loader

// AllAtOnce is a Policy that starts every pending load at once.
type AllAtOnce struct{}

// Decide returns one load for each target that lacks weights and is not loading.
func (AllAtOnce) Decide(state State) []Load {
	var loads []Load
	started := map[string]bool{}
	for _, pending := range pendingLoads(state) {
		if !started[pending.target.ID] {
			started[pending.target.ID] = true
			loads = append(loads, pending.order())
		}
	}
	return loads
}

// OneAtATime is a Policy that starts a load only if no other is in progress.
type OneAtATime struct{}

// Decide returns the first pending load, or none if a target is loading.
func (OneAtATime) Decide(state State) []Load {
	for _, target := range state.Targets {
		if target.Loading {
			return nil
		}
	}
	if loads := pendingLoads(state); len(loads) > 0 {
		return []Load{loads[0].order()}
	}
	return nil
}
