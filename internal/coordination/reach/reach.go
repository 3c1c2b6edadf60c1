// Package reach tells whether this instance still reaches the targets of a
// service, or is partitioned from all of them while other instances may not be.
//
// A service is suspected when nothing is received from any of its targets while
// calls to several of them hang or fail to connect. A suspected service is
// probed with TCP connects, and is lost when all of them fail. A lost service is
// probed until a connect succeeds or a byte is received. The package makes the
// decisions only; its caller makes the connects.
package reach

import "time"

const (
	silenceTimeout    = 400 * time.Millisecond // without a byte from the service, or with a call outstanding
	probeTimeout      = 2 * time.Second        // after which a probe counts as failed
	lostProbeInterval = 500 * time.Millisecond // between probes of a lost service
	probesPerRound    = 2                      // distinct targets that a suspected service is probed at
	minTroubled       = 2                      // targets with trouble, so that one crashed target is no sign
)

// Probe is a TCP connect that shows whether a target can be reached.
type Probe struct {
	Service string
	Target  string
	Address string // IP:port
}

// phase is what is known of a service.
type phase int32

const (
	reachable phase = iota
	suspected
	lost
)
