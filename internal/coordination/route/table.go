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

const subsetDefault = 32

// Target is a target as the rest of the system sees it. Its note.Target
// carries the models and the role that it serves now.
type Target struct {
	note.Target
	Leaving   bool // drained, withdrawn or ending by the platform's list
	Abandoned bool // no longer trusted to fence orders
}

// Table keeps what is known of the targets and publishes views.
type Table struct {
	instance  string
	distances map[string]time.Duration
	subset    int

	view atomic.Pointer[View]

	mutex   sync.Mutex
	targets []Target
	weights map[string]float64
	nodes   map[string]*node
	reports map[string]Load
	peers   map[string]map[string]Work
}

// TableOption changes a setting of a table.
type TableOption func(*Table)

// WithInstance sets the name by which the instance selects its subset of
// targets.
func WithInstance(name string) TableOption {
	return func(table *Table) { table.instance = name }
}

// WithDistances sets the one-way delays to data centres. A data centre that
// is not listed counts as adjacent.
func WithDistances(distances map[string]time.Duration) TableOption {
	return func(table *Table) { table.distances = distances }
}

// WithSubset sets how many targets per pool and data centre the instance
// uses at most.
func WithSubset(size int) TableOption {
	return func(table *Table) { table.subset = size }
}

// NewTable returns a table without targets.
func NewTable(opts ...TableOption) *Table {
	table := &Table{
		subset:  subsetDefault,
		nodes:   map[string]*node{},
		reports: map[string]Load{},
		peers:   map[string]map[string]Work{},
	}
	for _, opt := range opts {
		opt(table)
	}
	table.view.Store(newView())
	return table
}

// View returns the newest view.
func (table *Table) View() *View {
	return table.view.Load()
}

// SetTargets replaces the list of targets and publishes a view. Counters of
// targets that stay are kept.
func (table *Table) SetTargets(targets []Target) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.targets = slices.Clone(targets)
	table.prune()
	table.publish()
}

// SetWeights sets the shares of normal traffic by the targets' health, 1 for
// those not listed, and publishes a view if they changed. A target with the weight 0 is not
// picked.
func (table *Table) SetWeights(weights map[string]float64) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !maps.Equal(table.weights, weights) {
		table.weights = maps.Clone(weights)
		table.publish()
	}
}

// Report takes a target's report of its load. A report older than the newest
// one is ignored.
func (table *Table) Report(id string, load Load) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if load.At.Before(table.reports[id].At) {
		return
	}
	if node, ok := table.nodes[id]; ok {
		table.reports[id] = load
		table.correct(id, node)
	}
}

// SetPeer takes the work that another instance sent to targets since their
// newest reports and that is still in flight. Nil forgets the instance.
func (table *Table) SetPeer(peer string, sent map[string]Work) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	before := table.peers[peer]
	table.peers[peer] = sent
	if sent == nil {
		delete(table.peers, peer)
	}
	table.correctAll(before)
	table.correctAll(sent)
}

// Sent returns this instance's work at each target since the target's newest
// report, for its peers. Targets without such work are left out.
func (table *Table) Sent() map[string]Work {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	sent := map[string]Work{}
	for id, node := range table.nodes {
		own := node.own.total.load()
		if own.Requests <= 0 {
			continue
		}
		work := own.plus(table.included(id, node).negate()).atLeast(Work{})
		if work.Requests > 0 {
			sent[id] = work
		}
	}
	return sent
}

// Events takes events of a target's prefix cache.
func (table *Table) Events(id string, events []CacheEvent) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if node, ok := table.nodes[id]; ok {
		node.prefixes.apply(events)
	}
}

func (table *Table) correctAll(sent map[string]Work) {
	for id := range sent {
		if node, ok := table.nodes[id]; ok {
			table.correct(id, node)
		}
	}
}

// correct works out the target's load apart from own work in flight: what was
// reported, less own work included in it, and what peers sent since.
func (table *Table) correct(id string, node *node) {
	base := table.reports[id].Work.plus(table.included(id, node).negate())
	for _, sent := range table.peers {
		base = base.plus(sent[id])
	}
	node.load.Store(&estimate{base: base})
}

// included returns own work that the target's newest report includes.
func (table *Table) included(id string, node *node) Work {
	report, ok := table.reports[id]
	if !ok {
		return Work{}
	}
	return node.own.at(report.At)
}

func (table *Table) prune() {
	known := make(map[string]*node, len(table.targets))
	for i := range table.targets {
		id := table.targets[i].ID
		known[id] = table.nodes[id]
		if known[id] == nil {
			known[id] = newNode(id)
		}
	}
	for id := range table.reports {
		if known[id] == nil {
			delete(table.reports, id)
		}
	}
	table.nodes = known
}

func (table *Table) publish() {
	view, seed := newView(), xxhash.Sum64String(table.instance)
	for i := range table.targets {
		target := &table.targets[i]
		weight, listed := table.weights[target.ID]
		if !listed {
			weight = 1
		}
		if target.Leaving || target.Abandoned || weight <= 0 {
			continue
		}
		distance := table.distances[target.DataCenter].Seconds()
		member := newMember(table.nodes[target.ID], &target.Target, weight, distance)
		member.rank = mix(member.hash ^ seed)
		view.add(member)
	}
	for key, pool := range view.pools {
		view.pools[key] = table.selectSubset(pool)
	}
	table.view.Store(view)
}

// selectSubset returns the targets of a pool that this instance uses, nearest
// data centre first. Rendezvous hashing spreads the instances over all
// targets and moves few of them when targets come and go.
func (table *Table) selectSubset(pool []*member) []*member {
	slices.SortFunc(pool, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(a.delay, b.delay),
			cmp.Compare(a.target.DataCenter, b.target.DataCenter),
			cmp.Compare(b.rank, a.rank),
		)
	})
	kept, taken := pool[:0], 0
	for i, member := range pool {
		if i > 0 && pool[i-1].target.DataCenter != member.target.DataCenter {
			taken = 0
		}
		if taken < table.subset {
			kept = append(kept, member)
		}
		taken++
	}
	return kept
}
