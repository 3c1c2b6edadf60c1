package tally

import "time"

// silenceTimeout is how long after its last heartbeat a run of an instance in
// the same data centre counts as ended. Heartbeats there come several times a
// second.
const silenceTimeout = 1500 * time.Millisecond

// CountsOf returns what this instance knows of an ended window and the holder of
// the duty may not: its own counts, and those of runs that have ended as far as
// isLocal reports that their heartbeats came often. The runs' last heartbeats
// may not have reached instances in other data centres.
func (meter *Meter) CountsOf(window int64, self InstanceRun, isLocal func(instance string) bool) []RunCounts {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	counts := []RunCounts{{Instance: self.Instance, BootID: self.BootID, Teams: copyCounts(meter.localCounts[window])}}
	for run, windows := range meter.remoteCounts {
		if len(windows[window]) > 0 && time.Since(meter.lastContact[run]) > silenceTimeout && isLocal(run.Instance) {
			counts = append(counts, RunCounts{Instance: run.Instance, BootID: run.BootID, Teams: copyCounts(windows[window])})
		}
	}
	return counts
}

// MergeCollected merges the counts of an ended window that an instance returned,
// and records that its own are complete.
func (meter *Meter) MergeCollected(instance string, window int64, counts []RunCounts) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	for _, runCounts := range counts {
		run := InstanceRun{Instance: runCounts.Instance, BootID: runCounts.BootID}
		windows, ok := meter.remoteCounts[run]
		if !ok {
			windows = map[int64]map[string]int64{}
			meter.remoteCounts[run] = windows
			meter.lastContact[run] = time.Now()
		}
		mergeWindow(windows, WindowCounts{Window: window, Teams: runCounts.Teams})
	}
	if meter.collected[window] == nil {
		meter.collected[window] = map[string]bool{}
		evictOldWindows(meter.collected, window)
	}
	meter.collected[window][instance] = true
}

// IsCollected reports whether the counts of an instance in a window are complete
// here.
func (meter *Meter) IsCollected(instance string, window int64) bool {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return meter.collected[window][instance]
}

func copyCounts(teams map[string]int64) map[string]int64 {
	copied := make(map[string]int64, len(teams))
	for team, count := range teams {
		copied[team] = count
	}
	return copied
}
