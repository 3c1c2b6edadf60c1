package oracle_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	usageWindow      = 10 * time.Second
	usageGrace       = 2 * time.Second
	usageLateWindows = 60                    // windows for which late counts are reported
	missingSlack     = 90 * time.Millisecond // below the copy timeout of usage.Meter, 100 ms
)

// usageBounds contains the most and the fewest tokens that may be reported for a
// team.
type usageBounds struct{ max, min int64 }

func (instance *instance) buildUsage(newSource func() rand.Source, faultyStore *faultyStore) {
	opts := func() []usage.Option {
		return []usage.Option{
			usage.WithWindowLength(usageWindow), usage.WithGracePeriod(usageGrace), usage.WithMissingTimeout(5 * time.Second),
			usage.WithReportTimeout(3 * time.Second), usage.WithAllowedLateness(usageLateWindows), usage.WithRandSource(newSource()),
			usage.WithWriterEnded(func(ctx context.Context, writer string) (bool, error) {
				return (&writerStatus{instance}).HasEnded(ctx, writerInstance(writer))
			}),
		}
	}
	// One worker, as several would wait for each other's copies at a mutex, and
	// virtual time does not advance while a goroutine waits for a mutex.
	worker := usage.WithCopyWorkers(1)
	tableReplica := usage.NewTableReplica(faultyStore, time.Second)
	instance.replicaStore = usage.NewReplicaStore(instance.id, opts()...)
	instance.meter = usage.NewMeter(instance.id, &peerReplica{instance, 1}, append(opts(), worker, usage.WithFallbackReplicas(&peerReplica{instance, 2}, tableReplica))...)
	instance.windowReporter = usage.NewWindowReporter(instance.id, faultyStore, &collector{instance, tableReplica}, &reportSender{instance},
		&reporterLease{instance: instance, lease: instance.usageLease}, opts()...)
}

func writerInstance(writer string) string {
	for i, char := range writer {
		if char == '/' {
			return writer[:i]
		}
	}
	return writer
}

// reporterLease is the lease as seen by the window reporter. The instance may be
// paused between the check of the lease and the use of its result.
type reporterLease struct {
	instance  *instance
	lease     *lease.Lease
	lastGrant atomic.Pointer[lease.Grant]
}

func (reporterLease *reporterLease) Held() bool {
	grant, held := reporterLease.lease.Held()
	if held {
		reporterLease.lastGrant.Store(&grant)
	}
	_ = reporterLease.instance.waitToRun()
	return held
}

// Condition returns the condition of the grant for which Held last returned true.
func (reporterLease *reporterLease) Condition() table.Write {
	if grant := reporterLease.lastGrant.Load(); grant != nil {
		return grant.Condition()
	}
	return table.Write{Key: "never", ExpectedVersion: 1, CheckOnly: true}
}

// peerReplica stores copies at the instance that follows this one at a distance
// among the running instances.
type peerReplica struct {
	instance *instance
	distance int
}

func (peerReplica *peerReplica) Store(ctx context.Context, batches []usage.Batch) (string, error) {
	others := []*instance{}
	alive := peerReplica.instance.simulator.alive()
	for i, instance := range alive {
		if instance == peerReplica.instance {
			others = append(append(others, alive[i+1:]...), alive[:i]...)
		}
	}
	if len(others) < peerReplica.distance {
		return "", code.Errorf(code.PeerUnreachable, "no peer is alive")
	}
	peer, err := (&faultyNetwork{peerReplica.instance}).findPeer(ctx, others[peerReplica.distance-1].address)
	if err != nil {
		return "", err
	}
	return runStep(peerReplica.instance, "copy", func() (string, error) { return peer.replicaStore.Store(ctx, batches) })
}

// collector collects usage counts from all instances that respond.
type collector struct {
	instance     *instance
	tableReplica *usage.TableReplica
}

func (collector *collector) Collect(ctx context.Context, request usage.CollectRequest) ([]usage.Batch, []string, error) {
	batches, err := collector.tableReplica.Collect(ctx, request, request.LastWindow-usageLateWindows, 100)
	if err != nil {
		return nil, nil, err
	}
	for _, instance := range collector.instance.simulator.alive() {
		batches = append(batches, collector.collectFrom(ctx, instance, request)...)
	}
	members := collector.members()
	schedule := usage.Schedule{Length: usageWindow}
	return batches, usage.MissingInstances(schedule, request.LastWindow, batches, members, missingSlack), nil
}

func (collector *collector) collectFrom(ctx context.Context, instance *instance, request usage.CollectRequest) []usage.Batch {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if instance != collector.instance {
		if _, err := (&faultyNetwork{collector.instance}).findPeer(ctx, instance.address); err != nil {
			return nil
		}
	}
	return append(instance.meter.Collect(request), instance.replicaStore.Collect(request)...)
}

// members returns all instances ever started, with the time at which the
// platform last listed them.
func (collector *collector) members() []usage.Member {
	simulator := collector.instance.simulator
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	var members []usage.Member
	for _, instance := range simulator.instances {
		lastSeen := time.Now()
		if killedAt, killed := simulator.killedAt[instance.id]; killed {
			lastSeen = killedAt
		}
		members = append(members, usage.Member{Origin: instance.meter.Origin(), LastSeen: lastSeen})
	}
	return members
}

// reportSender sends usage reports to the simulated platform, which accepts
// repeated reports.
type reportSender struct{ instance *instance }

func (reportSender *reportSender) SendReport(ctx context.Context, report usage.Report) error {
	instance, simulator := reportSender.instance, reportSender.instance.simulator
	instance.recordStep("before usage report")
	if err := instance.waitToRun(); err != nil {
		return err
	}
	simulator.mu.Lock()
	delivery := simulator.takeDelivery("usage")
	if !instance.isKilled() && delivery != dropped {
		simulator.acceptReport(instance, report)
	}
	simulator.mu.Unlock()
	instance.recordStep("after usage report")
	if delivery != delivered {
		<-ctx.Done()
		return code.Errorf(code.WriteUnknown, "no response")
	}
	return instance.waitToRun()
}

func (simulator *simulator) acceptReport(instance *instance, report usage.Report) {
	accepted, ok := simulator.reports[report.Number]
	switch {
	case ok && string(accepted) != string(report.Body):
		simulator.recordViolation("usage window reported twice", "report %d of %s differs from the accepted one", report.Number, instance.id)
	case !ok && report.Number != uint64(len(simulator.reports))+1:
		simulator.recordViolation("usage report out of sequence", "report %d of %s after %d reports", report.Number, instance.id, len(simulator.reports))
	case !ok:
		simulator.reports[report.Number] = report.Body
	}
}

// recordUsage records the usage of one response and waits for its copy, as
// request handling does before it sends the last bytes of the response.
func (instance *instance) recordUsage(team string, tokens int64) {
	simulator := instance.simulator
	simulator.mu.Lock()
	if simulator.expectedUsage[team] == nil {
		simulator.expectedUsage[team] = &usageBounds{}
	}
	bounds := simulator.expectedUsage[team]
	bounds.max += tokens
	simulator.mu.Unlock()
	_ = instance.meter.Record(instance.ctx, usage.Line{Team: team, Model: "layout", Requests: 1, GeneratedTokens: tokens})
	if instance.waitToRun() != nil {
		return
	}
	simulator.mu.Lock()
	bounds.min += tokens
	simulator.mu.Unlock()
}

// usageOutcome describes how far behind the reports are.
func (simulator *simulator) usageOutcome() string {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	lastWindow := usage.Window(0)
	for _, body := range simulator.reports {
		var reportBody usage.ReportBody
		_ = json.Unmarshal(body, &reportBody) // checkUsage checks that it is valid
		lastWindow = max(lastWindow, reportBody.Window)
	}
	if behind := (usage.Schedule{Length: usageWindow}).WindowAt(time.Now()) - lastWindow; behind > 5 {
		return fmt.Sprintf("%d windows behind", behind)
	}
	return "each window reported once, complete or marked incomplete"
}

// checkUsage compares all reports with the usage of the responses delivered.
func (simulator *simulator) checkUsage() {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	got, complete, windows := map[string]int64{}, true, map[usage.Window]bool{}
	for number := uint64(1); number <= uint64(len(simulator.reports)); number++ {
		var reportBody usage.ReportBody
		if err := json.Unmarshal(simulator.reports[number], &reportBody); err != nil {
			simulator.recordViolation("usage report is not valid JSON", "%v", err)
		}
		if windows[reportBody.Window] {
			simulator.recordViolation("usage window reported twice", "window %d again in report %d", reportBody.Window, number)
		}
		windows[reportBody.Window] = true
		complete = complete && !reportBody.Incomplete
		for _, line := range reportBody.Lines {
			got[line.Team] += line.GeneratedTokens
		}
		for _, correction := range reportBody.Corrections {
			got[correction.Line.Team] += correction.Line.GeneratedTokens
		}
	}
	for team, bounds := range simulator.expectedUsage {
		if got[team] > bounds.max {
			simulator.recordViolation("usage too high", "%s: %d tokens reported, want at most %d", team, got[team], bounds.max)
		}
		if got[team] < bounds.min && complete {
			simulator.recordViolation("usage lost but not marked incomplete", "%s: %d tokens reported, want at least %d", team, got[team], bounds.min)
		}
	}
}
