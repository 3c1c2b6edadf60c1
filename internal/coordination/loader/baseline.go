package loader

// AllAtOnce is the policy that starts every load as soon as it is wanted.
type AllAtOnce struct{}

// Decide returns one load for each target that lacks weights.
func (AllAtOnce) Decide(state State) []Load {
	var loads []Load
	started := map[string]bool{}
	for _, pending := range pendingLoads(state) {
		if !started[pending.target.ID] {
			started[pending.target.ID] = true
			loads = append(loads, pending.load())
		}
	}
	return loads
}

// OneAtATime is the policy that starts a load when no other is in progress.
type OneAtATime struct{}

// Decide returns the first load wanted, or none.
func (OneAtATime) Decide(state State) []Load {
	for _, target := range state.Targets {
		if target.Loading {
			return nil
		}
	}
	if loads := pendingLoads(state); len(loads) > 0 {
		return []Load{loads[0].load()}
	}
	return nil
}
