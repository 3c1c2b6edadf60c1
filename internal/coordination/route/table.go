package route

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/note"
)

const defaultSubsetSize = 32

// Target is a target with its current state. The embedded note.Target holds the
// models and the role that it serves now.
type Target struct {
	note.Target
	Draining  bool // drained, withdrawn, or ending according to the platform's list
	Abandoned bool // may still carry out an earlier order, as it does not check fencing tokens
}

// Table holds the state of the targets and publishes views. It is safe for
// concurrent use.
type Table struct {
	instance         string
	dataCenterDelays map[string]time.Duration
	subsetSize       int

	view atomic.Pointer[View]

	mu       sync.Mutex
	targets  []Target
	weights  map[string]float64
	states   map[string]*targetState
	reports  map[string]LoadReport      // newest per target
	peerWork map[string]map[string]Work // by instance and target, not in the newest reports
}

// TableOption sets an option of a Table.
type TableOption func(*Table)

// WithInstance sets the name of the instance, which determines its subset of
// targets.
func WithInstance(name string) TableOption {
	return func(table *Table) { table.instance = name }
}

// WithDataCenterDelays sets the one-way delays to data centres. The delay to a data
// centre that is not listed is 0.
func WithDataCenterDelays(dataCenterDelays map[string]time.Duration) TableOption {
	return func(table *Table) { table.dataCenterDelays = dataCenterDelays }
}

// WithSubsetSize sets the maximum number of targets that the instance uses per
// pool and data centre. The default is 32.
func WithSubsetSize(size int) TableOption {
	return func(table *Table) { table.subsetSize = size }
}

// NewTable returns a table without targets.
func NewTable(opts ...TableOption) *Table {
	table := &Table{
		subsetSize: defaultSubsetSize,
		states:     map[string]*targetState{},
		reports:    map[string]LoadReport{},
		peerWork:   map[string]map[string]Work{},
	}
	for _, opt := range opts {
		opt(table)
	}
	table.view.Store(newView())
	return table
}

// View returns the latest view.
func (table *Table) View() *View {
	return table.view.Load()
}

// SetTargets replaces the list of targets and publishes a view. Targets that
// stay keep their counters and cached prefixes.
func (table *Table) SetTargets(targets []Target) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.targets = slices.Clone(targets)
	table.syncStates()
	table.publishView()
}

// SetWeights sets the share of its normal traffic that each target may get
// according to its health, and publishes a view if the weights changed. Targets
// that are not listed have the weight 1; one with the weight 0 is not picked.
func (table *Table) SetWeights(weights map[string]float64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if !maps.Equal(table.weights, weights) {
		table.weights = maps.Clone(weights)
		table.publishView()
	}
}

// RecordLoad records a load report of a target. It ignores reports older than the
// newest one and those of unknown targets.
func (table *Table) RecordLoad(id string, report LoadReport) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if report.MeasuredAt.Before(table.reports[id].MeasuredAt) {
		return
	}
	if targetState, ok := table.states[id]; ok {
		table.reports[id] = report
		table.updateExternalLoad(id, targetState)
	}
}

// SetPeerWork records the in-flight work that another instance sent to targets and
// that their newest reports don't include. A nil map removes the instance.
func (table *Table) SetPeerWork(peer string, work map[string]Work) {
	table.mu.Lock()
	defer table.mu.Unlock()
	before := table.peerWork[peer]
	table.peerWork[peer] = work
	if work == nil {
		delete(table.peerWork, peer)
	}
	table.updateExternalLoads(before)
	table.updateExternalLoads(work)
}

// UnreportedWork returns, per target, this instance's in-flight work that the
// target's newest report doesn't include, to be sent to peers. Targets without
// such work are omitted.
func (table *Table) UnreportedWork() map[string]Work {
	table.mu.Lock()
	defer table.mu.Unlock()
	unreported := map[string]Work{}
	for id, targetState := range table.states {
		own := targetState.inFlight.total.load()
		if own.Requests <= 0 {
			continue
		}
		work := own.plus(table.reportedOwnWork(id, targetState).negate()).atLeast(Work{})
		if work.Requests > 0 {
			unreported[id] = work
		}
	}
	return unreported
}

// ApplyCacheEvents applies events of a target's prefix cache.
func (table *Table) ApplyCacheEvents(id string, events []CacheEvent) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if targetState, ok := table.states[id]; ok {
		targetState.prefixIndex.applyEvents(events)
	}
}

func (table *Table) updateExternalLoads(peerWork map[string]Work) {
	for id := range peerWork {
		if targetState, ok := table.states[id]; ok {
			table.updateExternalLoad(id, targetState)
		}
	}
}

// updateExternalLoad recomputes the target's load without own in-flight work: the
// reported work, less own work included in it, plus peers' work since the report.
func (table *Table) updateExternalLoad(id string, targetState *targetState) {
	work := table.reports[id].Work.plus(table.reportedOwnWork(id, targetState).negate())
	for _, peerWork := range table.peerWork {
		work = work.plus(peerWork[id])
	}
	targetState.external.Store(&externalLoad{work: work})
}

// reportedOwnWork returns own work that the target's newest report includes: what
// was in flight when the target measured its load.
func (table *Table) reportedOwnWork(id string, targetState *targetState) Work {
	report, ok := table.reports[id]
	if !ok {
		return Work{}
	}
	return targetState.inFlight.workAt(report.MeasuredAt)
}

// syncStates creates the states of new targets and drops those of removed ones.
func (table *Table) syncStates() {
	states := make(map[string]*targetState, len(table.targets))
	for i := range table.targets {
		id := table.targets[i].ID
		states[id] = table.states[id]
		if states[id] == nil {
			states[id] = newTargetState(id)
		}
	}
	for id := range table.reports {
		if states[id] == nil {
			delete(table.reports, id)
		}
	}
	table.states = states
}

func (table *Table) publishView() {
	view, seed := newView(), xxhash.Sum64String(table.instance)
	for i := range table.targets {
		target := &table.targets[i]
		weight, listed := table.weights[target.ID]
		if !listed {
			weight = 1
		}
		if target.Draining || target.Abandoned || weight <= 0 {
			continue
		}
		delaySeconds := table.dataCenterDelays[target.DataCenter].Seconds()
		viewTarget := newViewTarget(table.states[target.ID], &target.Target, weight, delaySeconds)
		viewTarget.rank = mixHash(viewTarget.idHash ^ seed)
		view.add(viewTarget)
	}
	for key, pool := range view.pools {
		view.pools[key] = table.selectSubset(pool)
	}
	table.view.Store(view)
}

// selectSubset returns the targets of a pool that this instance uses, nearest
// data centre first. Rendezvous hashing spreads the instances over all targets
// and changes few subsets when targets are added or removed.
func (table *Table) selectSubset(pool []*viewTarget) []*viewTarget {
	slices.SortFunc(pool, func(a, b *viewTarget) int {
		return cmp.Or(
			cmp.Compare(a.delaySeconds, b.delaySeconds),
			cmp.Compare(a.target.DataCenter, b.target.DataCenter),
			cmp.Compare(b.rank, a.rank),
		)
	})
	subset, count := pool[:0], 0
	for i, viewTarget := range pool {
		if i > 0 && pool[i-1].target.DataCenter != viewTarget.target.DataCenter {
			count = 0
		}
		if count < table.subsetSize {
			subset = append(subset, viewTarget)
		}
		count++
	}
	return subset
}
