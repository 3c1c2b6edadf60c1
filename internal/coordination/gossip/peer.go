package gossip

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Peer is the state of another instance as known to this one.
type Peer struct {
	Instance
	Alive         bool      // its heartbeat has not expired; otherwise it is only listed by the platform
	LastHeartbeat time.Time // time of its latest heartbeat
	NoteNumber    uint64    // of the release note in force there
	StoreDown     bool
	Load          *Load // nil if none or expired
}

// Load is the work of an instance by team and by target. It is immutable once
// received.
type Load struct {
	ReportedAt time.Time    // time of the report on the receiver's clock, set by the receiver
	Teams      []TeamLoad   // heaviest first; only the first MaxTeams are sent
	Targets    []TargetLoad // busiest first; only the first MaxTargets are sent
}

// TeamLoad is the demand of one team at one instance.
type TeamLoad struct {
	Team          string
	CostPerSecond float64 // cost units admitted per second
	QueuedCost    float64 // cost units waiting
	InFlight      int     // requests at targets
}

// TargetLoad is the work that one instance has in flight at one target.
type TargetLoad struct {
	Target        string
	InFlight      int     // requests sent and not yet completed
	PrefillTokens float64 // prompt tokens of these requests still to be processed
	DecodeTokens  float64 // tokens expected to be generated for these requests
	Health        Health  // as judged by the instance
}

// Health is the health of a target as judged by an instance.
type Health int

// Health values of targets.
const (
	HealthUnknown Health = iota
	HealthGood
	HealthSlow
	HealthFailed
)

// Peers returns the other instances, those shutting down included, sorted by ID.
// The slice is an immutable snapshot.
func (members *Members) Peers() []Peer {
	return *members.peers.Load()
}

// PublishLoad replaces the load that this instance reports to the others.
func (members *Members) PublishLoad(load Load) {
	message := &peerpb.Load{Origin: members.self.ID}
	for _, team := range load.Teams[:min(len(load.Teams), MaxTeams)] {
		message.Teams = append(message.Teams, &peerpb.TeamLoad{
			Team: team.Team, Rate: team.CostPerSecond, Queued: team.QueuedCost, InFlight: uint32(team.InFlight),
		})
	}
	for _, target := range load.Targets[:min(len(load.Targets), MaxTargets)] {
		message.Targets = append(message.Targets, &peerpb.TargetLoad{
			Target: target.Target, InFlight: uint32(target.InFlight),
			Prefill: target.PrefillTokens, Cost: target.DecodeTokens, Health: peerpb.Health(target.Health),
		})
	}
	members.mu.Lock()
	defer members.mu.Unlock()
	members.ownLoad = message
}

func newLoad(message *peerpb.Load, writtenAt time.Time) *Load {
	load := &Load{ReportedAt: writtenAt}
	for _, team := range message.GetTeams() {
		load.Teams = append(load.Teams, TeamLoad{
			Team: team.GetTeam(), CostPerSecond: team.GetRate(), QueuedCost: team.GetQueued(), InFlight: int(team.GetInFlight()),
		})
	}
	for _, target := range message.GetTargets() {
		load.Targets = append(load.Targets, TargetLoad{
			Target: target.GetTarget(), InFlight: int(target.GetInFlight()),
			PrefillTokens: target.GetPrefill(), DecodeTokens: target.GetCost(), Health: Health(target.GetHealth()),
		})
	}
	return load
}
