package gossip

import (
	"context"
	"slices"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	exchangesPerRound  = 2
	maxInFlight        = 8
	maxHolders         = 3
	roundInterval      = 500 * time.Millisecond
	minRoundInterval   = 50 * time.Millisecond
	exchangeTimeout    = time.Second
	minListedOnly      = 8 // listed-only instances tried in any case
	alivePerListedOnly = 4 // live instances per listed-only instance that is tried
)

// runRounds starts exchanges in rounds and merges their replies until ctx ends.
func (members *Members) runRounds(ctx context.Context, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	outcomes := make(chan outcome, maxInFlight)
	inFlight := 0
	timer := time.NewTimer(members.randomBelow(roundInterval))
	defer timer.Stop()
	var lastRoundAt time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case outcome := <-outcomes:
			inFlight--
			members.handleOutcome(outcome)
		case <-members.wake:
			timer.Reset(max(0, minRoundInterval-time.Since(lastRoundAt)))
		case <-timer.C:
			lastRoundAt = time.Now()
			for _, peer := range members.beginRound(min(exchangesPerRound, maxInFlight-inFlight)) {
				inFlight++
				go func() { outcomes <- members.exchange(ctx, peer) }()
			}
			timer.Reset(members.jitter(roundInterval))
		}
	}
	for ; inFlight > 0; inFlight-- {
		<-outcomes
	}
}

// beginRound removes expired state, rebuilds the snapshot of peers and returns the
// next instances of the rotation.
func (members *Members) beginRound(count int) []Instance {
	members.mu.Lock()
	defer members.mu.Unlock()
	members.ownVersion.Sequence++
	members.removeExpired()
	members.rebuildPeers()
	var peers []Instance
	for len(peers) < count {
		if len(members.rotation) == 0 {
			members.rotation = members.newRotation()
		}
		if len(members.rotation) == 0 || slices.Contains(peers, members.rotation[0]) {
			break
		}
		members.triedAt[members.rotation[0].ID] = time.Now()
		peers = append(peers, members.rotation[0])
		members.rotation = members.rotation[1:]
	}
	return peers
}

// newRotation returns the instances to exchange with, least recently tried first
// and otherwise in random order. Of the instances that are only listed and have no
// live heartbeat, it includes a limited number. The caller holds mu.
func (members *Members) newRotation() []Instance {
	var alive, listedOnly []Instance
	for _, peer := range *members.peers.Load() {
		switch {
		case peer.Leaving:
		case peer.Alive:
			alive = append(alive, peer.Instance)
		default:
			listedOnly = append(listedOnly, peer.Instance)
		}
	}
	members.shuffle(listedOnly)
	maxTries := max(minListedOnly, len(alive)/alivePerListedOnly)
	rotation := slices.Concat(alive, listedOnly[:min(len(listedOnly), maxTries)])
	members.shuffle(rotation)
	slices.SortStableFunc(rotation, func(a, b Instance) int {
		return members.triedAt[a.ID].Compare(members.triedAt[b.ID])
	})
	clear(members.triedAt)
	return rotation
}

func (members *Members) shuffle(instances []Instance) {
	members.random.Shuffle(len(instances), func(i, j int) {
		instances[i], instances[j] = instances[j], instances[i]
	})
}

// rebuildPeers replaces the snapshot of the peers that readers use. The caller
// holds mu.
func (members *Members) rebuildPeers() {
	peers := make([]Peer, 0, len(members.listed)+len(members.origins))
	for id, origin := range members.origins {
		listed := members.listed[id]
		instance := newInstance(origin.heartbeat)
		instance.Leaving = instance.Leaving || listed.Leaving
		peers = append(peers, Peer{
			Instance:      instance,
			Alive:         true,
			LastHeartbeat: origin.heartbeatWrittenAt,
			NoteNumber:    origin.heartbeat.GetNumber(),
			StoreDown:     origin.heartbeat.GetStoreDown(),
			Load:          origin.decodedLoad,
		})
	}
	for id, instance := range members.listed {
		if members.origins[id] == nil && id != members.self.ID {
			peers = append(peers, Peer{Instance: instance})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.ID, b.ID) })
	live := 1
	for _, peer := range peers {
		if !peer.Leaving {
			live++
		}
	}
	members.peers.Store(&peers)
	members.count.Store(int64(live))
	members.metrics.members.Set(float64(live))
	members.updateQuorum(peers, live)
}

func newInstance(heartbeat *peerpb.Heartbeat) Instance {
	return Instance{
		ID:          heartbeat.GetOrigin(),
		DataCenter:  heartbeat.GetDataCenter(),
		PeerAddress: heartbeat.GetAddress(),
		Leaving:     heartbeat.GetLeaving(),
	}
}

// jitter returns a random duration between four and six fifths of delay.
func (members *Members) jitter(delay time.Duration) time.Duration {
	return delay*4/5 + members.randomBelow(delay*2/5)
}

func (members *Members) randomBelow(limit time.Duration) time.Duration {
	members.mu.Lock()
	defer members.mu.Unlock()
	return time.Duration(members.random.Int64N(int64(limit)))
}
