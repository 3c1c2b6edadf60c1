package gossip

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Peer is another instance as this one knows it.
type Peer struct {
	Instance
	Heard     bool      // a heartbeat has not expired; else only the list knows it
	Seen      time.Time // when its latest heartbeat was written
	Number    uint64    // release note in force there
	StoreDown bool
	Load      *Load // nil for none or an expired one
}

// Load is the work that an instance sees. One in use is never changed.
type Load struct {
	Seen    time.Time    // when it was written, set by the receiver
	Teams   []TeamLoad   // the heaviest first; at most TeamsMax travel
	Targets []TargetLoad // the busiest first; at most TargetsMax travel
}

// TeamLoad is what one team asks of one instance.
type TeamLoad struct {
	Team     string
	Rate     float64 // cost units admitted per second
	Queued   float64 // cost units waiting
	InFlight int     // requests at targets
}

// TargetLoad is what one instance has at one target.
type TargetLoad struct {
	Target   string
	InFlight int     // requests sent and not answered
	Prefill  float64 // prompt tokens of these still to be processed
	Cost     float64 // tokens expected to be generated for these
	Health   Health  // the instance's verdict
}

// Health is an instance's verdict on a target.
type Health int

// Verdicts on targets.
const (
	HealthUnknown Health = iota
	HealthGood
	HealthSlow
	HealthFailed
)

// Peers returns the other instances, those that leave included, in the order
// of their IDs. The slice is a snapshot that is never changed.
func (members *Members) Peers() []Peer {
	return *members.peers.Load()
}

// PublishLoad replaces what this instance tells the others of its load.
func (members *Members) PublishLoad(load Load) {
	message := &peerpb.Load{Origin: members.self.ID}
	for _, team := range load.Teams[:min(len(load.Teams), TeamsMax)] {
		message.Teams = append(message.Teams, &peerpb.TeamLoad{
			Team: team.Team, Rate: team.Rate, Queued: team.Queued, InFlight: uint32(team.InFlight),
		})
	}
	for _, target := range load.Targets[:min(len(load.Targets), TargetsMax)] {
		message.Targets = append(message.Targets, &peerpb.TargetLoad{
			Target: target.Target, InFlight: uint32(target.InFlight),
			Prefill: target.Prefill, Cost: target.Cost, Health: peerpb.Health(target.Health),
		})
	}
	members.mu.Lock()
	defer members.mu.Unlock()
	members.load = message
}

func loadOf(message *peerpb.Load, writtenAt time.Time) *Load {
	load := &Load{Seen: writtenAt}
	for _, team := range message.GetTeams() {
		load.Teams = append(load.Teams, TeamLoad{
			Team: team.GetTeam(), Rate: team.GetRate(), Queued: team.GetQueued(), InFlight: int(team.GetInFlight()),
		})
	}
	for _, target := range message.GetTargets() {
		load.Targets = append(load.Targets, TargetLoad{
			Target: target.GetTarget(), InFlight: int(target.GetInFlight()),
			Prefill: target.GetPrefill(), Cost: target.GetCost(), Health: Health(target.GetHealth()),
		})
	}
	return load
}
