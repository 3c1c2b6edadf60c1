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

const fingerprintBase = 16

// exchange tells the other instances of this one's load and suspects, and
// takes theirs into account.
func (watcher *watcher) exchange() {
	instance := watcher.instance
	instance.members.PublishLoad(gossip.Load{Teams: watcher.teams(), Targets: watcher.sent()})
	for _, suspect := range instance.poison.Snapshot() {
		if !suspect.Cleared {
			instance.members.PublishSuspect(gossip.Suspect{
				Fingerprint: strconv.FormatUint(uint64(suspect.Fingerprint), fingerprintBase),
				Targets:     suspect.CrashedTargets,
				Expires:     suspect.UpdatedAt.Add(suspectLife),
			})
		}
	}
	instance.poison.Merge(suspectsOf(instance.members.Suspects()))
	watcher.share(instance.members.Peers())
}

const suspectLife = 10 * time.Minute

func (watcher *watcher) teams() []gossip.TeamLoad {
	queue, ok := watcher.instance.queues.engines.(*admit.Queue)
	if !ok {
		return nil
	}
	var teams []gossip.TeamLoad
	for _, demand := range queue.Demands() {
		teams = append(teams, gossip.TeamLoad{Team: demand.Team, Queued: demand.Cost})
	}
	slices.SortFunc(teams, func(a, b gossip.TeamLoad) int { return cmp.Compare(b.Queued, a.Queued) })
	return teams
}

func (watcher *watcher) sent() []gossip.TargetLoad {
	var targets []gossip.TargetLoad
	for id, work := range watcher.instance.targets.Sent() {
		targets = append(targets, gossip.TargetLoad{
			Target: id, InFlight: int(work.Requests),
			Prefill: float64(work.PrefillTokens), Cost: float64(work.DecodeTokens),
		})
	}
	slices.SortFunc(targets, func(a, b gossip.TargetLoad) int { return cmp.Compare(b.InFlight, a.InFlight) })
	return targets
}

// share divides the capacity by what the peers told.
func (watcher *watcher) share(peers []gossip.Peer) {
	var heard []admit.PeerDemand
	for _, peer := range peers {
		watcher.instance.targets.SetPeer(peer.ID, sentBy(peer))
		if peer.Load != nil {
			heard = append(heard, watcher.demandOf(peer))
		}
	}
	members := watcher.instance.members.Count()
	if queue, ok := watcher.instance.queues.engines.(*admit.Queue); ok {
		queue.Rebalance(members, heard)
	}
	// Peers tell their demand for engines only; of the services each instance
	// takes its even part.
	if queue, ok := watcher.instance.queues.services.(*admit.Queue); ok {
		queue.Rebalance(members, nil)
	}
}

func (watcher *watcher) demandOf(peer gossip.Peer) admit.PeerDemand {
	teams := watcher.instance.feed.Current()
	demands := make([]admit.TeamDemand, 0, len(peer.Load.Teams))
	for _, team := range peer.Load.Teams {
		weight := 1.0
		if teams != nil {
			weight = max(1, float64(teams.Teams[team.Team].Weight))
		}
		demands = append(demands, admit.TeamDemand{Team: team.Team, Weight: weight, Cost: team.Queued})
	}
	return admit.PeerDemand{Instance: peer.ID, ReportedAt: peer.Load.Seen, Demands: demands}
}

// sentBy returns the work that a peer has in flight at targets.
func sentBy(peer gossip.Peer) map[string]route.Work {
	if peer.Load == nil {
		return nil
	}
	sent := map[string]route.Work{}
	for _, target := range peer.Load.Targets {
		sent[target.Target] = route.Work{
			Requests: int64(target.InFlight), PrefillTokens: int64(target.Prefill), DecodeTokens: int64(target.Cost),
		}
	}
	return sent
}

func suspectsOf(told []gossip.Suspect) []poison.Suspect {
	var suspects []poison.Suspect
	for _, suspect := range told {
		fingerprint, err := strconv.ParseUint(suspect.Fingerprint, fingerprintBase, 64)
		if err != nil {
			continue
		}
		suspects = append(suspects, poison.Suspect{
			Fingerprint:    poison.Fingerprint(fingerprint),
			CrashedTargets: suspect.Targets,
			UpdatedAt:      suspect.Expires.Add(-suspectLife),
		})
	}
	return suspects
}
