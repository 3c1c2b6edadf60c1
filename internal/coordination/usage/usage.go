// Package usage counts the usage of teams, preserves the counts when an
// instance is lost, and reports each window to the platform once.
//
// A Meter counts at the instance that delivers the response. Before the final
// bytes go to the caller, a Replica in another data centre stores a copy; one
// round trip covers all requests that wait for it. A ReplicaStore keeps such
// copies for other instances.
//
// After a window has ended and a grace period has passed, the WindowReporter
// that holds the lease collects the counts of all instances. It freezes the
// report of the window with one compare-and-set, and sends the frozen bytes,
// under an open ticket, until the platform has accepted them.
//
// Counts are cumulative and never decrease, so two batches of the same origin
// and window merge by the maximum of each count; duplicates and reordering have
// no effect.
//
// The number of store operations does not depend on the number of instances or
// teams: a window costs three table writes and up to two objects.
package usage

import (
	"cmp"
	"slices"
	"time"
)

// Window is the number of a window since the Unix epoch.
type Window int64

// Schedule maps windows to times. It must be the same in all instances.
type Schedule struct {
	Length time.Duration
}

// WindowAt returns the window that contains a time.
func (schedule Schedule) WindowAt(now time.Time) Window {
	return Window(now.UnixNano() / int64(schedule.Length))
}

// WindowStart returns the start time of a window, which belongs to it.
func (schedule Schedule) WindowStart(window Window) time.Time {
	return time.Unix(0, int64(window)*int64(schedule.Length))
}

// WindowEnd returns the end time of a window, which belongs to the next one.
func (schedule Schedule) WindowEnd(window Window) time.Time {
	return schedule.WindowStart(window + 1)
}

// Line is the usage of one model by one team.
type Line struct {
	Team            string `json:"team"`
	Model           string `json:"model"`
	Requests        int64  `json:"requests"`
	PromptTokens    int64  `json:"prompt-tokens"`
	CachedTokens    int64  `json:"cached-tokens"`
	GeneratedTokens int64  `json:"generated-tokens"`
}

// Origin is one run of an instance. Each run has its own incarnation.
type Origin struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// Batch is the counts of one origin in one window. Counts are cumulative; a
// batch may omit lines that have not changed since an earlier batch.
type Batch struct {
	Origin
	Window   Window `json:"window"`
	Sequence uint64 `json:"sequence"` // increases with each batch of the origin
	Final    bool   `json:"final"`    // the origin counts nothing more up to this window
	// CompleteUntilMS is the origin's wall clock up to which the replica named Replica has
	// all counts of the origin once it has stored this batch. It does not apply
	// to other replicas.
	CompleteUntilMS int64  `json:"at-ms"`
	Replica         string `json:"holder,omitempty"`
	Lines           []Line `json:"lines,omitempty"`
}

// forReplica returns the batch as the replica name stores it: without a
// completeness time that is meant for another replica.
func (batch Batch) forReplica(name string) Batch {
	if batch.Replica != name {
		batch.CompleteUntilMS = 0
	}
	return batch
}

// Watermark states that the final counts of an origin for all windows up to
// Through are in frozen reports. These windows are settled: no instance needs
// to keep them any longer.
type Watermark struct {
	Origin
	Through Window `json:"through"`
}

// CollectRequest requests the unsettled counts of all windows up to Window.
type CollectRequest struct {
	LastWindow Window      `json:"window"`
	Watermarks []Watermark `json:"settled,omitempty"`
}

// settledThrough returns the last settled window of each origin.
func (request CollectRequest) settledThrough() map[Origin]Window {
	through := make(map[Origin]Window, len(request.Watermarks))
	for _, watermark := range request.Watermarks {
		through[watermark.Origin] = watermark.Through
	}
	return through
}

type lineKey struct{ team, model string }

func (line Line) key() lineKey {
	return lineKey{team: line.Team, model: line.Model}
}

func (line Line) isValid() bool {
	return line.Requests >= 0 && line.PromptTokens >= 0 && line.CachedTokens >= 0 && line.GeneratedTokens >= 0
}

func (line Line) isZero() bool {
	return line.Requests == 0 && line.PromptTokens == 0 && line.CachedTokens == 0 && line.GeneratedTokens == 0
}

func (line Line) sum(other Line) Line {
	line.Requests += other.Requests
	line.PromptTokens += other.PromptTokens
	line.CachedTokens += other.CachedTokens
	line.GeneratedTokens += other.GeneratedTokens
	return line
}

func (line Line) largest(other Line) Line {
	line.Requests = max(line.Requests, other.Requests)
	line.PromptTokens = max(line.PromptTokens, other.PromptTokens)
	line.CachedTokens = max(line.CachedTokens, other.CachedTokens)
	line.GeneratedTokens = max(line.GeneratedTokens, other.GeneratedTokens)
	return line
}

// excessOver returns by how much each count exceeds that of other, or 0.
func (line Line) excessOver(other Line) Line {
	line.Requests = max(line.Requests-other.Requests, 0)
	line.PromptTokens = max(line.PromptTokens-other.PromptTokens, 0)
	line.CachedTokens = max(line.CachedTokens-other.CachedTokens, 0)
	line.GeneratedTokens = max(line.GeneratedTokens-other.GeneratedTokens, 0)
	return line
}

func compareLines(a, b Line) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Model, b.Model))
}

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}

func sortLines(lines []Line) []Line {
	slices.SortFunc(lines, compareLines)
	return lines
}
