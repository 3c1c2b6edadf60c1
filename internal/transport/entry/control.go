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
	// standbyCount is how many instances watch a lease closely.
	standbyCount = 3
	controlPause = 250 * time.Millisecond
	sweepPause   = 5 * time.Second
	sweepRows    = 200
)

// control takes part in the contest for the duties of the fleet: the orders
// of each data center and the usage reports.
type control struct {
	instance *Instance
	reports  *lease.Lease
	freezer  *usage.WindowReporter

	mu       sync.Mutex
	stewards map[string]*steward
}

func newControl(instance *Instance) *control {
	control := &control{instance: instance, stewards: map[string]*steward{}}
	control.reports = control.newLease("usage")
	settings := instance.settings
	control.freezer = usage.NewWindowReporter(settings.Instance, instance.platform,
		&gatherer{instance: instance}, &reporter{platform: instance.platform}, duty{control.reports},
		usage.WithLogger(instance.logger), usage.WithRegisterer(instance.registry),
		usage.WithWindowLength(conf.Milliseconds(settings.Usage.WindowMS)),
		usage.WithGracePeriod(conf.Milliseconds(settings.Usage.GraceMS)))
	return control
}

func (control *control) newLease(name string) *lease.Lease {
	instance := control.instance
	return lease.New(instance.platform, name, instance.settings.Instance,
		lease.WithDuration(conf.Milliseconds(instance.settings.Timeouts.LeaseMS)),
		lease.WithLogger(instance.logger),
		lease.WithRegisterer(instance.registry),
		lease.WithStandby(func() bool { return instance.standby(name) }))
}

// standby reports whether this instance watches a duty closely.
func (instance *Instance) standby(name string) bool {
	var ids []string
	for _, peer := range instance.members.Peers() {
		if peer.Heard && !peer.Leaving {
			ids = append(ids, peer.ID)
		}
	}
	return lease.IsStandby(name, instance.settings.Instance, ids, standbyCount)
}

// Start runs the duties until ctx ends.
func (control *control) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- control.run(ctx) }()
	return ended
}

func (control *control) run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(ctx)
	defer stopWork()
	freezer := control.freezer.Start(workCtx)
	// The leases outlive the work under them, so that they are released only
	// after it has stopped.
	leaseCtx, releaseLeases := context.WithCancel(context.WithoutCancel(ctx))
	defer releaseLeases()
	leases := []<-chan error{control.reports.Start(leaseCtx)}
	var works []<-chan error
	sweeper := control.startSweeper(workCtx)
	ticker := time.NewTicker(controlPause)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, steward := range control.added() {
			leases = append(leases, steward.lease.Start(leaseCtx))
			works = append(works, steward.start(workCtx))
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	stopWork()
	errs := []error{<-freezer, <-sweeper}
	for _, work := range works {
		errs = append(errs, <-work)
	}
	releaseLeases()
	for _, lease := range leases {
		errs = append(errs, <-lease)
	}
	return errors.Join(errs...)
}

// startSweeper deletes expired claims, a page at a time, at the instance that
// has the usage duty.
func (control *control) startSweeper(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		after := ""
		for ctx.Err() == nil {
			pause.For(ctx, sweepPause)
			if _, held := control.reports.Held(); !held || ctx.Err() != nil {
				continue
			}
			next, _, err := control.instance.guard.Sweep(ctx, after, sweepRows)
			if err == nil {
				after = next
			}
		}
		ended <- nil
	}()
	return ended
}

// added returns stewards for data centers that are new in the catalog.
func (control *control) added() []*steward {
	catalog := control.instance.feed.Current()
	if catalog == nil {
		return nil
	}
	control.mu.Lock()
	defer control.mu.Unlock()
	var added []*steward
	for name := range catalog.DataCenters {
		if _, ok := control.stewards[name]; !ok {
			steward := newSteward(control, name)
			control.stewards[name] = steward
			added = append(added, steward)
		}
	}
	return added
}

func (control *control) all() []*steward {
	control.mu.Lock()
	defer control.mu.Unlock()
	stewards := make([]*steward, 0, len(control.stewards))
	for _, steward := range control.stewards {
		stewards = append(stewards, steward)
	}
	return stewards
}

// holds reports whether the orders of a data center are in this instance's
// hands.
func (control *control) holds(dataCenter string) bool {
	control.mu.Lock()
	steward, ok := control.stewards[dataCenter]
	control.mu.Unlock()
	if !ok {
		return false
	}
	_, held := steward.lease.Held()
	return held
}

// duty lets the freezer work under a lease.
type duty struct {
	lease *lease.Lease
}

// Condition returns a write that holds only while the lease does.
func (duty duty) Condition() table.Write {
	grant, ok := duty.lease.Held()
	if !ok {
		// No row has this version, so that a write without the lease fails.
		return table.Write{Key: "lease/none", Version: ^uint64(0), CheckOnly: true}
	}
	return grant.Condition()
}

// Held reports whether the lease is held.
func (duty duty) Held() bool {
	_, ok := duty.lease.Held()
	return ok
}
