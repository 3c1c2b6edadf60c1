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
	stewardPause  = 500 * time.Millisecond
	observeEvery  = time.Second
	maxDraining   = 1
	thresholdRole = 2.0 // factor of the threshold policy
)

// steward issues the orders of one data center while this instance holds its
// lease. It keeps nothing that a successor cannot read from the store and from
// the targets' reports, but for the demand that role changes are decided by.
type steward struct {
	control    *control
	dataCenter string
	lease      *lease.Lease
	issuer     *order.Issuer
	logger     zerolog.Logger
	epoch      uint64
	policy     roles.Policy
	wanted     map[string]note.Role
	totals     map[string]total
	observed   time.Time
	capacity   *capacity
	retiring   map[string]bool // ordered targets that are to be released
}

func newSteward(control *control, dataCenter string) *steward {
	instance := control.instance
	carrier := &carrier{instance: instance}
	held := control.newLease("orders/" + dataCenter)
	return &steward{
		control:    control,
		dataCenter: dataCenter,
		lease:      held,
		logger:     instance.logger.With().Str("part", "steward").Str("data-center", dataCenter).Logger(),
		issuer: order.New(dataCenter, instance.settings.Instance, order.Dependencies{
			Store: instance.platform, Lease: held, Targets: carrier, Platform: carrier, WriterStatus: carrier,
		}, order.WithLogger(instance.logger), order.WithIdempotentPlatform(), order.WithRegisterer(instance.registry)),
	}
}

func (steward *steward) start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		steward.run(ctx)
		ended <- nil
	}()
	return ended
}

func (steward *steward) run(ctx context.Context) {
	for ctx.Err() == nil {
		if grant, ok := steward.lease.Held(); ok {
			steward.begin(grant)
			steward.step(ctx)
		}
		pause.For(ctx, stewardPause)
	}
}

// begin forgets under a new grant what was learned under an older one.
func (steward *steward) begin(grant lease.Grant) {
	if steward.epoch == grant.Epoch && steward.policy != nil {
		return
	}
	steward.epoch = grant.Epoch
	steward.policy = rolePolicy(steward.control.instance.settings.Policy.Roles)
	steward.wanted = map[string]note.Role{}
	steward.totals = map[string]total{}
	steward.observed = time.Time{}
	steward.capacity = newCapacity(steward.control.instance.settings.Policy.Capacity)
	steward.retiring = map[string]bool{}
	steward.logger.Info().Uint64("epoch", grant.Epoch).Msg("orders are in this instance's hands")
}

func rolePolicy(name string) roles.Policy {
	switch name {
	case "never":
		return roles.Never{}
	case "threshold":
		return roles.NewThreshold(thresholdRole)
	default:
		return roles.New()
	}
}

// step settles open tickets and issues the orders that are due.
func (steward *steward) step(ctx context.Context) {
	catalog := steward.control.instance.feed.Current()
	seen := steward.control.instance.watcher.snapshot.Load()
	if catalog == nil || seen == nil {
		return
	}
	if _, err := steward.issuer.Recover(ctx); err != nil {
		steward.logger.Debug().Err(err).Msg("tickets cannot be settled now")
		return
	}
	tickets, err := steward.issuer.ListTickets(ctx, steward.dataCenter)
	if err != nil {
		return
	}
	steward.decideRole(seen)
	next := plan.Next(steward.input(catalog, seen, tickets))
	if len(next.Orders) > 0 {
		steward.report(steward.issuer.IssueAll(ctx, next.Orders))
	}
	steward.remove(ctx, catalog, seen, tickets)
	steward.balance(ctx, catalog, seen)
}

func (steward *steward) input(catalog *note.Catalog, seen *snapshot, tickets []order.Ticket) plan.Input {
	input := plan.Input{
		Catalog:        seen.withOrdered(catalog),
		DataCenter:     steward.dataCenter,
		Withdrawn:      seen.withdrawn(catalog, steward.dataCenter),
		Reports:        map[string]order.TargetReport{},
		Lifecycles:     seen.lives(),
		DesiredRoles:   steward.wanted,
		Blocked:        map[string]bool{},
		MaxUnavailable: maxDraining,
	}
	for id, reading := range seen.loads {
		if seen.targets[id].Kind == note.KindEngine {
			input.Reports[id] = reportOf(reading)
		}
	}
	for _, ticket := range tickets {
		if ticket.State != order.StateClosed {
			input.Blocked[ticket.Target.ID] = true
		}
	}
	for id := range steward.retiring {
		input.Blocked[id] = true
	}
	return input
}

func (steward *steward) report(results []order.Result) {
	for _, result := range results {
		steward.logger.Info().Str("target", result.TargetID).Uint64("number", result.Number).
			Str("outcome", string(result.Outcome)).AnErr("error", result.Err).Msg("order was issued")
	}
}

// remove asks the platform to end the withdrawn targets that were stopped and
// those that were abandoned.
func (steward *steward) remove(ctx context.Context, catalog *note.Catalog, seen *snapshot, tickets []order.Ticket) {
	var stop []string
	for _, ticket := range tickets {
		target, listed := seen.targets[ticket.Target.ID]
		if !listed || target.Life == infra.Ended {
			continue
		}
		_, wanted := catalog.Targets[target.ID]
		stopped := ticket.State == order.StateClosed && ticket.Order.Kind == order.KindStop && ticket.Outcome == order.OutcomeDone
		if (stopped && !wanted) || ticket.State == order.StateAbandoned {
			stop = append(stop, target.ID)
		}
	}
	if len(stop) == 0 {
		return
	}
	result := steward.issuer.IssuePlatform(ctx, order.PlatformOrder{Kind: order.PlatformStop, TargetIDs: stop})
	steward.logger.Info().Strs("targets", stop).AnErr("error", result.Err).Msg("platform was asked to stop targets")
}
