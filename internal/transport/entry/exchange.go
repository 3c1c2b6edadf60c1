package entry

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"mangopier.example/mangopier/internal/coordination/admit"
	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/coordination/route"
)

const fingerprintBase = 16 // number base of fingerprints in messages

// exchangeLoad publishes the load and the suspected poison requests of this
// instance to the others, and merges what they have published.
func (watcher *targetWatcher) exchangeLoad() {
	instance := watcher.instance
	instance.members.PublishLoad(gossip.Load{Teams: watcher.teamLoads(), Targets: watcher.targetLoads()})
	for _, suspect := range instance.poisonTracker.Snapshot() {
		if !suspect.Cleared {
			instance.members.PublishSuspect(gossip.Suspect{
				Fingerprint:    strconv.FormatUint(uint64(suspect.Fingerprint), fingerprintBase),
				CrashedTargets: suspect.CrashedTargets,
				ExpiresAt:      suspect.UpdatedAt.Add(suspectRetention),
			})
		}
	}
	instance.poisonTracker.Merge(parseSuspects(instance.members.Suspects()))
	watcher.divideCapacity(instance.members.Peers())
}

// suspectRetention is how long a suspect stays published after its last update.
// Instances derive the time of that update from the expiry that they receive, so
// all have to use the same value.
const suspectRetention = 10 * time.Minute

// teamLoads returns the queued cost of each team, largest first.
func (watcher *targetWatcher) teamLoads() []gossip.TeamLoad {
	queue, ok := watcher.instance.admitters.engines.(*admit.Queue)
	if !ok {
		return nil
	}
	var teams []gossip.TeamLoad
	for _, demand := range queue.Demands() {
		teams = append(teams, gossip.TeamLoad{Team: demand.Team, QueuedCost: demand.Cost})
	}
	slices.SortFunc(teams, func(a, b gossip.TeamLoad) int { return cmp.Compare(b.QueuedCost, a.QueuedCost) })
	return teams
}

// targetLoads returns the work that this instance has sent to targets and that
// their reports do not include, most requests first.
func (watcher *targetWatcher) targetLoads() []gossip.TargetLoad {
	var targets []gossip.TargetLoad
	for id, work := range watcher.instance.routingTable.UnreportedWork() {
		targets = append(targets, gossip.TargetLoad{
			Target: id, InFlight: int(work.Requests),
			PrefillTokens: float64(work.PrefillTokens), DecodeTokens: float64(work.DecodeTokens),
		})
	}
	slices.SortFunc(targets, func(a, b gossip.TargetLoad) int { return cmp.Compare(b.InFlight, a.InFlight) })
	return targets
}

// divideCapacity divides the capacity among the instances by the peers' demand, and
// passes the peers' work on to the routing table.
func (watcher *targetWatcher) divideCapacity(peers []gossip.Peer) {
	var demands []admit.PeerDemand
	for _, peer := range peers {
		watcher.instance.routingTable.SetPeerWork(peer.ID, peerWork(peer))
		if peer.Load != nil {
			demands = append(demands, watcher.peerDemand(peer))
		}
	}
	instances := watcher.instance.members.InstanceCount()
	if queue, ok := watcher.instance.admitters.engines.(*admit.Queue); ok {
		queue.Rebalance(instances, demands)
	}
	// Peers publish their demand for engines only, so the capacity of services is
	// divided evenly.
	if queue, ok := watcher.instance.admitters.services.(*admit.Queue); ok {
		queue.Rebalance(instances, nil)
	}
}

func (watcher *targetWatcher) peerDemand(peer gossip.Peer) admit.PeerDemand {
	catalog := watcher.instance.noteFeed.Catalog()
	demands := make([]admit.TeamDemand, 0, len(peer.Load.Teams))
	for _, team := range peer.Load.Teams {
		weight := 1.0
		if catalog != nil {
			weight = max(1, float64(catalog.Teams[team.Team].Weight))
		}
		demands = append(demands, admit.TeamDemand{Team: team.Team, Weight: weight, Cost: team.QueuedCost})
	}
	return admit.PeerDemand{Instance: peer.ID, ReportedAt: peer.Load.ReportedAt, Demands: demands}
}

// peerWork returns the work that a peer has in flight, by target.
func peerWork(peer gossip.Peer) map[string]route.Work {
	if peer.Load == nil {
		return nil
	}
	work := map[string]route.Work{}
	for _, target := range peer.Load.Targets {
		work[target.Target] = route.Work{
			Requests: int64(target.InFlight), PrefillTokens: int64(target.PrefillTokens), DecodeTokens: int64(target.DecodeTokens),
		}
	}
	return work
}

// parseSuspects converts suspects that peers have published. It skips those whose
// fingerprint is malformed.
func parseSuspects(received []gossip.Suspect) []poison.Suspect {
	var suspects []poison.Suspect
	for _, suspect := range received {
		fingerprint, err := strconv.ParseUint(suspect.Fingerprint, fingerprintBase, 64)
		if err != nil {
			continue
		}
		suspects = append(suspects, poison.Suspect{
			Fingerprint:    poison.Fingerprint(fingerprint),
			CrashedTargets: suspect.CrashedTargets,
			UpdatedAt:      suspect.ExpiresAt.Add(-suspectRetention),
		})
	}
	return suspects
}
