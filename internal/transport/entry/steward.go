package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/plan"
	"mangopier.example/mangopier/internal/coordination/roles"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
)

const (
	orderInterval       = 500 * time.Millisecond
	demandInterval      = time.Second
	maxUnavailable      = 1   // targets of a data centre, see plan.Input
	roleThresholdFactor = 2.0 // of the threshold role policy
)

// orderController issues the orders of one data centre while this instance holds
// its lease. All its state can be rebuilt by a successor from the store and the
// targets' reports, except the observed demand that role changes depend on.
type orderController struct {
	coordinator     *coordinator
	dataCenter      string
	lease           *lease.Lease
	issuer          *order.Issuer
	logger          zerolog.Logger
	epoch           uint64
	rolePolicy      roles.Policy
	desiredRoles    map[string]note.Role
	tokenTotals     map[string]tokenTotal
	observedAt      time.Time
	capacityPlanner *capacityPlanner
	releasing       map[string]bool // IDs of targets that are drained before their release
}

func newOrderController(coordinator *coordinator, dataCenter string) *orderController {
	instance := coordinator.instance
	transport := &orderTransport{instance: instance}
	orderLease := coordinator.newLease("orders/" + dataCenter)
	return &orderController{
		coordinator: coordinator,
		dataCenter:  dataCenter,
		lease:       orderLease,
		logger:      instance.logger.With().Str("part", "steward").Str("data-center", dataCenter).Logger(),
		issuer: order.New(dataCenter, instance.settings.Instance, order.Dependencies{
			Store: instance.platform, Lease: orderLease, Targets: transport, Platform: transport, WriterStatus: transport,
		}, order.WithLogger(instance.logger), order.WithIdempotentPlatform(), order.WithRegisterer(instance.registry)),
	}
}

func (controller *orderController) start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		controller.run(ctx)
		ended <- nil
	}()
	return ended
}

func (controller *orderController) run(ctx context.Context) {
	for ctx.Err() == nil {
		if grant, ok := controller.lease.Held(); ok {
			controller.resetForGrant(grant)
			controller.issueDueOrders(ctx)
		}
		pause.For(ctx, orderInterval)
	}
}

// resetForGrant discards the state that was built up under an earlier grant of the
// lease.
func (controller *orderController) resetForGrant(grant lease.Grant) {
	if controller.epoch == grant.Epoch && controller.rolePolicy != nil {
		return
	}
	controller.epoch = grant.Epoch
	controller.rolePolicy = newRolePolicy(controller.coordinator.instance.settings.Policy.Roles)
	controller.desiredRoles = map[string]note.Role{}
	controller.tokenTotals = map[string]tokenTotal{}
	controller.observedAt = time.Time{}
	controller.capacityPlanner = newCapacityPlanner(controller.coordinator.instance.settings.Policy.Capacity)
	controller.releasing = map[string]bool{}
	controller.logger.Info().Uint64("epoch", grant.Epoch).Msg("acquired lease for orders of data centre")
}

func newRolePolicy(name string) roles.Policy {
	switch name {
	case "never":
		return roles.StaticPolicy{}
	case "threshold":
		return roles.NewThresholdPolicy(roleThresholdFactor)
	default:
		return roles.NewPersistencePolicy()
	}
}

// issueDueOrders settles open tickets, then plans and issues the orders that are
// due.
func (controller *orderController) issueDueOrders(ctx context.Context) {
	catalog := controller.coordinator.instance.noteFeed.Catalog()
	snapshot := controller.coordinator.instance.watcher.snapshot.Load()
	if catalog == nil || snapshot == nil {
		return
	}
	if _, err := controller.issuer.Recover(ctx); err != nil {
		controller.logger.Debug().Err(err).Msg("open order tickets not settled; no orders issued")
		return
	}
	tickets, err := controller.issuer.ListTickets(ctx, controller.dataCenter)
	if err != nil {
		return
	}
	controller.planRoleChange(snapshot)
	next := plan.Next(controller.planInput(catalog, snapshot, tickets))
	if len(next.Orders) > 0 {
		controller.logResults(controller.issuer.IssueAll(ctx, next.Orders))
	}
	controller.stopRemovedTargets(ctx, catalog, snapshot, tickets)
	controller.adjustCapacity(ctx, catalog, snapshot)
}

func (controller *orderController) planInput(catalog *note.Catalog, snapshot *snapshot, tickets []order.Ticket) plan.Input {
	input := plan.Input{
		Catalog:        snapshot.withOrderedTargets(catalog),
		DataCenter:     controller.dataCenter,
		Withdrawn:      snapshot.withdrawnTargets(catalog, controller.dataCenter),
		Reports:        map[string]order.TargetReport{},
		Lifecycles:     snapshot.lifecycles(),
		DesiredRoles:   controller.desiredRoles,
		Blocked:        map[string]bool{},
		MaxUnavailable: maxUnavailable,
	}
	for id, reading := range snapshot.readings {
		if snapshot.targets[id].Kind == note.KindEngine {
			input.Reports[id] = targetReport(reading)
		}
	}
	for _, ticket := range tickets {
		if ticket.State != order.StateClosed {
			input.Blocked[ticket.Target.ID] = true
		}
	}
	for id := range controller.releasing {
		input.Blocked[id] = true
	}
	return input
}

func (controller *orderController) logResults(results []order.Result) {
	for _, result := range results {
		controller.logger.Info().Str("target", result.TargetID).Uint64("number", result.Number).
			Str("outcome", string(result.Outcome)).AnErr("error", result.Err).Msg("issued order to target")
	}
}

// stopRemovedTargets asks the platform to end two kinds of targets: withdrawn ones
// that have carried out their stop order, and those with an abandoned ticket.
func (controller *orderController) stopRemovedTargets(ctx context.Context, catalog *note.Catalog, snapshot *snapshot, tickets []order.Ticket) {
	var stopIDs []string
	for _, ticket := range tickets {
		target, listed := snapshot.targets[ticket.Target.ID]
		if !listed || target.Lifecycle == infra.LifecycleEnded {
			continue
		}
		_, inCatalog := catalog.Targets[target.ID]
		stopped := ticket.State == order.StateClosed && ticket.Order.Kind == order.KindStop && ticket.Outcome == order.OutcomeDone
		if (stopped && !inCatalog) || ticket.State == order.StateAbandoned {
			stopIDs = append(stopIDs, target.ID)
		}
	}
	if len(stopIDs) == 0 {
		return
	}
	result := controller.issuer.IssuePlatform(ctx, order.PlatformOrder{Kind: order.PlatformStop, TargetIDs: stopIDs})
	controller.logger.Info().Strs("targets", stopIDs).AnErr("error", result.Err).Msg("requested stop of targets from platform")
}
