package duty

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/shape"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
)

// sendOrders sends the capacity and stage orders that are due.
func (runner *Runner) sendOrders(ctx context.Context) {
	grant, ok := runner.lease.held()
	if !ok {
		return
	}
	if grant.Epoch != runner.orderEpoch {
		runner.orderEpoch = grant.Epoch
		clear(runner.planners)
		clear(runner.demand)
		runner.pending.clear()
	}
	snapshot := runner.snapshot()
	if snapshot.Manifest == nil {
		return
	}
	for _, service := range snapshot.Manifest.Services {
		if runner.duties.Capacity {
			runner.orderCapacity(ctx, service, &snapshot)
		}
		if service.Engine != nil {
			runner.orderStages(ctx, service, &snapshot)
		}
	}
}

func (runner *Runner) orderCapacity(ctx context.Context, service site.Service, snapshot *Snapshot) {
	planner, ok := runner.planners[service.Name]
	if !ok {
		planner = shape.NewCapacityPlanner()
		runner.planners[service.Name] = planner
	}
	for _, order := range planner.PlanOrders(service, snapshot.Targets, snapshot.NoRequestsYet, time.Now()) {
		grant, ok := runner.lease.held()
		if !ok {
			return
		}
		err := runner.platform.OrderCapacity(ctx, runner.instance, grant.Epoch, order)
		switch {
		case err == nil:
			planner.RecordAccepted(order, time.Now())
		case code.Is(err, code.NoTarget):
			planner.RecordRefused(order, time.Now())
		}
		event := runner.logger.Info()
		if err != nil {
			event = runner.logger.Warn().Err(err)
		}
		event.Str("service", order.Service).Str("data-center", order.DataCenter).Int("count", order.Count).
			Bool("cheap", order.Spot).Uint64("fence", grant.Epoch).Msg("capacity ordered")
	}
}

// orderStages sends the stage changes that are due, once the targets that were
// ordered have appeared or are overdue. While requests are
// served, it limits the part of the engines that change at the same time.
func (runner *Runner) orderStages(ctx context.Context, service site.Service, snapshot *Snapshot) {
	now := time.Now()
	demand := runner.peakDemand(service.Name, snapshot.DecodeDemand[service.Name], now)
	if planner, ok := runner.planners[service.Name]; ok && !planner.IsSettled(service, snapshot.Targets, now) {
		return
	}
	engines := 0
	for _, target := range snapshot.Targets {
		if target.Service == service.Name {
			engines++
		}
	}
	maxChanging := max(1, int(maxChangingShare*float64(engines)))
	if snapshot.NoRequestsYet {
		maxChanging = engines
	}
	runner.pending.removeCompleted(snapshot.Targets)
	changing := runner.pending.stages(now)
	for _, change := range shape.PlanStageChanges(service, snapshot.Targets, changing, demand) {
		if len(changing) >= maxChanging {
			return
		}
		changing[change.Target.ID] = change.Stage
		runner.orderStage(ctx, change, demand, service.Engine.StageChangeTime)
	}
}

// peakDemand records the demand for the decode engines of a service and returns
// its recent peak.
func (runner *Runner) peakDemand(service string, demand float64, now time.Time) float64 {
	tracker, ok := runner.demand[service]
	if !ok {
		tracker = &shape.DemandTracker{}
		runner.demand[service] = tracker
	}
	return tracker.Record(demand, now)
}

// orderStage fetches an engine's status and orders the change. The order
// carries the number of orders that the engine must have accepted before, so
// that an order that is carried out late cannot undo a newer one. An engine
// that is busy or already at the stage gets no order for stageReportDelay. One
// that has accepted the order is left alone until the requests that run there
// have ended and it has changed, or the list of targets shows the new stage.
func (runner *Runner) orderStage(ctx context.Context, change shape.StageChange, demand float64, stageChangeTime time.Duration) {
	status, err := runner.platform.FetchEngineStatus(ctx, change.Target)
	if err != nil {
		runner.logger.Warn().Err(err).Str("target", change.Target.ID).Msg("target state not available, stage order postponed")
		return
	}
	if status.OrderInProgress || status.Stage == change.Stage {
		runner.pending.add(change, stageReportDelay)
		return
	}
	grant, ok := runner.lease.held()
	if !ok {
		return
	}
	runner.pending.add(change, stageChangeTime+stageReportDelay)
	err = runner.platform.OrderStage(ctx, site.StageOrder{
		Target: change.Target, Stage: change.Stage, Holder: runner.instance, FencingToken: grant.Epoch, ExpectedOrders: status.OrdersAccepted,
	})
	event := runner.logger.Info()
	if err != nil {
		event = runner.logger.Warn().Err(err)
	} else {
		runner.pending.add(change, maxRunTime+stageChangeTime+stageReportDelay)
	}
	event.Str("target", change.Target.ID).Stringer("stage", change.Stage).Float64("decode-demand", demand).Int64("expected", status.OrdersAccepted).
		Uint64("fence", grant.Epoch).Msg("stage ordered")
}

func (runner *Runner) reportUsage(ctx context.Context) {
	grant, ok := runner.lease.held()
	if !ok || !runner.duties.Usage {
		return
	}
	if grant.Epoch != runner.reportEpoch {
		runner.reportEpoch = grant.Epoch
		runner.reporter.Reset()
	}
	snapshot := runner.snapshot()
	if snapshot.TrueTimeKnown {
		runner.reporter.ReportEndedWindows(ctx, snapshot.TrueTime, runner.lease.held)
	}
}
