package place

import "mangopier.example/mangopier/internal/protocol/site"

// maxEngineDemand bounds what one decode engine adds to the demand. Requests that
// wait at a full engine show that engines are missing, but not how many: they
// wait for each other, and their number grows as long as the shortage lasts.
const maxEngineDemand = 1.25

// DecodeDemand returns the number of decode engines that the requests of all
// instances fill in a service, by slots or by memory. It is 0 for a plain
// service.
func (scheduler *Scheduler) DecodeDemand(service site.Service) float64 {
	if service.Engine == nil {
		return 0
	}
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	demand := 0.0
	for _, state := range scheduler.services[service.Name] {
		bySlots := float64(state.ownLoad.InFlight+state.peerLoad.InFlight) / float64(max(1, service.Engine.Slots))
		byMemory := float64(state.ownLoad.KVTokens+state.peerLoad.KVTokens) / max(1, maxMemoryShare*float64(service.Engine.KVCapacityTokens))
		demand += min(max(bySlots, byMemory), maxEngineDemand)
	}
	return demand
}
