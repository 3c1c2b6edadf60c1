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
	usageWindow  = 10 * time.Second
	usageGrace   = 2 * time.Second
	usageHorizon = 60
	missingSlack = 90 * time.Millisecond
)

// tally is what one team was given: what may and what must be reported.
type tally struct{ most, least int64 }

func (life *life) buildUsage(source func() rand.Source, rows *rows) {
	opts := func() []usage.Option {
		return []usage.Option{
			usage.WithWindowLength(usageWindow), usage.WithGracePeriod(usageGrace), usage.WithMissingTimeout(5 * time.Second),
			usage.WithReportTimeout(3 * time.Second), usage.WithAllowedLateness(usageHorizon), usage.WithRandSource(source()),
			usage.WithWriterEnded(func(ctx context.Context, writer string) (bool, error) {
				return (&writers{life}).HasEnded(ctx, instanceOf(writer))
			}),
		}
	}
	// One worker: several would wait for each other's copies at a mutex, at
	// which virtual time stands still.
	worker := usage.WithCopyWorkers(1)
	copies := usage.NewTableReplica(rows, time.Second)
	life.holder = usage.NewReplicaStore(life.id, opts()...)
	life.meter = usage.NewMeter(life.id, &replica{life, 1}, append(opts(), worker, usage.WithFallbackReplicas(&replica{life, 2}, copies))...)
	life.freezer = usage.NewWindowReporter(life.id, rows, &collector{life, copies}, &reporter{life},
		&duty{life: life, lease: life.duty}, opts()...)
}

func instanceOf(writer string) string {
	for i, char := range writer {
		if char == '/' {
			return writer[:i]
		}
	}
	return writer
}

// duty is the lease as seen by the freezer.
type duty struct {
	life  *life
	lease *lease.Lease
	last  atomic.Pointer[lease.Grant]
}

func (duty *duty) Held() bool {
	grant, held := duty.lease.Held()
	if held {
		duty.last.Store(&grant)
	}
	_ = duty.life.gate()
	return held
}

// Condition returns the check of the grant under which Held last was true.
func (duty *duty) Condition() table.Write {
	if grant := duty.last.Load(); grant != nil {
		return grant.Condition()
	}
	return table.Write{Key: "never", ExpectedVersion: 1, CheckOnly: true}
}

// replica is the instance that comes some places after this one.
type replica struct {
	life  *life
	after int
}

func (replica *replica) Store(ctx context.Context, batches []usage.Batch) (string, error) {
	others := []*life{}
	alive := replica.life.world.alive()
	for i, life := range alive {
		if life == replica.life {
			others = append(append(others, alive[i+1:]...), alive[:i]...)
		}
	}
	if len(others) < replica.after {
		return "", code.Errorf(code.PeerUnreachable, "nobody is there")
	}
	peer, err := (&link{replica.life}).reach(ctx, others[replica.after-1].address)
	if err != nil {
		return "", err
	}
	return pass(replica.life, "copy", func() (string, error) { return peer.holder.Store(ctx, batches) })
}

// collector collects from all instances that answer.
type collector struct {
	life   *life
	copies *usage.TableReplica
}

func (source *collector) Collect(ctx context.Context, ask usage.CollectRequest) ([]usage.Batch, []string, error) {
	batches, err := source.copies.Collect(ctx, ask, ask.LastWindow-usageHorizon, 100)
	if err != nil {
		return nil, nil, err
	}
	for _, life := range source.life.world.alive() {
		batches = append(batches, source.ask(ctx, life, ask)...)
	}
	members := source.members()
	schedule := usage.Schedule{Length: usageWindow}
	return batches, usage.MissingInstances(schedule, ask.LastWindow, batches, members, missingSlack), nil
}

func (source *collector) ask(ctx context.Context, life *life, ask usage.CollectRequest) []usage.Batch {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if life != source.life {
		if _, err := (&link{source.life}).reach(ctx, life.address); err != nil {
			return nil
		}
	}
	return append(life.meter.Collect(ask), life.holder.Collect(ask)...)
}

// members are all instances ever, as the platform's list tells.
func (source *collector) members() []usage.Member {
	world := source.life.world
	world.mu.Lock()
	defer world.mu.Unlock()
	var members []usage.Member
	for _, life := range world.lives {
		seen := time.Now()
		if removed, gone := world.removed[life.id]; gone {
			seen = removed
		}
		members = append(members, usage.Member{Origin: life.meter.Origin(), LastSeen: seen})
	}
	return members
}

// reporter is the platform's usage interface. It takes repeats.
type reporter struct{ life *life }

func (reporter *reporter) SendReport(ctx context.Context, report usage.Report) error {
	life, world := reporter.life, reporter.life.world
	life.step("before usage report")
	if err := life.gate(); err != nil {
		return err
	}
	world.mu.Lock()
	fate := world.takeFate("usage")
	if !life.dead() && fate != neverArrives {
		world.take(life, report)
	}
	world.mu.Unlock()
	life.step("after usage report")
	if fate != arrives {
		<-ctx.Done()
		return code.Errorf(code.WriteUnknown, "no answer")
	}
	return life.gate()
}

func (world *world) take(life *life, report usage.Report) {
	taken, ok := world.reports[report.Number]
	switch {
	case ok && string(taken) != string(report.Body):
		world.fail("usage window reported twice", "report %d of %s differs", report.Number, life.id)
	case !ok && report.Number != uint64(len(world.reports))+1:
		world.fail("usage report out of turn", "report %d of %s after %d", report.Number, life.id, len(world.reports))
	case !ok:
		world.reports[report.Number] = report.Body
	}
}

// record counts one answer and waits for its copy, as the path of a request
// does before it sends the last bytes.
func (life *life) record(team string, tokens int64) {
	world := life.world
	world.mu.Lock()
	if world.wants[team] == nil {
		world.wants[team] = &tally{}
	}
	want := world.wants[team]
	want.most += tokens
	world.mu.Unlock()
	_ = life.meter.Record(life.ctx, usage.Line{Team: team, Model: "layout", Requests: 1, GeneratedTokens: tokens})
	if life.gate() != nil {
		return
	}
	world.mu.Lock()
	want.least += tokens
	world.mu.Unlock()
}

// usageClass tells how far the windows are reported and whether all are whole.
func (world *world) usageClass() string {
	world.mu.Lock()
	defer world.mu.Unlock()
	last := usage.Window(0)
	for _, body := range world.reports {
		var content usage.ReportBody
		_ = json.Unmarshal(body, &content) // checkUsage has read it
		last = max(last, content.Window)
	}
	if behind := (usage.Schedule{Length: usageWindow}).WindowAt(time.Now()) - last; behind > 5 {
		return fmt.Sprintf("%d windows behind", behind)
	}
	return "each window reported once, whole or marked incomplete"
}

// checkUsage compares all reports with what was delivered.
func (world *world) checkUsage() {
	world.mu.Lock()
	defer world.mu.Unlock()
	got, complete, windows := map[string]int64{}, true, map[usage.Window]bool{}
	for number := uint64(1); number <= uint64(len(world.reports)); number++ {
		var content usage.ReportBody
		if err := json.Unmarshal(world.reports[number], &content); err != nil {
			world.fail("usage report", "%v", err)
		}
		if windows[content.Window] {
			world.fail("usage window reported twice", "window %d again in report %d", content.Window, number)
		}
		windows[content.Window] = true
		complete = complete && !content.Incomplete
		for _, line := range content.Lines {
			got[line.Team] += line.GeneratedTokens
		}
		for _, correction := range content.Corrections {
			got[correction.Line.Team] += correction.Line.GeneratedTokens
		}
	}
	for team, want := range world.wants {
		if got[team] > want.most {
			world.fail("usage too high", "%s: %d reported, %d delivered", team, got[team], want.most)
		}
		if got[team] < want.least && complete {
			world.fail("usage lost and not marked", "%s: %d reported, %d delivered", team, got[team], want.least)
		}
	}
}
