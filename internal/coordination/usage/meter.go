package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Replica stores copies of batches, preferably at an instance in another data
// centre.
type Replica interface {
	// Store stores batches and returns the name of the replica, which changes
	// when the replica has lost its content. After an error the batches may or
	// may not be stored.
	Store(ctx context.Context, batches []Batch) (name string, err error)
}

// Meter counts the usage of one instance. It is safe for concurrent use.
type Meter struct {
	settings settings
	origin   Origin
	replicas []Replica
	metrics  *meterMetrics

	currentCounts atomic.Pointer[windowCounts]
	pendingRound  atomic.Pointer[copyRound]
	wake          chan struct{}
	sequence      atomic.Uint64
	degraded      atomic.Bool

	copyLock sharedLock
	progress copyProgress

	mu              sync.Mutex
	unsettledCounts map[Window]*windowCounts // windows that are not settled
	syncedReplica   string                   // name of the replica that has all counts
	random          *rand.Rand
}

// copyRound is the set of records that wait for the same copy.
type copyRound struct {
	done           chan struct{}
	err            error // set before done is closed
	countedAfterMS int64 // wall clock; all counts of the round were made after it
}

func newCopyRound() *copyRound {
	return &copyRound{done: make(chan struct{})}
}

// MeterStatus is the state of a Meter.
type MeterStatus struct {
	Origin           Origin
	Window           Window
	UnsettledWindows int  // number of windows that are not settled
	Degraded         bool // the last copy found no replica
	Replica          string
}

// NewMeter returns a Meter for the instance self that copies to replica. Call
// Start to run the copies.
func NewMeter(self string, replica Replica, opts ...Option) *Meter {
	settings := newSettings(opts)
	random := rand.New(settings.randSource)
	meter := &Meter{
		settings:        settings,
		origin:          Origin{Instance: self, Incarnation: random.Uint64()},
		replicas:        append([]Replica{replica}, settings.fallbackReplicas...),
		metrics:         newMeterMetrics(settings.registerer),
		wake:            make(chan struct{}, 1),
		unsettledCounts: map[Window]*windowCounts{},
		copyLock:        newSharedLock(settings.copyWorkers),
		progress:        newCopyProgress(),
		random:          random,
	}
	meter.pendingRound.Store(newCopyRound())
	meter.advanceTo(settings.schedule.WindowAt(time.Now()))
	return meter
}

// Record counts a line in the current window and waits until a replica has
// confirmed a copy with it, at most for the copy timeout. Call it before the
// final bytes of the response are sent, with a context that ends only when the
// caller has disconnected. It returns code.WriteUnknown if no copy was confirmed and
// code.Internal if a count is negative; the response must be delivered in
// either case.
func (meter *Meter) Record(ctx context.Context, line Line) error {
	if !line.isValid() {
		return code.Errorf(code.Internal, "a usage line has a negative count")
	}
	meter.countLine(line)
	timer := time.NewTimer(meter.settings.copyTimeout)
	defer timer.Stop()
	for {
		round := meter.pendingRound.Load()
		meter.wakeWorker()
		select {
		case <-round.done:
			if round.err == nil {
				return nil
			}
		case <-timer.C:
			return meter.recordUncopied()
		case <-ctx.Done():
			return meter.recordUncopied()
		}
	}
}

func (meter *Meter) recordUncopied() error {
	meter.metrics.uncopied.Inc()
	return code.Errorf(code.WriteUnknown, "no replica confirmed a copy of a usage line in time")
}

// Degraded reports whether the last copy found no replica. Usage recorded in
// this state is lost if the instance ends before a copy succeeds, so the
// instance should accept no new work.
func (meter *Meter) Degraded() bool {
	return meter.degraded.Load()
}

// Origin returns the instance and its incarnation.
func (meter *Meter) Origin() Origin {
	return meter.origin
}

// Status returns the state of the Meter.
func (meter *Meter) Status() MeterStatus {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return MeterStatus{
		Origin:           meter.origin,
		Window:           meter.currentCounts.Load().window,
		UnsettledWindows: len(meter.unsettledCounts),
		Degraded:         meter.Degraded(),
		Replica:          meter.syncedReplica,
	}
}

// Collect closes the windows up to the requested one, drops those that are
// settled, and returns the final counts of the others. The response covers all
// unsettled windows, also those without lines.
func (meter *Meter) Collect(request CollectRequest) []Batch {
	last := min(request.LastWindow, meter.settings.schedule.WindowAt(time.Now())+1)
	meter.sealThrough(last)
	if through, ok := request.settledThrough()[meter.origin]; ok {
		meter.dropSettled(through)
	}
	return meter.finalBatches(last)
}

// finalBatches returns the final counts of all windows up to last, with an
// empty batch for last if nothing was counted in it.
func (meter *Meter) finalBatches(last Window) []Batch {
	batches := []Batch{meter.finalBatch(last, newWindowCounts(last))}
	for _, counts := range meter.listUnsettled() {
		if counts.window <= last {
			batches = append(batches, meter.finalBatch(counts.window, counts))
		}
	}
	return Merge(batches)
}

func (meter *Meter) dropSettled(through Window) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	for window := range meter.unsettledCounts {
		if window <= through {
			delete(meter.unsettledCounts, window)
		}
	}
}

// countLine adds a line to the current window. If the clock steps back, the
// later window stays current.
func (meter *Meter) countLine(line Line) {
	for {
		counts := meter.currentCounts.Load()
		if now := meter.settings.schedule.WindowAt(time.Now()); now > counts.window {
			counts = meter.advanceTo(now)
		}
		if counts.add(line) {
			return
		}
	}
}

// advanceTo makes window the current one unless that would step back.
func (meter *Meter) advanceTo(window Window) *windowCounts {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	current := meter.currentCounts.Load()
	if current != nil && current.window >= window {
		return current
	}
	next := newWindowCounts(window)
	meter.unsettledCounts[window] = next
	meter.currentCounts.Store(next)
	return next
}

// sealThrough seals all windows up to last. A line that arrives for a sealed
// window is counted in the next one.
func (meter *Meter) sealThrough(last Window) {
	meter.advanceTo(last + 1)
	for _, counts := range meter.listUnsettled() {
		if counts.window <= last {
			counts.seal()
		}
	}
}

func (meter *Meter) listUnsettled() []*windowCounts {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	unsettled := make([]*windowCounts, 0, len(meter.unsettledCounts))
	for _, counts := range meter.unsettledCounts {
		unsettled = append(unsettled, counts)
	}
	return unsettled
}

func (meter *Meter) newBatch(window Window, lines []Line, completeUntilMS int64) Batch {
	return Batch{
		Origin:          meter.origin,
		Window:          window,
		Sequence:        meter.sequence.Add(1),
		CompleteUntilMS: completeUntilMS,
		Lines:           lines,
	}
}

func (meter *Meter) finalBatch(window Window, counts *windowCounts) Batch {
	batch := meter.newBatch(window, counts.lines(), 0)
	batch.Final = true
	return batch
}

func (meter *Meter) wakeWorker() {
	select {
	case meter.wake <- struct{}{}:
	default:
	}
}
