// Package tally counts the requests of each team in usage windows, shares the
// counts among the instances, and reports each window once.
//
// Windows lie in true time. An instance's clock may be off or jump, so true
// time is the store's steady clock plus the median of what the instances take
// its distance to the time of day to be.
package tally

import (
	"slices"
	"sync"
	"time"
)

// kept is how many windows before the newest are kept: a report may come up to
// two windows late, and one more may be under way.
const kept = 4

// Meter counts the requests of this instance and keeps what the others told.
// Its methods may be called by several goroutines.
type Meter struct {
	length time.Duration

	mutex   sync.Mutex
	own     map[int64]map[string]int64
	others  map[Source]map[int64]map[string]int64
	heard   map[Source]time.Time
	offsets map[Source]time.Duration
}

// Source is one run of an instance.
type Source struct {
	Instance string
	Boot     uint64
}

// Counts are the requests of each team in one window.
type Counts struct {
	Window int64            `cbor:"1,keyasint"`
	Teams  map[string]int64 `cbor:"2,keyasint"`
}

// New returns a meter of windows of the given length.
func New(length time.Duration) *Meter {
	return &Meter{
		length:  length,
		own:     map[int64]map[string]int64{},
		others:  map[Source]map[int64]map[string]int64{},
		heard:   map[Source]time.Time{},
		offsets: map[Source]time.Duration{},
	}
}

// WindowOf returns the number of the window at a moment of true time.
func (meter *Meter) WindowOf(moment time.Time) int64 {
	return moment.UnixNano() / int64(meter.length)
}

// EndOf returns when a window ends in true time.
func (meter *Meter) EndOf(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(meter.length))
}

// Count adds one request of a team that began to run at a moment of true time.
func (meter *Meter) Count(team string, moment time.Time) {
	window := meter.WindowOf(moment)
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	teams, ok := meter.own[window]
	if !ok {
		teams = map[string]int64{}
		meter.own[window] = teams
		forget(meter.own, window)
	}
	teams[team]++
}

// Export returns the counts of this instance.
func (meter *Meter) Export() []Counts {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	exported := make([]Counts, 0, len(meter.own))
	for window, teams := range meter.own {
		copied := make(map[string]int64, len(teams))
		for team, count := range teams {
			copied[team] = count
		}
		exported = append(exported, Counts{Window: window, Teams: copied})
	}
	return exported
}

// Merge takes what another instance counted so far. Counts only grow, so that
// heartbeats may come in any order.
func (meter *Meter) Merge(source Source, exported []Counts) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.heard[source] = time.Now()
	windows, ok := meter.others[source]
	if !ok {
		windows = map[int64]map[string]int64{}
		meter.others[source] = windows
	}
	for _, counts := range exported {
		mergeWindow(windows, counts)
	}
	meter.dropOld()
}

func mergeWindow(windows map[int64]map[string]int64, counts Counts) {
	teams, ok := windows[counts.Window]
	if !ok {
		teams = map[string]int64{}
		windows[counts.Window] = teams
		forget(windows, counts.Window)
	}
	for team, count := range counts.Teams {
		teams[team] = max(teams[team], count)
	}
}

func forget(windows map[int64]map[string]int64, newest int64) {
	for window := range windows {
		if window < newest-kept {
			delete(windows, window)
		}
	}
}

// dropOld forgets instances that have been quiet for longer than their windows
// matter.
func (meter *Meter) dropOld() {
	for source, heard := range meter.heard {
		if time.Since(heard) > (kept+1)*meter.length {
			delete(meter.heard, source)
			delete(meter.others, source)
			delete(meter.offsets, source)
		}
	}
}

// Sum returns the requests of each team in a window, of all instances.
func (meter *Meter) Sum(window int64) map[string]int64 {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	sum := map[string]int64{}
	for team, count := range meter.own[window] {
		sum[team] += count
	}
	for _, windows := range meter.others {
		for team, count := range windows[window] {
			sum[team] += count
		}
	}
	return sum
}

// SetOffset records what an instance takes the distance from the store's
// steady clock to the time of day to be.
func (meter *Meter) SetOffset(source Source, offset time.Duration) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.offsets[source] = offset
	if _, ok := meter.heard[source]; !ok {
		meter.heard[source] = time.Now()
	}
}

// Offset returns the median distance from the store's steady clock to the time
// of day, and false before any is known.
func (meter *Meter) Offset() (time.Duration, bool) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if len(meter.offsets) == 0 {
		return 0, false
	}
	offsets := make([]time.Duration, 0, len(meter.offsets))
	for _, offset := range meter.offsets {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], true
}
