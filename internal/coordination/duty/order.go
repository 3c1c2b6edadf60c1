package duty

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/shape"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
)

// order sends the orders that are due.
func (keeper *Keeper) order(ctx context.Context) {
	grant, ok := keeper.tenure.held()
	if !ok {
		return
	}
	if grant.Epoch != keeper.orderEpoch {
		keeper.orderEpoch = grant.Epoch
		clear(keeper.capacity)
		keeper.changes.clear()
	}
	situation := keeper.situation()
	if situation.Manifest == nil {
		return
	}
	for _, service := range situation.Manifest.Services {
		if keeper.duties.Capacity {
			keeper.orderCapacity(ctx, service, &situation)
		}
		if service.Engine != nil {
			keeper.orderStages(ctx, service, &situation)
		}
	}
}

func (keeper *Keeper) orderCapacity(ctx context.Context, service site.Service, situation *Situation) {
	capacity, ok := keeper.capacity[service.Name]
	if !ok {
		capacity = shape.NewCapacity()
		keeper.capacity[service.Name] = capacity
	}
	for _, order := range capacity.Orders(service, situation.Targets, situation.Idle, time.Now()) {
		grant, ok := keeper.tenure.held()
		if !ok {
			return
		}
		err := keeper.platform.OrderCapacity(ctx, keeper.self, grant.Epoch, order)
		switch {
		case err == nil:
			capacity.Ordered(order, time.Now())
		case code.Is(err, code.NoTarget):
			capacity.Refused(order, time.Now())
		}
		event := keeper.logger.Info()
		if err != nil {
			event = keeper.logger.Warn().Err(err)
		}
		event.Str("service", order.Service).Str("data-center", order.DataCenter).Int("count", order.Count).
			Bool("cheap", order.Cheap).Uint64("fence", grant.Epoch).Msg("capacity ordered")
	}
}

// orderStages sends the most urgent changes of stage, once the targets that
// were ordered have come or after a while. While requests are served only a
// part of the engines changes at the same time.
func (keeper *Keeper) orderStages(ctx context.Context, service site.Service, situation *Situation) {
	now := time.Now()
	if capacity, ok := keeper.capacity[service.Name]; ok && !capacity.Settled(service, situation.Targets, now) {
		return
	}
	engines := 0
	for _, target := range situation.Targets {
		if target.Service == service.Name {
			engines++
		}
	}
	most := max(1, int(shareChanging*float64(engines)))
	if situation.Idle {
		most = engines
	}
	changing := keeper.changes.stages(now)
	for _, change := range shape.Stages(service, situation.Targets, changing) {
		if len(changing) >= most {
			return
		}
		changing[change.Target.ID] = change.Stage
		keeper.orderStage(ctx, change, service.Engine.Switch)
	}
}

// orderStage asks an engine for its state and orders the change. The order
// names how many orders the engine must have accepted, so that one that is
// carried out late cannot undo a newer one.
func (keeper *Keeper) orderStage(ctx context.Context, change shape.StageChange, length time.Duration) {
	report, err := keeper.platform.Report(ctx, change.Target)
	if err != nil {
		keeper.logger.Warn().Err(err).Str("target", change.Target.ID).Msg("target does not report")
		return
	}
	if report.Busy || report.Stage == change.Stage {
		keeper.changes.add(change, stageWait)
		return
	}
	grant, ok := keeper.tenure.held()
	if !ok {
		return
	}
	keeper.changes.add(change, length+stageWait)
	err = keeper.platform.OrderStage(ctx, site.StageOrder{
		Target: change.Target, Stage: change.Stage, Holder: keeper.self, Fence: grant.Epoch, Expected: report.Orders,
	})
	event := keeper.logger.Info()
	if err != nil {
		event = keeper.logger.Warn().Err(err)
	}
	event.Str("target", change.Target.ID).Stringer("stage", change.Stage).Int64("expected", report.Orders).
		Uint64("fence", grant.Epoch).Msg("stage ordered")
}

// report reports the usage windows that are due.
func (keeper *Keeper) report(ctx context.Context) {
	grant, ok := keeper.tenure.held()
	if !ok || !keeper.duties.Usage {
		return
	}
	if grant.Epoch != keeper.reportEpoch {
		keeper.reportEpoch = grant.Epoch
		keeper.reporter.Reset()
	}
	situation := keeper.situation()
	if situation.Timely {
		keeper.reporter.Step(ctx, situation.Now, keeper.tenure.held)
	}
}
