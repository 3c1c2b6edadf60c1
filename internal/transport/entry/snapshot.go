package entry

import (
	"time"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/coordination/plan"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
)

// snapshot is what the watcher knew of the targets at one time. One in use is
// never changed.
type snapshot struct {
	targets map[string]infra.Target
	loads   map[string]reading
}

// reading is a load report and when it was asked for.
type reading struct {
	load  engine.Load
	asked time.Time
}

// clockSkew is the most by which a target's wall clock may differ from this
// instance's for the age of its reports to be bounded.
const clockSkew = 250 * time.Millisecond

// reportOf turns a load report into what orders are decided by.
func reportOf(reading reading) order.TargetReport {
	load := reading.load
	return order.TargetReport{
		Phase:          phaseOf(load),
		Role:           load.Role,
		Models:         versions(load.Models),
		Adapters:       versions(load.Adapters),
		AcceptedNumber: load.Fence,
		BootID:         load.Incarnation,
		Age:            time.Since(measuredAt(reading)) + clockSkew,
	}
}

func phaseOf(load engine.Load) order.Phase {
	switch {
	case load.Changing:
		return order.PhaseChanging
	case load.Draining && load.Running+load.Queued > 0:
		return order.PhaseDraining
	case load.Draining:
		return order.PhaseDrained
	default:
		return order.PhaseServing
	}
}

func versions(loaded []engine.ModelLoaded) map[string]string {
	byName := map[string]string{}
	for _, item := range loaded {
		byName[item.Name] = item.Version
	}
	return byName
}

// lives returns the state of each target in the platform's list.
func (snapshot *snapshot) lives() map[string]plan.Lifecycle {
	lives := map[string]plan.Lifecycle{}
	for id, target := range snapshot.targets {
		lives[id] = plan.Lifecycle(target.Life)
	}
	return lives
}

// withdrawn returns the listed targets of a data center that a release note
// had and has no longer.
func (snapshot *snapshot) withdrawn(catalog *note.Catalog, dataCenter string) []note.Target {
	var gone []note.Target
	for id, target := range snapshot.targets {
		_, listed := catalog.Targets[id]
		if !listed && !target.Ordered && target.DataCenter == dataCenter && target.Life != infra.Ended {
			gone = append(gone, target.Target)
		}
	}
	return gone
}

// withOrdered returns the catalog with the targets that the system ordered.
func (snapshot *snapshot) withOrdered(catalog *note.Catalog) *note.Catalog {
	extended := *catalog
	extended.Targets = map[string]note.Target{}
	for id, target := range catalog.Targets {
		extended.Targets[id] = target
	}
	for id, target := range snapshot.targets {
		if target.Ordered && target.Life != infra.Ended {
			extended.Targets[id] = target.Target
		}
	}
	return &extended
}
