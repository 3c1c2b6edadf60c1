package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Replica holds copies of batches, best at an instance in another data centre.
type Replica interface {
	// Copy stores batches and returns the name of who holds them, which changes
	// when the holder has lost what it held. An error means that the batches
	// may not be held.
	Copy(ctx context.Context, batches []Batch) (holder string, err error)
}

// Meter counts the usage of one instance. It is safe for concurrent use.
type Meter struct {
	settings settings
	origin   Origin
	replicas []Replica
	metrics  *meterMetrics

	current  atomic.Pointer[tally]
	pending  atomic.Pointer[round]
	wake     chan struct{}
	sequence atomic.Uint64
	degraded atomic.Bool

	gate     gate
	progress progress

	mu      sync.Mutex
	tallies map[Window]*tally // windows that are not settled
	holder  string            // the replica that has all counts
	random  *rand.Rand
}

// round is a set of records that wait for the same copy.
type round struct {
	done    chan struct{}
	err     error // set before done is closed
	sinceMS int64 // wall clock after which all its counts were made
}

func newRound() *round {
	return &round{done: make(chan struct{})}
}

// MeterStatus tells how a Meter stands.
type MeterStatus struct {
	Origin   Origin
	Window   Window
	Windows  int  // windows that are not settled
	Degraded bool // the last copy found no replica
	Holder   string
}

// NewMeter returns a Meter of the instance self that copies to replica. Start
// runs its copies.
func NewMeter(self string, replica Replica, opts ...Option) *Meter {
	settings := newSettings(opts)
	random := rand.New(settings.source)
	meter := &Meter{
		settings: settings,
		origin:   Origin{Instance: self, Incarnation: random.Uint64()},
		replicas: append([]Replica{replica}, settings.fallbacks...),
		metrics:  newMeterMetrics(settings.registerer),
		wake:     make(chan struct{}, 1),
		tallies:  map[Window]*tally{},
		gate:     newGate(settings.workers),
		progress: newProgress(),
		random:   random,
	}
	meter.pending.Store(newRound())
	meter.advance(settings.schedule.At(time.Now()))
	return meter
}

// Record counts a line in the window of now, and waits until a copy that holds
// it is confirmed, or for the copy timeout. Call it before the final bytes of
// the answer are sent, with a context that ends only when the caller is gone. An error means that no copy was confirmed, with
// code.WriteUnknown, or that the line is negative, with code.Internal; the
// answer is to be delivered all the same.
func (meter *Meter) Record(ctx context.Context, line Line) error {
	if !line.valid() {
		return code.Errorf(code.Internal, "a line of usage is negative")
	}
	meter.count(line)
	timer := time.NewTimer(meter.settings.copyTimeout)
	defer timer.Stop()
	for {
		round := meter.pending.Load()
		meter.signal()
		select {
		case <-round.done:
			if round.err == nil {
				return nil
			}
		case <-timer.C:
			return meter.uncopied()
		case <-ctx.Done():
			return meter.uncopied()
		}
	}
}

func (meter *Meter) uncopied() error {
	meter.metrics.uncopied.Inc()
	return code.Errorf(code.WriteUnknown, "no copy of a line of usage was confirmed in time")
}

// Degraded reports whether the last copy found no replica. What is delivered
// then is lost if the instance ends before a copy succeeds, so it is best to
// take no new work.
func (meter *Meter) Degraded() bool {
	return meter.degraded.Load()
}

// Origin returns the instance and its incarnation.
func (meter *Meter) Origin() Origin {
	return meter.origin
}

// Status returns how the Meter stands.
func (meter *Meter) Status() MeterStatus {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return MeterStatus{
		Origin:   meter.origin,
		Window:   meter.current.Load().window,
		Windows:  len(meter.tallies),
		Degraded: meter.Degraded(),
		Holder:   meter.holder,
	}
}

// Collect ends the windows of an Ask, forgets those that are settled, and
// returns the final figures of the rest. One answer holds all windows that are
// not settled, also those without lines.
func (meter *Meter) Collect(ask Ask) []Batch {
	last := min(ask.Window, meter.settings.schedule.At(time.Now())+1)
	meter.close(last)
	if through, ok := ask.through()[meter.origin]; ok {
		meter.forget(through)
	}
	return meter.finals(last)
}

// finals returns the final figures of all windows up to last, with an empty
// batch for last if nothing was counted in it.
func (meter *Meter) finals(last Window) []Batch {
	batches := []Batch{meter.final(last, newTally(last))}
	for _, tally := range meter.unsettled() {
		if tally.window <= last {
			batches = append(batches, meter.final(tally.window, tally))
		}
	}
	return Merge(batches)
}

func (meter *Meter) forget(through Window) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	for window := range meter.tallies {
		if window <= through {
			delete(meter.tallies, window)
		}
	}
}

// count adds a line to the current window. A clock that steps back does not
// open an earlier window again.
func (meter *Meter) count(line Line) {
	for {
		tally := meter.current.Load()
		if now := meter.settings.schedule.At(time.Now()); now > tally.window {
			tally = meter.advance(now)
		}
		if tally.add(line) {
			return
		}
	}
}

// advance makes window the current one, if it is later than the current one.
func (meter *Meter) advance(window Window) *tally {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	current := meter.current.Load()
	if current != nil && current.window >= window {
		return current
	}
	next := newTally(window)
	meter.tallies[window] = next
	meter.current.Store(next)
	return next
}

// close seals all windows up to last. A record that meets a sealed window goes
// into the one after it.
func (meter *Meter) close(last Window) {
	meter.advance(last + 1)
	for _, tally := range meter.unsettled() {
		if tally.window <= last {
			tally.seal()
		}
	}
}

func (meter *Meter) unsettled() []*tally {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	tallies := make([]*tally, 0, len(meter.tallies))
	for _, tally := range meter.tallies {
		tallies = append(tallies, tally)
	}
	return tallies
}

func (meter *Meter) batch(window Window, lines []Line, atMS int64) Batch {
	return Batch{
		Origin:   meter.origin,
		Window:   window,
		Sequence: meter.sequence.Add(1),
		AtMS:     atMS,
		Lines:    lines,
	}
}

func (meter *Meter) final(window Window, tally *tally) Batch {
	batch := meter.batch(window, tally.lines(), 0)
	batch.Final = true
	return batch
}

func (meter *Meter) signal() {
	select {
	case meter.wake <- struct{}{}:
	default:
	}
}
