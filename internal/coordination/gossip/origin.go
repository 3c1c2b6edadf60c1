package gossip

import (
	"math/bits"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	maxOrigins                 = 4096
	heartbeatExpiryBase        = 5 * time.Second
	heartbeatExpiryPerInstance = 30 * time.Millisecond
	loadExpiry                 = 10 * time.Second
)

// origin holds the latest state received of another instance. The messages in it
// are immutable.
type origin struct {
	heartbeat          *peerpb.Heartbeat
	heartbeatWrittenAt time.Time // on this instance's clock
	heartbeatSendsLeft int       // how many times it is still to be forwarded
	load               *peerpb.Load
	loadWrittenAt      time.Time
	loadSendsLeft      int
	decodedLoad        *Load
}

// mergeHeartbeat stores a heartbeat if it is newer than the known one. The caller
// holds mu.
func (members *Members) mergeHeartbeat(heartbeat *peerpb.Heartbeat) {
	id := heartbeat.GetOrigin()
	if id == members.self.ID {
		members.raiseIncarnation(heartbeat.GetVersion())
		return
	}
	writtenAt := time.Now().Add(-millisecondsToDuration(uint64(heartbeat.GetAgeMs())))
	if time.Since(writtenAt) > members.heartbeatExpiry() {
		return
	}
	known := members.origins[id]
	if known == nil && len(members.origins) >= maxOrigins {
		return
	}
	if known == nil {
		known = &origin{}
		members.origins[id] = known
	}
	if !isNewer(heartbeat.GetVersion(), known.heartbeat.GetVersion()) {
		return
	}
	known.heartbeat, known.heartbeatWrittenAt = heartbeat, writtenAt
	known.heartbeatSendsLeft = members.sendsPerUpdate()
	members.heartbeatQueue.push(id)
}

// mergeLoad stores a load if it is newer than the known one. The caller holds mu.
func (members *Members) mergeLoad(load *peerpb.Load) {
	known := members.origins[load.GetOrigin()]
	writtenAt := time.Now().Add(-millisecondsToDuration(uint64(load.GetAgeMs())))
	if known == nil || time.Since(writtenAt) > loadExpiry || !isNewer(load.GetVersion(), known.load.GetVersion()) {
		return
	}
	known.load, known.loadWrittenAt = load, writtenAt
	known.decodedLoad = newLoad(load, writtenAt)
	known.loadSendsLeft = members.sendsPerUpdate()
	members.loadQueue.push(load.GetOrigin())
}

// raiseIncarnation raises the incarnation above that of an earlier start of this
// instance, which is higher if the wall clock was set back between the starts. The
// caller holds mu.
func (members *Members) raiseIncarnation(version *peerpb.Version) {
	if isNewer(version, &members.ownVersion) && version.GetIncarnation() < maxCounter {
		members.ownVersion.Incarnation = version.GetIncarnation() + 1
	}
}

// removeExpired removes expired heartbeats, loads and suspects. The caller holds
// mu.
func (members *Members) removeExpired() {
	for id, origin := range members.origins {
		if time.Since(origin.heartbeatWrittenAt) > members.heartbeatExpiry() {
			delete(members.origins, id)
			continue
		}
		if time.Since(origin.loadWrittenAt) > loadExpiry {
			origin.load, origin.decodedLoad = nil, nil
		}
	}
	for fingerprint, suspect := range members.suspects {
		if !time.Now().Before(suspect.ExpiresAt) {
			delete(members.suspects, fingerprint)
		}
	}
}

// heartbeatExpiry grows with the number of instances, since heartbeats then take
// longer to reach all of them.
func (members *Members) heartbeatExpiry() time.Duration {
	return heartbeatExpiryBase + time.Duration(members.InstanceCount())*heartbeatExpiryPerInstance
}

// sendsPerUpdate returns how many times each instance forwards an update. It grows
// with the logarithm of the number of instances.
func (members *Members) sendsPerUpdate() int {
	return bits.Len(uint(members.InstanceCount()))
}

func isNewer(version, other *peerpb.Version) bool {
	if version.GetIncarnation() != other.GetIncarnation() {
		return version.GetIncarnation() > other.GetIncarnation()
	}
	return version.GetSequence() > other.GetSequence()
}

// millisecondsToDuration caps count so that the duration does not overflow.
func millisecondsToDuration(count uint64) time.Duration {
	return time.Duration(min(count, 1<<40)) * time.Millisecond
}
