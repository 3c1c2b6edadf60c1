// Package tally counts the requests of each team in usage windows. A Meter counts
// on one instance and merges the counts of the others; a Reporter reports each
// window to the platform once.
//
// Windows are intervals of true time. An instance's clock may be off or jump, so
// true time is the store's monotonic clock plus the median of the offsets that
// the instances measure between that clock and their own time of day.
package tally

import (
	"slices"
	"sync"
	"time"
)

// retainedWindows is how many windows before the newest are kept: a report may be
// up to two windows late, and one more may be in progress.
const retainedWindows = 4

// Meter counts the requests of this instance and holds the counts of the others.
// Its methods may be called by several goroutines.
type Meter struct {
	windowLength time.Duration

	mutex        sync.Mutex
	localCounts  map[int64]map[string]int64
	remoteCounts map[InstanceRun]map[int64]map[string]int64
	lastContact  map[InstanceRun]time.Time
	clockOffsets map[InstanceRun]time.Duration
	collected    map[int64]map[string]bool // instances whose counts of a window are complete here
}

// InstanceRun identifies one run of an instance: a restart begins new counts.
type InstanceRun struct {
	Instance string
	BootID   uint64
}

// RunCounts holds the counts of one run of an instance in one window.
type RunCounts struct {
	Instance string           `cbor:"1,keyasint"`
	BootID   uint64           `cbor:"2,keyasint"`
	Teams    map[string]int64 `cbor:"3,keyasint,omitempty"`
}

// WindowCounts holds the number of requests of each team in one window.
type WindowCounts struct {
	Window int64            `cbor:"1,keyasint"`
	Teams  map[string]int64 `cbor:"2,keyasint"`
}

// New returns a meter with windows of the given length.
func New(windowLength time.Duration) *Meter {
	return &Meter{
		windowLength: windowLength,
		localCounts:  map[int64]map[string]int64{},
		remoteCounts: map[InstanceRun]map[int64]map[string]int64{},
		lastContact:  map[InstanceRun]time.Time{},
		clockOffsets: map[InstanceRun]time.Duration{},
		collected:    map[int64]map[string]bool{},
	}
}

// WindowAt returns the number of the window that contains a moment of true time.
func (meter *Meter) WindowAt(moment time.Time) int64 {
	return moment.UnixNano() / int64(meter.windowLength)
}

// WindowEnd returns the end of a window in true time.
func (meter *Meter) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(meter.windowLength))
}

// CountRequest adds one request of a team that started at a moment of true time.
func (meter *Meter) CountRequest(team string, moment time.Time) {
	window := meter.WindowAt(moment)
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	teams, ok := meter.localCounts[window]
	if !ok {
		teams = map[string]int64{}
		meter.localCounts[window] = teams
		evictOldWindows(meter.localCounts, window)
	}
	teams[team]++
}

// Snapshot returns a copy of the counts of this instance, for its heartbeats.
func (meter *Meter) Snapshot() []WindowCounts {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	snapshot := make([]WindowCounts, 0, len(meter.localCounts))
	for window, teams := range meter.localCounts {
		snapshot = append(snapshot, WindowCounts{Window: window, Teams: copyCounts(teams)})
	}
	return snapshot
}

// Merge merges the counts from the snapshot of another instance. Counts only
// grow and the larger one wins, so that heartbeats may arrive twice and in any
// order.
func (meter *Meter) Merge(run InstanceRun, snapshot []WindowCounts) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.lastContact[run] = time.Now()
	windows, ok := meter.remoteCounts[run]
	if !ok {
		windows = map[int64]map[string]int64{}
		meter.remoteCounts[run] = windows
	}
	for _, counts := range snapshot {
		mergeWindow(windows, counts)
	}
	meter.evictSilentRuns()
}

func mergeWindow(windows map[int64]map[string]int64, counts WindowCounts) {
	teams, ok := windows[counts.Window]
	if !ok {
		teams = map[string]int64{}
		windows[counts.Window] = teams
		evictOldWindows(windows, counts.Window)
	}
	for team, count := range counts.Teams {
		teams[team] = max(teams[team], count)
	}
}

func evictOldWindows[Counts any](windows map[int64]Counts, newest int64) {
	for window := range windows {
		if window < newest-retainedWindows {
			delete(windows, window)
		}
	}
}

// evictSilentRuns removes runs of instances that sent nothing for longer than
// their windows are kept.
func (meter *Meter) evictSilentRuns() {
	for run, lastContact := range meter.lastContact {
		if time.Since(lastContact) > (retainedWindows+1)*meter.windowLength {
			delete(meter.lastContact, run)
			delete(meter.remoteCounts, run)
			delete(meter.clockOffsets, run)
		}
	}
}

// Sum returns the number of requests of each team in a window over all instances.
func (meter *Meter) Sum(window int64) map[string]int64 {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	sums := map[string]int64{}
	for team, count := range meter.localCounts[window] {
		sums[team] += count
	}
	for _, windows := range meter.remoteCounts {
		for team, count := range windows[window] {
			sums[team] += count
		}
	}
	return sums
}

// SetClockOffset records the offset from the store's monotonic clock to the time of
// day that an instance measured.
func (meter *Meter) SetClockOffset(run InstanceRun, offset time.Duration) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.clockOffsets[run] = offset
	if _, ok := meter.lastContact[run]; !ok {
		meter.lastContact[run] = time.Now()
	}
}

// MedianClockOffset returns the median of the recorded offsets from the store's
// monotonic clock to the time of day. It returns false if there is none. The
// median keeps one wrong clock from moving the windows.
func (meter *Meter) MedianClockOffset() (time.Duration, bool) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if len(meter.clockOffsets) == 0 {
		return 0, false
	}
	offsets := make([]time.Duration, 0, len(meter.clockOffsets))
	for _, offset := range meter.clockOffsets {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], true
}
