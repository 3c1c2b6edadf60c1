package usage

import (
	"hash/maphash"
	"sync"
)

const shardCount = 64

var shardSeed = maphash.MakeSeed()

// tally counts one window of one instance.
type tally struct {
	window Window
	shards [shardCount]shard
}

// shard holds the lines of a part of the teams and models.
type shard struct {
	mu     sync.Mutex
	sealed bool
	cells  map[lineKey]*cell
	dirty  []*cell
	_      [64]byte // keeps the locks of two shards in different cache lines
}

// cell is one line and whether it waits to be copied.
type cell struct {
	line  Line
	dirty bool
}

func newTally(window Window) *tally {
	return &tally{window: window}
}

// add counts a line. It returns false when the tally is sealed.
func (tally *tally) add(line Line) bool {
	shard := &tally.shards[shardOf(line.Team, line.Model)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.sealed {
		return false
	}
	found := shard.cells[line.key()]
	if found == nil {
		found = shard.insert(line.Team, line.Model)
	}
	found.line = found.line.plus(line)
	shard.mark(found)
	return true
}

func (shard *shard) insert(team, model string) *cell {
	if shard.cells == nil {
		shard.cells = map[lineKey]*cell{}
	}
	found := &cell{line: Line{Team: team, Model: model}}
	shard.cells[found.line.key()] = found
	return found
}

func (shard *shard) mark(cell *cell) {
	if !cell.dirty {
		cell.dirty = true
		shard.dirty = append(shard.dirty, cell)
	}
}

// seal ends counting.
func (tally *tally) seal() {
	for i := range tally.shards {
		shard := &tally.shards[i]
		shard.mu.Lock()
		shard.sealed = true
		shard.mu.Unlock()
	}
}

// takeDirty returns the lines that changed since the last call.
func (tally *tally) takeDirty() []Line {
	var lines []Line
	for i := range tally.shards {
		shard := &tally.shards[i]
		shard.mu.Lock()
		for _, cell := range shard.dirty {
			cell.dirty = false
			lines = append(lines, cell.line)
		}
		shard.dirty = shard.dirty[:0]
		shard.mu.Unlock()
	}
	return lines
}

// markDirty makes lines wait for a copy again.
func (tally *tally) markDirty(lines []Line) {
	for _, line := range lines {
		shard := &tally.shards[shardOf(line.Team, line.Model)]
		shard.mu.Lock()
		if cell := shard.cells[line.key()]; cell != nil {
			shard.mark(cell)
		}
		shard.mu.Unlock()
	}
}

// lines returns all lines in order.
func (tally *tally) lines() []Line {
	var lines []Line
	for i := range tally.shards {
		shard := &tally.shards[i]
		shard.mu.Lock()
		for _, cell := range shard.cells {
			lines = append(lines, cell.line)
		}
		shard.mu.Unlock()
	}
	return sortLines(lines)
}

func shardOf(team, model string) uint64 {
	return (maphash.String(shardSeed, team) ^ maphash.String(shardSeed, model)*31) % shardCount
}
