package relay

import (
	"context"
	"time"
)

const watchInterval = 100 * time.Millisecond

// Start watches for connections that went silent until ctx ends. The channel
// gives the end of the watch.
func (relay *Relay) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- relay.watch(ctx) }()
	return ended
}

func (relay *Relay) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	probes := make(chan probe)
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-probes
			}
			return nil
		case probe := <-probes:
			running--
			relay.probed(probe)
		case <-ticker.C:
			running += relay.probe(ctx, probes)
		}
	}
}

// probe is the result of asking a target on a new connection.
type probe struct {
	target   string
	answered bool
}

// probe starts the probes that are due and returns how many.
func (relay *Relay) probe(ctx context.Context, probes chan<- probe) int {
	started := 0
	for _, verdict := range relay.health.PendingActions() {
		relay.drop(verdict.Target, verdict.Close)
		if !verdict.Probe {
			continue
		}
		started++
		go func() {
			address, ok := relay.addressOf(verdict.Target)
			probes <- probe{target: verdict.Target, answered: ok && relay.client.Probe(ctx, address)}
		}()
	}
	return started
}

func (relay *Relay) probed(probe probe) {
	verdict := relay.health.RecordProbe(probe.target, probe.answered)
	relay.drop(probe.target, verdict.Close)
	relay.targets.SetWeights(relay.health.Weights())
}

// drop ends the attempts whose connections are silent, and keeps later calls
// from using old connections.
func (relay *Relay) drop(target string, attempts []uint64) {
	if len(attempts) == 0 {
		return
	}
	if address, ok := relay.addressOf(target); ok {
		relay.client.DropConnections(address)
	}
	for _, id := range attempts {
		if cancel, ok := relay.attempts.Load(id); ok {
			if cancel, ok := cancel.(context.CancelCauseFunc); ok {
				cancel(errSilent)
			}
		}
	}
	relay.logger.Warn().Str("target", target).Int("attempts", len(attempts)).Msg("connections are silent")
}

func (relay *Relay) addressOf(target string) (string, bool) {
	found, ok := relay.notes.Current().Targets[target]
	return found.Address, ok
}
