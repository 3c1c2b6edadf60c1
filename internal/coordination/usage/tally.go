package usage

import (
	"hash/maphash"
	"sync"
)

const shardCount = 64

var shardSeed = maphash.MakeSeed()

// windowCounts has the counts of one window at one instance.
type windowCounts struct {
	window Window
	shards [shardCount]shard
}

// shard has the lines of a subset of teams and models.
type shard struct {
	mu     sync.Mutex
	sealed bool
	lines  map[lineKey]*trackedLine
	dirty  []*trackedLine
	_      [64]byte // keeps the locks of two shards in different cache lines
}

// trackedLine is a line and whether it has changes to copy.
type trackedLine struct {
	line  Line
	dirty bool
}

func newWindowCounts(window Window) *windowCounts {
	return &windowCounts{window: window}
}

// add counts a line. It returns false if the window is sealed.
func (counts *windowCounts) add(line Line) bool {
	shard := &counts.shards[shardOf(line.Team, line.Model)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.sealed {
		return false
	}
	tracked := shard.lines[line.key()]
	if tracked == nil {
		tracked = shard.insert(line.Team, line.Model)
	}
	tracked.line = tracked.line.sum(line)
	shard.markDirty(tracked)
	return true
}

func (shard *shard) insert(team, model string) *trackedLine {
	if shard.lines == nil {
		shard.lines = map[lineKey]*trackedLine{}
	}
	tracked := &trackedLine{line: Line{Team: team, Model: model}}
	shard.lines[tracked.line.key()] = tracked
	return tracked
}

func (shard *shard) markDirty(tracked *trackedLine) {
	if !tracked.dirty {
		tracked.dirty = true
		shard.dirty = append(shard.dirty, tracked)
	}
}

// seal makes later calls of add return false.
func (counts *windowCounts) seal() {
	for i := range counts.shards {
		shard := &counts.shards[i]
		shard.mu.Lock()
		shard.sealed = true
		shard.mu.Unlock()
	}
}

// takeDirty returns the lines changed since the last call.
func (counts *windowCounts) takeDirty() []Line {
	var lines []Line
	for i := range counts.shards {
		shard := &counts.shards[i]
		shard.mu.Lock()
		for _, tracked := range shard.dirty {
			tracked.dirty = false
			lines = append(lines, tracked.line)
		}
		shard.dirty = shard.dirty[:0]
		shard.mu.Unlock()
	}
	return lines
}

// markDirty schedules lines for another copy.
func (counts *windowCounts) markDirty(lines []Line) {
	for _, line := range lines {
		shard := &counts.shards[shardOf(line.Team, line.Model)]
		shard.mu.Lock()
		if tracked := shard.lines[line.key()]; tracked != nil {
			shard.markDirty(tracked)
		}
		shard.mu.Unlock()
	}
}

// lines returns all lines, sorted.
func (counts *windowCounts) lines() []Line {
	var lines []Line
	for i := range counts.shards {
		shard := &counts.shards[i]
		shard.mu.Lock()
		for _, tracked := range shard.lines {
			lines = append(lines, tracked.line)
		}
		shard.mu.Unlock()
	}
	return sortLines(lines)
}

func shardOf(team, model string) uint64 {
	return (maphash.String(shardSeed, team) ^ maphash.String(shardSeed, model)*31) % shardCount
}
