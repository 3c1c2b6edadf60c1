package usage

import (
	"cmp"
	"slices"
)

// Content is what a report tells. Lines are ordered by team and model.
type Content struct {
	Number      uint64       `json:"number"` // 1 for the first report, without gaps
	Window      Window       `json:"window"`
	StartMS     int64        `json:"start-ms"` // wall clock
	EndMS       int64        `json:"end-ms"`
	Lines       []Line       `json:"lines"`
	Corrections []Correction `json:"corrections,omitempty"` // ordered by window, team and model
	Incomplete  bool         `json:"incomplete"`            // figures of the window were lost or are still out
	Missing     []string     `json:"missing,omitempty"`     // instances whose figures may be short
}

// Correction is usage of an earlier window that came after its freezing. Its
// line adds to what was reported for that window.
type Correction struct {
	Window Window `json:"window"`
	Line   Line   `json:"line"`
}

// ledger is what a Freezer has to know of earlier windows. It is frozen with
// each window, so that a successor has it.
type ledger struct {
	Settled []Settled `json:"settled"`
	Parts   []Batch   `json:"parts"` // figures that were reported from copies
}

// builder adds batches up to a report and the ledger after it.
type builder struct {
	window  Window
	horizon Window
	through map[Origin]Window
	final   map[Origin]Window
	parts   map[batchKey]*figures
	totals  map[correctionKey]Line
	dropped int
}

type correctionKey struct {
	window Window
	line   lineKey
}

func newBuilder(window, horizon Window, before ledger) *builder {
	builder := &builder{
		window:  window,
		horizon: horizon,
		through: Ask{Settled: before.Settled}.through(),
		final:   map[Origin]Window{},
		parts:   map[batchKey]*figures{},
		totals:  map[correctionKey]Line{},
	}
	for _, part := range before.Parts {
		builder.include(part)
	}
	return builder
}

// add takes what a merged batch has beyond the figures that were reported
// before.
func (builder *builder) add(batch Batch) {
	if through, ok := builder.through[batch.Origin]; ok && batch.Window <= through {
		return
	}
	if batch.Window > builder.window {
		return
	}
	if batch.Window <= builder.window-builder.horizon {
		builder.dropped++
		return
	}
	part := builder.parts[batch.key()]
	for _, line := range batch.Lines {
		builder.total(batch.Window, line, part)
	}
	builder.include(batch)
	if batch.Final {
		builder.final[batch.Origin] = max(builder.final[batch.Origin], batch.Window)
	}
}

func (builder *builder) total(window Window, line Line, part *figures) {
	if part != nil {
		line = line.above(part.lines[line.key()])
	}
	if line.zero() {
		return
	}
	key := correctionKey{window: window, line: line.key()}
	sum := builder.totals[key].plus(line)
	sum.Team, sum.Model = line.Team, line.Model
	builder.totals[key] = sum
}

func (builder *builder) include(batch Batch) {
	key := batch.key()
	if builder.parts[key] == nil {
		builder.parts[key] = newFigures(key)
	}
	builder.parts[key].add(batch)
}

// lines returns the lines of the window and the corrections of others.
func (builder *builder) lines() ([]Line, []Correction) {
	lines := []Line{}
	var corrections []Correction
	for key, line := range builder.totals {
		if key.window == builder.window {
			lines = append(lines, line)
			continue
		}
		corrections = append(corrections, Correction{Window: key.window, Line: line})
	}
	slices.SortFunc(corrections, func(a, b Correction) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), compareLines(a.Line, b.Line))
	})
	return sortLines(lines), corrections
}

// ledger returns the ledger after the window, without what lies behind the
// horizon.
func (builder *builder) ledger() ledger {
	for origin, final := range builder.final {
		builder.through[origin] = max(builder.through[origin], final)
	}
	oldest := builder.window - builder.horizon
	after := ledger{Settled: []Settled{}, Parts: []Batch{}}
	for origin, through := range builder.through {
		if through > oldest {
			after.Settled = append(after.Settled, Settled{Origin: origin, Through: through})
		}
	}
	slices.SortFunc(after.Settled, func(a, b Settled) int { return compareOrigins(a.Origin, b.Origin) })
	for key, part := range builder.parts {
		through, ok := builder.through[key.origin]
		if key.window > oldest && (!ok || key.window > through) {
			after.Parts = append(after.Parts, part.whole())
		}
	}
	slices.SortFunc(after.Parts, compareBatches)
	return after
}
