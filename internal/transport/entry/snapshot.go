package entry

import (
	"time"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/coordination/plan"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
)

// snapshot is the watcher's view of the targets at one time. It is immutable once
// published.
type snapshot struct {
	targets  map[string]infra.Target
	readings map[string]loadReading
}

// loadReading is a load report and the time at which it was requested.
type loadReading struct {
	report      engine.LoadReport
	requestedAt time.Time
}

// maxClockSkew is the assumed maximum difference between the wall clocks of a target
// and this instance. TargetReport.Age is an upper bound only if they differ by less.
const maxClockSkew = 250 * time.Millisecond

// targetReport converts a load report into the form that the planning of orders uses.
func targetReport(reading loadReading) order.TargetReport {
	report := reading.report
	return order.TargetReport{
		Phase:          orderPhase(report),
		Role:           report.Role,
		Models:         versionsByName(report.Models),
		Adapters:       versionsByName(report.Adapters),
		AcceptedNumber: report.MaxFencingToken,
		BootID:         report.Incarnation,
		Age:            time.Since(measuredAt(reading)) + maxClockSkew,
	}
}

func orderPhase(report engine.LoadReport) order.Phase {
	switch {
	case report.OrderInProgress:
		return order.PhaseChanging
	case report.Draining && report.RunningRequests+report.QueuedRequests > 0:
		return order.PhaseDraining
	case report.Draining:
		return order.PhaseDrained
	default:
		return order.PhaseServing
	}
}

func versionsByName(loaded []engine.LoadedModel) map[string]string {
	versions := map[string]string{}
	for _, item := range loaded {
		versions[item.Name] = item.Version
	}
	return versions
}

// lifecycles returns the lifecycle state of each target.
func (snapshot *snapshot) lifecycles() map[string]plan.Lifecycle {
	lifecycles := map[string]plan.Lifecycle{}
	for id, target := range snapshot.targets {
		lifecycles[id] = plan.Lifecycle(target.Lifecycle)
	}
	return lifecycles
}

// withdrawnTargets returns the targets of a data centre that an earlier release note
// listed and the catalog no longer does, and that have not ended.
func (snapshot *snapshot) withdrawnTargets(catalog *note.Catalog, dataCenter string) []note.Target {
	var withdrawn []note.Target
	for id, target := range snapshot.targets {
		_, inCatalog := catalog.Targets[id]
		if !inCatalog && !target.StartedByOrder && target.DataCenter == dataCenter && target.Lifecycle != infra.LifecycleEnded {
			withdrawn = append(withdrawn, target.Target)
		}
	}
	return withdrawn
}

// withOrderedTargets returns a copy of the catalog that also holds the targets that
// the system itself ordered from the platform.
func (snapshot *snapshot) withOrderedTargets(catalog *note.Catalog) *note.Catalog {
	extended := *catalog
	extended.Targets = map[string]note.Target{}
	for id, target := range catalog.Targets {
		extended.Targets[id] = target
	}
	for id, target := range snapshot.targets {
		if target.StartedByOrder && target.Lifecycle != infra.LifecycleEnded {
			extended.Targets[id] = target.Target
		}
	}
	return &extended
}
