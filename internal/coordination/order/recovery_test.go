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
	leaseDuration = lease.DefaultDuration
	storeLatency  = 5 * time.Millisecond
	pollInterval  = 250 * time.Millisecond // between checks of the lease
)

// takeoverCost is the duration of one takeover and the store calls during it.
type takeoverCost struct {
	duration                time.Duration
	storeReads, storeWrites uint64
}

// measureTakeover disconnects the lease holder from the store and waits until the
// next holder has issued its first order.
func measureTakeover(t *testing.T, instances int, reportLag time.Duration, openTicket bool, seed uint64) takeoverCost {
	var result takeoverCost
	synctest.Test(t, func(t *testing.T) {
		simulator := newSimulator(reportLag)
		var targets []note.Target
		for i := range 12 {
			targets = append(targets, simulator.addTarget(fmt.Sprint("t", i), true, true))
		}
		downClient := ""
		simulator.store.SetFault(func(call memory.Call) memory.Fault {
			return memory.Fault{Unavailable: call.Client == downClient, Delay: storeLatency}
		})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		names := make([]string, instances)
		for i := range names {
			names[i] = fmt.Sprint("instance-", i)
		}
		firstOrder := make(chan string, 10)
		var leaseErrors []<-chan error
		leases, issuers := map[string]*lease.Lease{}, map[string]*order.Issuer{}
		for i, name := range names {
			process := &process{name: name, simulator: simulator}
			client := simulator.store.Client(name)
			leases[name] = lease.New(client, "orders/"+dataCenter, name,
				lease.WithRandSource(rand.NewPCG(seed, uint64(i))),
				lease.WithStandby(func() bool { return lease.IsStandby("orders/"+dataCenter, name, names, 3) }))
			issuers[name] = order.New(dataCenter, name, order.Dependencies{
				Store: client, Lease: leases[name], Targets: process, Platform: process, WriterStatus: process,
			})
			leaseErrors = append(leaseErrors, leases[name].Start(ctx))
		}
		holder := waitForLeaseHolder(leases, "")
		_, _ = issuers[holder].Recover(ctx)
		time.Sleep(2*leaseDuration + time.Duration(seed)*leaseDuration/37)
		if openTicket {
			simulator.setDelivery(requestLost)
			issuers[holder].Issue(ctx, loadRequest(targets[0], "v1"))
			simulator.setDelivery(delivered)
		}
		synctest.Wait()
		downClient = holder
		before, cutOffAt := simulator.store.Counts(), time.Now()
		successor := waitForLeaseHolder(leases, holder)
		for len(firstOrder) == 0 {
			_, _ = issuers[successor].Recover(ctx)
			if issuers[successor].Issue(ctx, loadRequest(targets[0], "v2")).Err == nil {
				firstOrder <- successor
			} else {
				time.Sleep(pollInterval)
			}
		}
		after := simulator.store.Counts()
		result = takeoverCost{time.Since(cutOffAt), after.Reads - before.Reads, after.Writes - before.Writes}
		stop()
		for _, errs := range leaseErrors {
			for range errs {
				continue
			}
		}
		for _, violation := range simulator.listViolations() {
			t.Error(violation)
		}
	})
	return result
}

func waitForLeaseHolder(leases map[string]*lease.Lease, except string) string {
	for ; ; time.Sleep(pollInterval) {
		for name, lease := range leases {
			if _, ok := lease.Held(); ok && name != except {
				return name
			}
		}
	}
}

func loadRequest(target note.Target, version string) order.Request {
	return order.Request{Target: target, Order: order.Order{Kind: order.KindLoadModel, Model: "layout", Version: version}}
}

// TestTakeoverDuration measures the time from the loss of a lease holder to the
// first order of the next one, and the store calls in that time. It fails above two
// lease durations.
func TestTakeoverDuration(t *testing.T) {
	const seeds = 20
	for _, instances := range []int{7, 300} {
		for _, openTicket := range []bool{false, true} {
			var costs []takeoverCost
			for seed := range uint64(seeds) {
				costs = append(costs, measureTakeover(t, instances, time.Second, openTicket, seed))
			}
			slices.SortFunc(costs, func(a, b takeoverCost) int { return int(a.duration - b.duration) })
			median, slowest := costs[seeds/2], costs[seeds-1]
			t.Logf("%d instances, open ticket %v: p50 %.2f lease durations, max %.2f; at the max %d reads, %d writes",
				instances, openTicket, median.duration.Seconds()/leaseDuration.Seconds(), slowest.duration.Seconds()/leaseDuration.Seconds(), slowest.storeReads, slowest.storeWrites)
			if slowest.duration > 2*leaseDuration {
				t.Errorf("takeover took %v, want at most %v", slowest.duration, 2*leaseDuration)
			}
		}
	}
}

// TestStoreCallsPerOrder logs the number of store calls per order when each of
// many targets is sent one order.
func TestStoreCallsPerOrder(t *testing.T) {
	for _, targets := range []int{12, 1200} {
		synctest.Test(t, func(t *testing.T) {
			simulator := newSimulator(0)
			process := simulator.startProcess("first")
			simulator.grantLease(process)
			var requests []order.Request
			for i := range targets {
				requests = append(requests, loadRequest(simulator.addTarget(fmt.Sprintf("t%05d", i), i%2 == 0, true), "v1"))
			}
			for _, version := range []string{"v1", "v2"} {
				before := simulator.store.Counts()
				rows := process.rowsCommitted.Load()
				for i := range requests {
					requests[i].Order.Version = version
				}
				for _, result := range process.issuer.IssueAll(context.Background(), requests) {
					if result.Outcome != order.OutcomeDone {
						t.Fatalf("IssueAll() gives %+v, want outcome %q", result, order.OutcomeDone)
					}
				}
				after := simulator.store.Counts()
				orders := float64(targets)
				t.Logf("%d targets: per order %.2f reads, %.2f transactions, %.2f rows written", targets,
					float64(after.Reads-before.Reads)/orders, float64(after.Writes-before.Writes)/orders, float64(process.rowsCommitted.Load()-rows)/orders)
			}
			before := simulator.store.Counts()
			tickets, err := process.issuer.ListTickets(context.Background(), dataCenter)
			t.Logf("ListTickets() listed %d tickets in %d reads, error %v", len(tickets), simulator.store.Counts().Reads-before.Reads, err)
		})
	}
}
