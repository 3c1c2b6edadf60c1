package loader

// AllAtOnce is a Policy that starts every pending load at once.
type AllAtOnce struct{}

// PlanLoads returns one load for each target that lacks weights and is not loading.
func (AllAtOnce) PlanLoads(state State) []LoadOrder {
	var loads []LoadOrder
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

// PlanLoads returns the first pending load, or none if a target is loading.
func (OneAtATime) PlanLoads(state State) []LoadOrder {
	for _, target := range state.Targets {
		if target.Loading {
			return nil
		}
	}
	if loads := pendingLoads(state); len(loads) > 0 {
		return []LoadOrder{loads[0].order()}
	}
	return nil
}
