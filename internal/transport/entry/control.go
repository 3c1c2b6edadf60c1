package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	// standbyCount is the number of instances that poll a lease closely, to take
	// it over soon after it expires.
	standbyCount = 3
	// dataCenterCheckInterval is the time between checks of the catalog for new
	// data centres.
	dataCenterCheckInterval = 250 * time.Millisecond
	claimSweepInterval      = 5 * time.Second
	claimSweepRows          = 200
)

// coordinator competes for the leases of the fleet's control duties, the orders
// of each data centre and the usage reports, and runs the duties whose lease this
// instance holds.
type coordinator struct {
	instance       *Instance
	usageLease     *lease.Lease
	windowReporter *usage.WindowReporter

	mu               sync.Mutex
	orderControllers map[string]*orderController
}

func newCoordinator(instance *Instance) *coordinator {
	coordinator := &coordinator{instance: instance, orderControllers: map[string]*orderController{}}
	coordinator.usageLease = coordinator.newLease("usage")
	settings := instance.settings
	coordinator.windowReporter = usage.NewWindowReporter(settings.Instance, instance.platform,
		&usageCollector{instance: instance}, &reportSender{platform: instance.platform}, usageLease{coordinator.usageLease},
		usage.WithLogger(instance.logger), usage.WithRegisterer(instance.registry),
		usage.WithWindowLength(conf.Milliseconds(settings.Usage.WindowMS)),
		usage.WithGracePeriod(conf.Milliseconds(settings.Usage.GraceMS)))
	return coordinator
}

func (coordinator *coordinator) newLease(name string) *lease.Lease {
	instance := coordinator.instance
	return lease.New(instance.platform, name, instance.settings.Instance,
		lease.WithDuration(conf.Milliseconds(instance.settings.Timeouts.LeaseMS)),
		lease.WithLogger(instance.logger),
		lease.WithRegisterer(instance.registry),
		lease.WithStandby(func() bool { return instance.isStandby(name) }))
}

// isStandby reports whether this instance is among the standbys for a lease.
func (instance *Instance) isStandby(leaseName string) bool {
	var ids []string
	for _, peer := range instance.members.Peers() {
		if peer.Alive && !peer.Leaving {
			ids = append(ids, peer.ID)
		}
	}
	return lease.IsStandby(leaseName, instance.settings.Instance, ids, standbyCount)
}

// Start runs the duties until ctx ends.
func (coordinator *coordinator) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- coordinator.run(ctx) }()
	return ended
}

func (coordinator *coordinator) run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(ctx)
	defer stopWork()
	reporterEnded := coordinator.windowReporter.Start(workCtx)
	// The leases are released only after the work under them has stopped, so
	// that a successor never overlaps with it.
	leaseCtx, releaseLeases := context.WithCancel(context.WithoutCancel(ctx))
	defer releaseLeases()
	leasesEnded := []<-chan error{coordinator.usageLease.Start(leaseCtx)}
	var controllersEnded []<-chan error
	sweeperEnded := coordinator.startClaimSweeper(workCtx)
	ticker := time.NewTicker(dataCenterCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, controller := range coordinator.addControllers() {
			leasesEnded = append(leasesEnded, controller.lease.Start(leaseCtx))
			controllersEnded = append(controllersEnded, controller.start(workCtx))
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	stopWork()
	errs := []error{<-reporterEnded, <-sweeperEnded}
	for _, ended := range controllersEnded {
		errs = append(errs, <-ended)
	}
	releaseLeases()
	for _, ended := range leasesEnded {
		errs = append(errs, <-ended)
	}
	return errors.Join(errs...)
}

// startClaimSweeper deletes expired idempotency claims, a page at a time, while
// this instance holds the usage lease, so that only one instance of the fleet does so.
func (coordinator *coordinator) startClaimSweeper(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		after := ""
		for ctx.Err() == nil {
			pause.For(ctx, claimSweepInterval)
			if _, held := coordinator.usageLease.Held(); !held || ctx.Err() != nil {
				continue
			}
			next, _, err := coordinator.instance.deduplicator.DeleteExpired(ctx, after, claimSweepRows)
			if err == nil {
				after = next
			}
		}
		ended <- nil
	}()
	return ended
}

// addControllers adds controllers for the data centres that are new in the
// catalog, and returns them.
func (coordinator *coordinator) addControllers() []*orderController {
	catalog := coordinator.instance.noteFeed.Catalog()
	if catalog == nil {
		return nil
	}
	coordinator.mu.Lock()
	defer coordinator.mu.Unlock()
	var added []*orderController
	for name := range catalog.DataCenters {
		if _, ok := coordinator.orderControllers[name]; !ok {
			controller := newOrderController(coordinator, name)
			coordinator.orderControllers[name] = controller
			added = append(added, controller)
		}
	}
	return added
}

func (coordinator *coordinator) allControllers() []*orderController {
	coordinator.mu.Lock()
	defer coordinator.mu.Unlock()
	controllers := make([]*orderController, 0, len(coordinator.orderControllers))
	for _, controller := range coordinator.orderControllers {
		controllers = append(controllers, controller)
	}
	return controllers
}

// holdsLease reports whether this instance holds the lease for the orders of a
// data centre.
func (coordinator *coordinator) holdsLease(dataCenter string) bool {
	coordinator.mu.Lock()
	controller, ok := coordinator.orderControllers[dataCenter]
	coordinator.mu.Unlock()
	if !ok {
		return false
	}
	_, held := controller.lease.Held()
	return held
}

// usageLease makes the writes of the usage window reporter depend on the usage lease.
type usageLease struct {
	lease *lease.Lease
}

// Condition returns a write that fails its transaction unless the lease is held.
func (usageLease usageLease) Condition() table.Write {
	grant, ok := usageLease.lease.Held()
	if !ok {
		// No row ever has this version, so a transaction without the lease fails.
		return table.Write{Key: "lease/none", ExpectedVersion: ^uint64(0), CheckOnly: true}
	}
	return grant.Condition()
}

// Held reports whether the lease is held.
func (usageLease usageLease) Held() bool {
	_, ok := usageLease.lease.Held()
	return ok
}
