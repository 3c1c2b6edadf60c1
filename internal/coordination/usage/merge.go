package usage

import (
	"cmp"
	"slices"
)

// batchKey identifies the batches that merge into one.
type batchKey struct {
	origin Origin
	window Window
}

func (batch Batch) mergeKey() batchKey {
	return batchKey{origin: batch.Origin, window: batch.Window}
}

// mergedBatch is the merge of all batches of one origin and window.
type mergedBatch struct {
	fields Batch // all but the lines
	lines  map[lineKey]Line
}

func newMergedBatch(key batchKey) *mergedBatch {
	return &mergedBatch{
		fields: Batch{Origin: key.origin, Window: key.window},
		lines:  map[lineKey]Line{},
	}
}

// merge merges a batch and returns the number of lines it added.
func (merged *mergedBatch) merge(batch Batch) int {
	before := len(merged.lines)
	merged.fields.Sequence = max(merged.fields.Sequence, batch.Sequence)
	merged.fields.CompleteUntilMS = max(merged.fields.CompleteUntilMS, batch.CompleteUntilMS)
	merged.fields.Replica = max(merged.fields.Replica, batch.Replica)
	merged.fields.Final = merged.fields.Final || batch.Final
	for _, line := range batch.Lines {
		merged.lines[line.key()] = line.largest(merged.lines[line.key()])
	}
	return len(merged.lines) - before
}

// toBatch returns the merged counts as one batch with sorted lines.
func (merged *mergedBatch) toBatch() Batch {
	batch := merged.fields
	batch.Lines = make([]Line, 0, len(merged.lines))
	for _, line := range merged.lines {
		batch.Lines = append(batch.Lines, line)
	}
	sortLines(batch.Lines)
	return batch
}

// Merge returns one batch per origin and window, ordered by window and origin.
// It drops malformed batches. A relay in each data centre may merge the
// responses of its instances before it passes them on.
func Merge(batches []Batch) []Batch {
	merged := map[batchKey]*mergedBatch{}
	for _, batch := range batches {
		if batch.isMalformed() {
			continue
		}
		key := batch.mergeKey()
		if merged[key] == nil {
			merged[key] = newMergedBatch(key)
		}
		merged[key].merge(batch)
	}
	result := make([]Batch, 0, len(merged))
	for _, merged := range merged {
		result = append(result, merged.toBatch())
	}
	slices.SortFunc(result, compareBatches)
	return result
}

// response merges the batches of one replica for the windows up to the
// requested one. Each batch carries the latest time up to which the replica has
// all counts of its origin. A batch of a later window may have that time, so it
// is included without its lines.
func (request CollectRequest) response(batches []Batch) []Batch {
	completeUntilMS := map[Origin]int64{}
	for _, batch := range batches {
		completeUntilMS[batch.Origin] = max(completeUntilMS[batch.Origin], batch.CompleteUntilMS)
	}
	var matching []Batch
	for _, batch := range batches {
		batch.CompleteUntilMS = completeUntilMS[batch.Origin]
		if batch.Window > request.LastWindow {
			batch = Batch{Origin: batch.Origin, Window: request.LastWindow, CompleteUntilMS: batch.CompleteUntilMS}
		}
		matching = append(matching, batch)
	}
	return Merge(matching)
}

func compareBatches(a, b Batch) int {
	return cmp.Or(cmp.Compare(a.Window, b.Window), compareOrigins(a.Origin, b.Origin))
}

func (batch Batch) isMalformed() bool {
	if batch.Instance == "" || batch.Window < 0 {
		return true
	}
	return slices.ContainsFunc(batch.Lines, func(line Line) bool { return !line.isValid() })
}
