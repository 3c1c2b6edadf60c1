package gossip

import (
	"math"
	"net/netip"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Limits on the number of entries in one message. MaxTeams and MaxTargets apply
// to each load.
const (
	MaxTeams      = 16
	MaxTargets    = 32
	maxHeartbeats = 64
	maxLoads      = 4
	maxSuspects   = 8
)

const (
	maxNameBytes        = 128
	maxFingerprintBytes = 32
	maxSuspectTargets   = 8
	maxCounter          = 1 << 62
)

// validateState returns an error with code.MessageMalformed if a message exceeds a
// limit or holds an invalid value.
func validateState(state *peerpb.State) error {
	tooManyEntries := len(state.GetHeartbeats()) > maxHeartbeats || len(state.GetLoads()) > maxLoads || len(state.GetSuspects()) > maxSuspects
	if !isName(state.GetSender()) || tooManyEntries || state.GetNumber() > maxCounter || state.GetProofAgeMs() > maxCounter {
		return malformedMessage("sender, number or count of records")
	}
	for _, heartbeat := range state.GetHeartbeats() {
		if !validHeartbeat(heartbeat) {
			return malformedMessage("heartbeat")
		}
	}
	for _, load := range state.GetLoads() {
		if !validLoad(load) {
			return malformedMessage("load")
		}
	}
	for _, suspect := range state.GetSuspects() {
		if !validSuspect(suspect) {
			return malformedMessage("suspect")
		}
	}
	return nil
}

func validHeartbeat(heartbeat *peerpb.Heartbeat) bool {
	_, err := netip.ParseAddrPort(heartbeat.GetAddress())
	return err == nil &&
		isName(heartbeat.GetOrigin()) &&
		len(heartbeat.GetDataCenter()) <= maxNameBytes &&
		heartbeat.GetNumber() <= maxCounter &&
		validVersion(heartbeat.GetVersion())
}

func validLoad(load *peerpb.Load) bool {
	valid := isName(load.GetOrigin()) && validVersion(load.GetVersion()) &&
		len(load.GetTeams()) <= MaxTeams && len(load.GetTargets()) <= MaxTargets
	for _, team := range load.GetTeams() {
		valid = valid && isName(team.GetTeam()) && isAmount(team.GetRate()) && isAmount(team.GetQueued())
	}
	for _, target := range load.GetTargets() {
		_, known := peerpb.Health_name[int32(target.GetHealth())]
		valid = valid && known && isName(target.GetTarget()) && isAmount(target.GetCost()) && isAmount(target.GetPrefill())
	}
	return valid
}

func validSuspect(suspect *peerpb.Suspect) bool {
	size := len(suspect.GetFingerprint())
	valid := size > 0 && size <= maxFingerprintBytes && len(suspect.GetTargets()) <= maxSuspectTargets &&
		suspect.GetExpiresMs() <= uint32(maxSuspectAge.Milliseconds())
	for _, target := range suspect.GetTargets() {
		valid = valid && isName(target)
	}
	return valid
}

func validVersion(version *peerpb.Version) bool {
	incarnation, sequence := version.GetIncarnation(), version.GetSequence()
	return incarnation > 0 && incarnation <= maxCounter && sequence > 0 && sequence <= maxCounter
}

func isName(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}

func isAmount(value float64) bool {
	return value >= 0 && !math.IsInf(value, 1)
}

func malformedMessage(part string) error {
	return code.Errorf(code.MessageMalformed, "peer message has a malformed %s", part)
}
