package relay

import (
	"context"
	"time"
)

const connectionCheckInterval = 100 * time.Millisecond

// StartProbing closes silent connections and probes their targets in the
// background, until ctx ends. The returned channel receives nil once all probes
// have ended.
func (relay *Relay) StartProbing(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- relay.checkConnections(ctx) }()
	return done
}

func (relay *Relay) checkConnections(ctx context.Context) error {
	ticker := time.NewTicker(connectionCheckInterval)
	defer ticker.Stop()
	results := make(chan probeResult)
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-results
			}
			return nil
		case result := <-results:
			running--
			relay.applyProbeResult(result)
		case <-ticker.C:
			running += relay.startProbes(ctx, results)
		}
	}
}

// probeResult is the result of a probe of a target on a new connection.
type probeResult struct {
	target    string
	responded bool
}

// startProbes closes silent connections, starts the probes that are due and returns
// the number of started probes.
func (relay *Relay) startProbes(ctx context.Context, results chan<- probeResult) int {
	started := 0
	for _, action := range relay.healthTracker.PendingActions() {
		relay.closeSilentConnections(action.Target, action.Close)
		if !action.Probe {
			continue
		}
		started++
		go func() {
			address, ok := relay.targetAddress(action.Target)
			results <- probeResult{target: action.Target, responded: ok && relay.client.Probe(ctx, address)}
		}()
	}
	return started
}

func (relay *Relay) applyProbeResult(result probeResult) {
	action := relay.healthTracker.RecordProbe(result.target, result.responded)
	relay.closeSilentConnections(result.target, action.Close)
	relay.routingTable.SetWeights(relay.healthTracker.Weights())
}

// closeSilentConnections cancels the attempts with the given numbers, whose
// connections are silent. It also drops the open connections to the target, so that
// later calls use new ones.
func (relay *Relay) closeSilentConnections(target string, attempts []uint64) {
	if len(attempts) == 0 {
		return
	}
	if address, ok := relay.targetAddress(target); ok {
		relay.client.DropConnections(address)
	}
	for _, number := range attempts {
		if cancel, ok := relay.cancelFuncs.Load(number); ok {
			if cancel, ok := cancel.(context.CancelCauseFunc); ok {
				cancel(errSilent)
			}
		}
	}
	relay.logger.Warn().Str("target", target).Int("attempts", len(attempts)).Msg("closed silent connections to target")
}

func (relay *Relay) targetAddress(target string) (string, bool) {
	details, ok := relay.noteFeed.Catalog().Targets[target]
	return details.Address, ok
}
