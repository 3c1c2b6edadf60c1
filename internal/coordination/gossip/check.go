package gossip

import (
	"math"
	"net/netip"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Bounds of one message.
const (
	TeamsMax      = 16
	TargetsMax    = 32
	heartbeatsMax = 64
	loadsMax      = 4
	suspectsMax   = 8
)

const (
	nameMaxBytes        = 128
	fingerprintMaxBytes = 32
	suspectTargetsMax   = 8
	versionMax          = 1 << 62
)

// checkState refuses a message that breaks a bound or holds a value without a
// meaning. Errors have code.MessageMalformed.
func checkState(state *peerpb.State) error {
	tooMany := len(state.GetHeartbeats()) > heartbeatsMax || len(state.GetLoads()) > loadsMax || len(state.GetSuspects()) > suspectsMax
	if !isName(state.GetSender()) || tooMany || state.GetNumber() > versionMax || state.GetProofAgeMs() > versionMax {
		return malformed("sender, number or count of records")
	}
	for _, heartbeat := range state.GetHeartbeats() {
		if !validHeartbeat(heartbeat) {
			return malformed("heartbeat")
		}
	}
	for _, load := range state.GetLoads() {
		if !validLoad(load) {
			return malformed("load")
		}
	}
	for _, suspect := range state.GetSuspects() {
		if !validSuspect(suspect) {
			return malformed("suspect")
		}
	}
	return nil
}

func validHeartbeat(heartbeat *peerpb.Heartbeat) bool {
	_, err := netip.ParseAddrPort(heartbeat.GetAddress())
	return err == nil &&
		isName(heartbeat.GetOrigin()) &&
		len(heartbeat.GetDataCenter()) <= nameMaxBytes &&
		heartbeat.GetNumber() <= versionMax &&
		validVersion(heartbeat.GetVersion())
}

func validLoad(load *peerpb.Load) bool {
	valid := isName(load.GetOrigin()) && validVersion(load.GetVersion()) &&
		len(load.GetTeams()) <= TeamsMax && len(load.GetTargets()) <= TargetsMax
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
	valid := size > 0 && size <= fingerprintMaxBytes && len(suspect.GetTargets()) <= suspectTargetsMax &&
		suspect.GetExpiresMs() <= uint32(suspectMaxAge.Milliseconds())
	for _, target := range suspect.GetTargets() {
		valid = valid && isName(target)
	}
	return valid
}

func validVersion(version *peerpb.Version) bool {
	incarnation, sequence := version.GetIncarnation(), version.GetSequence()
	return incarnation > 0 && incarnation <= versionMax && sequence > 0 && sequence <= versionMax
}

func isName(name string) bool {
	return name != "" && len(name) <= nameMaxBytes
}

func isAmount(value float64) bool {
	return value >= 0 && !math.IsInf(value, 1)
}

func malformed(what string) error {
	return code.Errorf(code.MessageMalformed, "peer message has a malformed %s", what)
}
