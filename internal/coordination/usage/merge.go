package usage

import (
	"cmp"
	"slices"
)

// batchKey names the figures that a batch adds to.
type batchKey struct {
	origin Origin
	window Window
}

func (batch Batch) key() batchKey {
	return batchKey{origin: batch.Origin, window: batch.Window}
}

// figures are the merged batches of one origin and window.
type figures struct {
	batch Batch // without lines
	lines map[lineKey]Line
}

func newFigures(key batchKey) *figures {
	return &figures{
		batch: Batch{Origin: key.origin, Window: key.window},
		lines: map[lineKey]Line{},
	}
}

// add merges a batch and returns by how many lines the figures grew.
func (figures *figures) add(batch Batch) int {
	before := len(figures.lines)
	figures.batch.Sequence = max(figures.batch.Sequence, batch.Sequence)
	figures.batch.AtMS = max(figures.batch.AtMS, batch.AtMS)
	figures.batch.Holder = max(figures.batch.Holder, batch.Holder)
	figures.batch.Final = figures.batch.Final || batch.Final
	for _, line := range batch.Lines {
		figures.lines[line.key()] = line.max(figures.lines[line.key()])
	}
	return len(figures.lines) - before
}

// whole returns the figures as one batch with its lines in order.
func (figures *figures) whole() Batch {
	batch := figures.batch
	batch.Lines = make([]Line, 0, len(figures.lines))
	for _, line := range figures.lines {
		batch.Lines = append(batch.Lines, line)
	}
	sortLines(batch.Lines)
	return batch
}

// Merge returns one batch for each origin and window, ordered by window and
// origin. Malformed batches are left out. A relay in each data centre may merge
// what its instances answer before it passes it on.
func Merge(batches []Batch) []Batch {
	merged := map[batchKey]*figures{}
	for _, batch := range batches {
		if batch.malformed() {
			continue
		}
		key := batch.key()
		if merged[key] == nil {
			merged[key] = newFigures(key)
		}
		merged[key].add(batch)
	}
	whole := make([]Batch, 0, len(merged))
	for _, figures := range merged {
		whole = append(whole, figures.whole())
	}
	slices.SortFunc(whole, compareBatches)
	return whole
}

// answer returns the batches of one replica up to the window of an ask. Each
// tells up to which time the replica has all counts of its origin, which a
// later window may know better.
func (ask Ask) answer(batches []Batch) []Batch {
	atMS := map[Origin]int64{}
	for _, batch := range batches {
		atMS[batch.Origin] = max(atMS[batch.Origin], batch.AtMS)
	}
	var answer []Batch
	for _, batch := range batches {
		batch.AtMS = atMS[batch.Origin]
		if batch.Window > ask.Window {
			batch = Batch{Origin: batch.Origin, Window: ask.Window, AtMS: batch.AtMS}
		}
		answer = append(answer, batch)
	}
	return Merge(answer)
}

func compareBatches(a, b Batch) int {
	return cmp.Or(cmp.Compare(a.Window, b.Window), compareOrigins(a.Origin, b.Origin))
}

func (batch Batch) malformed() bool {
	if batch.Instance == "" || batch.Window < 0 {
		return true
	}
	return slices.ContainsFunc(batch.Lines, func(line Line) bool { return !line.valid() })
}
