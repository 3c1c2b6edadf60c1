package order_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/memory"
)

const (
	term      = lease.DefaultDuration
	storeCall = 5 * time.Millisecond
	tick      = 250 * time.Millisecond // between looks at the lease
)

// recovery is what one takeover took.
type recovery struct {
	took          time.Duration
	reads, writes uint64
}

// recoverFromKill kills the holder among some instances and waits for the
// first order of its successor.
func recoverFromKill(t *testing.T, instances int, lag time.Duration, openTicket bool, seed uint64) recovery {
	var result recovery
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(lag)
		var targets []note.Target
		for i := range 12 {
			targets = append(targets, world.add(fmt.Sprint("t", i), true, true))
		}
		down := ""
		world.store.SetFault(func(call memory.Call) memory.Fault {
			return memory.Fault{Down: call.Client == down, Delay: storeCall}
		})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		names := make([]string, instances)
		for i := range names {
			names[i] = fmt.Sprint("instance-", i)
		}
		first := make(chan string, 10)
		var ends []<-chan error
		leases, issuers := map[string]*lease.Lease{}, map[string]*order.Issuer{}
		for i, name := range names {
			process := &process{name: name, world: world}
			client := world.store.Client(name)
			leases[name] = lease.New(client, "orders/"+dataCenter, name,
				lease.WithRandSource(rand.NewPCG(seed, uint64(i))),
				lease.WithStandby(func() bool { return lease.IsStandby("orders/"+dataCenter, name, names, 3) }))
			issuers[name] = order.New(dataCenter, name, order.Services{
				Store: client, Authority: leases[name], Targets: process, Platform: process, Writers: process,
			})
			ends = append(ends, leases[name].Start(ctx))
		}
		holder := waitForHolder(leases, "")
		_, _ = issuers[holder].Recover(ctx)
		time.Sleep(2*term + time.Duration(seed)*term/37)
		if openTicket {
			world.fate(neverArrives)
			issuers[holder].Do(ctx, load(targets[0], "v1"))
			world.fate(arrives)
		}
		synctest.Wait()
		down = holder
		before, began := world.store.Counts(), time.Now()
		successor := waitForHolder(leases, holder)
		for len(first) == 0 {
			_, _ = issuers[successor].Recover(ctx)
			if issuers[successor].Do(ctx, load(targets[0], "v2")).Err == nil {
				first <- successor
			} else {
				time.Sleep(tick)
			}
		}
		after := world.store.Counts()
		result = recovery{time.Since(began), after.Reads - before.Reads, after.Writes - before.Writes}
		stop()
		for _, end := range ends {
			for range end {
				continue
			}
		}
		for _, fault := range world.faults() {
			t.Error(fault)
		}
	})
	return result
}

func waitForHolder(leases map[string]*lease.Lease, except string) string {
	for ; ; time.Sleep(tick) {
		for name, lease := range leases {
			if _, ok := lease.Held(); ok && name != except {
				return name
			}
		}
	}
}

func load(target note.Target, version string) order.Request {
	return order.Request{Target: target, Order: order.Order{Kind: order.KindLoadModel, Model: "layout", Version: version}}
}

// TestRecovery logs the time from a holder's kill to its successor's first
// order, in terms, and the store's calls in it.
func TestRecovery(t *testing.T) {
	const seeds = 20
	for _, instances := range []int{7, 300} {
		for _, openTicket := range []bool{false, true} {
			var all []recovery
			for seed := range uint64(seeds) {
				all = append(all, recoverFromKill(t, instances, time.Second, openTicket, seed))
			}
			slices.SortFunc(all, func(a, b recovery) int { return int(a.took - b.took) })
			middle, last := all[seeds/2], all[seeds-1]
			t.Logf("%d instances, open ticket %v: p50 %.2f terms, max %.2f; at the max %d reads, %d writes",
				instances, openTicket, middle.took.Seconds()/term.Seconds(), last.took.Seconds()/term.Seconds(), last.reads, last.writes)
			if last.took > 2*term {
				t.Errorf("recovery took %v", last.took)
			}
		}
	}
}

// TestCostPerOrder logs the store's calls for one order to each of many
// targets.
func TestCostPerOrder(t *testing.T) {
	for _, targets := range []int{12, 1200} {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(0)
			process := world.start("first")
			world.takeOver(process)
			var requests []order.Request
			for i := range targets {
				requests = append(requests, load(world.add(fmt.Sprintf("t%05d", i), i%2 == 0, true), "v1"))
			}
			for _, version := range []string{"v1", "v2"} {
				before := world.store.Counts()
				rows := process.rows.Load()
				for i := range requests {
					requests[i].Order.Version = version
				}
				for _, result := range process.issuer.DoAll(context.Background(), requests) {
					if result.Outcome != order.OutcomeDone {
						t.Fatalf("got %+v", result)
					}
				}
				after := world.store.Counts()
				each := float64(targets)
				t.Logf("%d targets: per order %.2f reads, %.2f transactions, %.2f rows written", targets,
					float64(after.Reads-before.Reads)/each, float64(after.Writes-before.Writes)/each, float64(process.rows.Load()-rows)/each)
			}
			before := world.store.Counts()
			tickets, err := process.issuer.Tickets(context.Background(), dataCenter)
			t.Logf("%d tickets listed in %d reads: %v", len(tickets), world.store.Counts().Reads-before.Reads, err)
		})
	}
}
