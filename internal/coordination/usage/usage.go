// Package usage counts what teams use, keeps the counters through the loss of
// an instance, and reports each window once.
//
// A Meter counts at the instance that delivers the answer. Before the final
// bytes go to the caller, a Replica in another data centre holds a copy; one
// round trip covers all requests that wait for it. A Holder keeps such copies
// for other instances. After the end of a window and a grace, the Freezer that
// holds the duty collects the figures of all instances, freezes the report of
// the window by one compare-and-set, and sends the frozen bytes, under an open
// ticket, until the platform has taken them.
//
// Counters only grow, so two batches of the same origin and window merge by
// the larger of each figure; duplicates and reordering change nothing.
//
// Store operations do not depend on the number of instances or teams: a window
// costs three writes of the table and up to two objects.
package usage

import (
	"cmp"
	"slices"
	"time"
)

// Window is the number of a window since the Unix epoch.
type Window int64

// Schedule maps windows to times. All instances need the same one.
type Schedule struct {
	Length time.Duration
}

// At returns the window that holds a time.
func (schedule Schedule) At(now time.Time) Window {
	return Window(now.UnixNano() / int64(schedule.Length))
}

// Start returns the first moment of a window.
func (schedule Schedule) Start(window Window) time.Time {
	return time.Unix(0, int64(window)*int64(schedule.Length))
}

// End returns the moment at which a window is over.
func (schedule Schedule) End(window Window) time.Time {
	return schedule.Start(window + 1)
}

// Line is what one team used of one model.
type Line struct {
	Team            string `json:"team"`
	Model           string `json:"model"`
	Requests        int64  `json:"requests"`
	PromptTokens    int64  `json:"prompt-tokens"`
	CachedTokens    int64  `json:"cached-tokens"`
	GeneratedTokens int64  `json:"generated-tokens"`
}

// Origin is one life of an instance.
type Origin struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// Batch is the figures of one origin in one window. Figures are cumulative; a
// batch may leave out lines that have not changed since an earlier one.
type Batch struct {
	Origin
	Window   Window `json:"window"`
	Sequence uint64 `json:"sequence"` // increases with each batch of the origin
	Final    bool   `json:"final"`    // the origin adds nothing more up to this window
	// AtMS is the wall clock of the origin up to which the replica Holder has all
	// its counts once it has this batch. It says nothing of other replicas.
	AtMS   int64  `json:"at-ms"`
	Holder string `json:"holder,omitempty"`
	Lines  []Line `json:"lines,omitempty"`
}

// heldBy returns the batch as the replica name keeps it.
func (batch Batch) heldBy(name string) Batch {
	if batch.Holder != name {
		batch.AtMS = 0
	}
	return batch
}

// Settled tells that the windows of an origin up to Through are frozen with its
// final figures. Nobody has to keep them any longer.
type Settled struct {
	Origin
	Through Window `json:"through"`
}

// Ask is a gatherer's question for figures: all that are not settled of the
// windows up to Window.
type Ask struct {
	Window  Window    `json:"window"`
	Settled []Settled `json:"settled,omitempty"`
}

// Through returns the last settled window of each origin.
func (ask Ask) through() map[Origin]Window {
	through := make(map[Origin]Window, len(ask.Settled))
	for _, settled := range ask.Settled {
		through[settled.Origin] = settled.Through
	}
	return through
}

type lineKey struct{ team, model string }

func (line Line) key() lineKey {
	return lineKey{team: line.Team, model: line.Model}
}

func (line Line) valid() bool {
	return line.Requests >= 0 && line.PromptTokens >= 0 && line.CachedTokens >= 0 && line.GeneratedTokens >= 0
}

func (line Line) zero() bool {
	return line.Requests == 0 && line.PromptTokens == 0 && line.CachedTokens == 0 && line.GeneratedTokens == 0
}

func (line Line) plus(other Line) Line {
	line.Requests += other.Requests
	line.PromptTokens += other.PromptTokens
	line.CachedTokens += other.CachedTokens
	line.GeneratedTokens += other.GeneratedTokens
	return line
}

func (line Line) max(other Line) Line {
	line.Requests = max(line.Requests, other.Requests)
	line.PromptTokens = max(line.PromptTokens, other.PromptTokens)
	line.CachedTokens = max(line.CachedTokens, other.CachedTokens)
	line.GeneratedTokens = max(line.GeneratedTokens, other.GeneratedTokens)
	return line
}

// above returns how far line exceeds other.
func (line Line) above(other Line) Line {
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
