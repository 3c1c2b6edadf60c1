package usage

import (
	"cmp"
	"slices"
)

// ReportBody is the body of a report. Lines are ordered by team and model.
type ReportBody struct {
	Number      uint64       `json:"number"` // starts at 1, without gaps
	Window      Window       `json:"window"`
	StartMS     int64        `json:"start-ms"` // wall clock
	EndMS       int64        `json:"end-ms"`
	Lines       []Line       `json:"lines"`
	Corrections []Correction `json:"corrections,omitempty"` // ordered by window, team and model
	Incomplete  bool         `json:"incomplete"`            // usage of the window was lost or not collected yet
	Missing     []string     `json:"missing,omitempty"`     // instances whose counts may be too low
}

// Correction is usage of an earlier window that was collected after the
// window's report was frozen. Its counts add to those reported for that window.
type Correction struct {
	Window Window `json:"window"`
	Line   Line   `json:"line"`
}

// ledger is the state that the report of a window needs from earlier windows.
// It is frozen together with each report, so that the next lease holder can
// load it.
type ledger struct {
	Watermarks     []Watermark `json:"settled"`
	ReportedCopies []Batch     `json:"parts"` // counts already reported that came from copies
}

// reportBuilder sums batches into a report and the ledger that follows it.
type reportBuilder struct {
	window          Window
	allowedLateness Window
	settledThrough  map[Origin]Window
	finalThrough    map[Origin]Window
	reported        map[batchKey]*mergedBatch
	totals          map[correctionKey]Line
	droppedBatches  int
}

type correctionKey struct {
	window Window
	line   lineKey
}

func newReportBuilder(window, allowedLateness Window, before ledger) *reportBuilder {
	builder := &reportBuilder{
		window:          window,
		allowedLateness: allowedLateness,
		settledThrough:  CollectRequest{Watermarks: before.Watermarks}.settledThrough(),
		finalThrough:    map[Origin]Window{},
		reported:        map[batchKey]*mergedBatch{},
		totals:          map[correctionKey]Line{},
	}
	for _, reported := range before.ReportedCopies {
		builder.mergeReported(reported)
	}
	return builder
}

// add adds the part of a merged batch that exceeds the counts reported before.
func (builder *reportBuilder) add(batch Batch) {
	if through, ok := builder.settledThrough[batch.Origin]; ok && batch.Window <= through {
		return
	}
	if batch.Window > builder.window {
		return
	}
	if batch.Window <= builder.window-builder.allowedLateness {
		builder.droppedBatches++
		return
	}
	reported := builder.reported[batch.mergeKey()]
	for _, line := range batch.Lines {
		builder.addExcess(batch.Window, line, reported)
	}
	builder.mergeReported(batch)
	if batch.Final {
		builder.finalThrough[batch.Origin] = max(builder.finalThrough[batch.Origin], batch.Window)
	}
}

func (builder *reportBuilder) addExcess(window Window, line Line, reported *mergedBatch) {
	if reported != nil {
		line = line.excessOver(reported.lines[line.key()])
	}
	if line.isZero() {
		return
	}
	key := correctionKey{window: window, line: line.key()}
	sum := builder.totals[key].sum(line)
	sum.Team, sum.Model = line.Team, line.Model
	builder.totals[key] = sum
}

func (builder *reportBuilder) mergeReported(batch Batch) {
	key := batch.mergeKey()
	if builder.reported[key] == nil {
		builder.reported[key] = newMergedBatch(key)
	}
	builder.reported[key].merge(batch)
}

// lines returns the lines of the window and the corrections to earlier windows.
func (builder *reportBuilder) lines() ([]Line, []Correction) {
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

// nextLedger returns the ledger after the window, without entries older than
// the allowed lateness.
func (builder *reportBuilder) nextLedger() ledger {
	for origin, final := range builder.finalThrough {
		builder.settledThrough[origin] = max(builder.settledThrough[origin], final)
	}
	oldest := builder.window - builder.allowedLateness
	after := ledger{Watermarks: []Watermark{}, ReportedCopies: []Batch{}}
	for origin, through := range builder.settledThrough {
		if through > oldest {
			after.Watermarks = append(after.Watermarks, Watermark{Origin: origin, Through: through})
		}
	}
	slices.SortFunc(after.Watermarks, func(a, b Watermark) int { return compareOrigins(a.Origin, b.Origin) })
	for key, reported := range builder.reported {
		through, ok := builder.settledThrough[key.origin]
		if key.window > oldest && (!ok || key.window > through) {
			after.ReportedCopies = append(after.ReportedCopies, reported.toBatch())
		}
	}
	slices.SortFunc(after.ReportedCopies, compareBatches)
	return after
}
