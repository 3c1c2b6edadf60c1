package lab_test

import (
	"context"
	"testing"

	"mangopier.example/mangopier/internal/transport/lab"
)

func TestOrdersTargetsUnderLoad(t *testing.T) {
	system := startSystem(t, func(config *lab.Config) {
		useShortLeases(config)
		for i := range config.Engines {
			config.Engines[i].Slots, config.Engines[i].DecodeTPS = 4, 40
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan response)
	const callers = 24
	for range callers {
		go sendChatsUntilDone(ctx, system, results)
	}
	go func() {
		for range results {
		}
	}()
	waitFor(t, "a completed run at an ordered engine", func() bool {
		for _, engine := range system.OrderedEngines() {
			if engine.CompletedRuns() > 0 {
				return true
			}
		}
		return false
	})
}
