package gossip

import (
	"math/bits"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	originsMax        = 4096
	expiryBase        = 5 * time.Second
	expiryPerInstance = 30 * time.Millisecond
	loadExpiry        = 10 * time.Second
)

// origin holds the latest that is known of another instance. The messages in
// it are never changed.
type origin struct {
	heartbeat      *peerpb.Heartbeat
	heartbeatAt    time.Time // when it was written, on this instance's clock
	heartbeatSends int       // how often it is still to be passed on
	load           *peerpb.Load
	loadAt         time.Time
	loadSends      int
	decoded        *Load
}

// mergeHeartbeat takes a heartbeat unless a later one is known. It needs mu.
func (members *Members) mergeHeartbeat(heartbeat *peerpb.Heartbeat) {
	id := heartbeat.GetOrigin()
	if id == members.self.ID {
		members.outlive(heartbeat.GetVersion())
		return
	}
	writtenAt := time.Now().Add(-milliseconds(uint64(heartbeat.GetAgeMs())))
	if time.Since(writtenAt) > members.expiry() {
		return
	}
	known := members.origins[id]
	if known == nil && len(members.origins) >= originsMax {
		return
	}
	if known == nil {
		known = &origin{}
		members.origins[id] = known
	}
	if !newer(heartbeat.GetVersion(), known.heartbeat.GetVersion()) {
		return
	}
	known.heartbeat, known.heartbeatAt = heartbeat, writtenAt
	known.heartbeatSends = members.spread()
	members.hot.push(id)
}

// mergeLoad takes a load unless a later one is known. It needs mu.
func (members *Members) mergeLoad(load *peerpb.Load) {
	known := members.origins[load.GetOrigin()]
	writtenAt := time.Now().Add(-milliseconds(uint64(load.GetAgeMs())))
	if known == nil || time.Since(writtenAt) > loadExpiry || !newer(load.GetVersion(), known.load.GetVersion()) {
		return
	}
	known.load, known.loadAt = load, writtenAt
	known.decoded = loadOf(load, writtenAt)
	known.loadSends = members.spread()
	members.hotLoads.push(load.GetOrigin())
}

// outlive raises the incarnation above one that an earlier start of this
// instance used, which happens when the wall clock went back. It needs mu.
func (members *Members) outlive(version *peerpb.Version) {
	if newer(version, &members.version) && version.GetIncarnation() < versionMax {
		members.version.Incarnation = version.GetIncarnation() + 1
	}
}

// expire forgets what is too old. It needs mu.
func (members *Members) expire() {
	for id, origin := range members.origins {
		if time.Since(origin.heartbeatAt) > members.expiry() {
			delete(members.origins, id)
			continue
		}
		if time.Since(origin.loadAt) > loadExpiry {
			origin.load, origin.decoded = nil, nil
		}
	}
	for fingerprint, suspect := range members.suspects {
		if !time.Now().Before(suspect.Expires) {
			delete(members.suspects, fingerprint)
		}
	}
}

// expiry grows with the fleet, as heartbeats take longer to come round.
func (members *Members) expiry() time.Duration {
	return expiryBase + time.Duration(members.Count())*expiryPerInstance
}

// spread returns how often news is passed on by each instance.
func (members *Members) spread() int {
	return bits.Len(uint(members.Count()))
}

func newer(version, than *peerpb.Version) bool {
	if version.GetIncarnation() != than.GetIncarnation() {
		return version.GetIncarnation() > than.GetIncarnation()
	}
	return version.GetSequence() > than.GetSequence()
}

func milliseconds(count uint64) time.Duration {
	return time.Duration(min(count, 1<<40)) * time.Millisecond
}
