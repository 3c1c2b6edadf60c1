package gossip

import (
	"context"
	"slices"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	fanOut          = 2
	inFlightMax     = 8
	holdersMax      = 3
	roundInterval   = 500 * time.Millisecond
	roundMinGap     = 50 * time.Millisecond
	exchangeTimeout = time.Second
	unheardMin      = 8
	unheardShare    = 4 // one unheard instance is tried for so many heard ones
)

// gossip begins exchanges in rounds and merges their replies until ctx ends.
func (members *Members) gossip(ctx context.Context, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	outcomes := make(chan outcome, inFlightMax)
	inFlight := 0
	timer := time.NewTimer(members.randomBelow(roundInterval))
	defer timer.Stop()
	var lastAt time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case outcome := <-outcomes:
			inFlight--
			members.finish(outcome)
		case <-members.wake:
			timer.Reset(max(0, roundMinGap-time.Since(lastAt)))
		case <-timer.C:
			lastAt = time.Now()
			for _, peer := range members.nextPeers(min(fanOut, inFlightMax-inFlight)) {
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

// nextPeers begins a round: it returns the next instances in the rotation and
// brings the snapshot that readers see up to date.
func (members *Members) nextPeers(count int) []Instance {
	members.mu.Lock()
	defer members.mu.Unlock()
	members.version.Sequence++
	members.expire()
	members.refresh()
	var peers []Instance
	for len(peers) < count {
		if len(members.rotation) == 0 {
			members.rotation = members.rotate()
		}
		if len(members.rotation) == 0 || slices.Contains(peers, members.rotation[0]) {
			break
		}
		members.tried[members.rotation[0].ID] = time.Now()
		peers = append(peers, members.rotation[0])
		members.rotation = members.rotation[1:]
	}
	return peers
}

// rotate returns the live instances, those first that were tried longest ago
// and otherwise in random order. Of those that the list names and nobody
// hears, a large fleet tries only some. It needs mu.
func (members *Members) rotate() []Instance {
	var heard, unheard []Instance
	for _, peer := range *members.peers.Load() {
		switch {
		case peer.Leaving:
		case peer.Heard:
			heard = append(heard, peer.Instance)
		default:
			unheard = append(unheard, peer.Instance)
		}
	}
	members.shuffle(unheard)
	tries := max(unheardMin, len(heard)/unheardShare)
	rotation := slices.Concat(heard, unheard[:min(len(unheard), tries)])
	members.shuffle(rotation)
	slices.SortStableFunc(rotation, func(a, b Instance) int {
		return members.tried[a.ID].Compare(members.tried[b.ID])
	})
	clear(members.tried)
	return rotation
}

func (members *Members) shuffle(instances []Instance) {
	members.random.Shuffle(len(instances), func(i, j int) {
		instances[i], instances[j] = instances[j], instances[i]
	})
}

// refresh makes a new snapshot of the peers for readers. It needs mu.
func (members *Members) refresh() {
	peers := make([]Peer, 0, len(members.listed)+len(members.origins))
	for id, origin := range members.origins {
		listed := members.listed[id]
		instance := instanceOf(origin.heartbeat)
		instance.Leaving = instance.Leaving || listed.Leaving
		peers = append(peers, Peer{
			Instance:  instance,
			Heard:     true,
			Seen:      origin.heartbeatAt,
			Number:    origin.heartbeat.GetNumber(),
			StoreDown: origin.heartbeat.GetStoreDown(),
			Load:      origin.decoded,
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
	members.weigh(peers, live)
}

func instanceOf(heartbeat *peerpb.Heartbeat) Instance {
	return Instance{
		ID:         heartbeat.GetOrigin(),
		DataCenter: heartbeat.GetDataCenter(),
		Address:    heartbeat.GetAddress(),
		Leaving:    heartbeat.GetLeaving(),
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
