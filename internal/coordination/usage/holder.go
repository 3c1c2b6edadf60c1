package usage

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Holder keeps copies for other instances. It is a Replica, safe for
// concurrent use.
type Holder struct {
	settings settings
	name     string

	mu    sync.Mutex
	held  map[batchKey]*figures
	at    map[Origin]int64 // up to when all counts of an origin came here
	lines int
}

// HolderStatus is what a Holder keeps.
type HolderStatus struct {
	Name    string
	Batches int // origins and windows
	Lines   int
}

// NewHolder returns an empty Holder of the instance self.
func NewHolder(self string, opts ...Option) *Holder {
	settings := newSettings(opts)
	life := strconv.FormatUint(rand.New(settings.source).Uint64(), 36)
	return &Holder{
		settings: settings,
		name:     self + "/" + life,
		held:     map[batchKey]*figures{},
		at:       map[Origin]int64{},
	}
}

// Copy keeps batches and returns the name of this life of the Holder. Errors
// have code.MessageMalformed for a malformed batch, and code.BodyMemoryFull
// when there is no room; nothing is kept then.
func (holder *Holder) Copy(_ context.Context, batches []Batch) (string, error) {
	if slices.ContainsFunc(batches, Batch.malformed) {
		return "", code.Errorf(code.MessageMalformed, "a batch of usage is malformed")
	}
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if !holder.fits(batches) {
		holder.expire()
	}
	if !holder.fits(batches) {
		return "", code.Errorf(code.BodyMemoryFull, "the copies hold %d lines already", holder.lines)
	}
	for _, batch := range batches {
		holder.add(batch.heldBy(holder.name))
	}
	return holder.name, nil
}

// Collect forgets what is settled or behind the horizon, and returns the copies of the windows of an
// Ask that are not.
func (holder *Holder) Collect(ask Ask) []Batch {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	through := ask.through()
	var batches []Batch
	for key, figures := range holder.held {
		last, ok := through[key.origin]
		if ok && key.window <= last || key.window <= ask.Window-holder.settings.horizon {
			holder.remove(key)
			continue
		}
		batches = append(batches, figures.whole())
	}
	return ask.answer(append(batches, holder.marks(ask.Window)...))
}

// marks returns an empty batch for each origin that is not forgotten, with the
// time up to which all its counts came here.
func (holder *Holder) marks(window Window) []Batch {
	oldest := holder.settings.schedule.Start(window - holder.settings.horizon).UnixMilli()
	var batches []Batch
	for origin, atMS := range holder.at {
		if atMS < oldest {
			delete(holder.at, origin)
			continue
		}
		batches = append(batches, Batch{Origin: origin, Window: window, AtMS: atMS})
	}
	return batches
}

// copies returns all that the Holder keeps, for another one.
func (holder *Holder) copies() []Batch {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	var batches []Batch
	for _, figures := range holder.held {
		batch := figures.whole()
		batch.Holder = ""
		batches = append(batches, batch)
	}
	return batches
}

// Status returns what the Holder keeps.
func (holder *Holder) Status() HolderStatus {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return HolderStatus{Name: holder.name, Batches: len(holder.held), Lines: holder.lines}
}

func (holder *Holder) add(batch Batch) {
	key := batch.key()
	if holder.held[key] == nil {
		holder.held[key] = newFigures(key)
		holder.lines++
	}
	holder.lines += holder.held[key].add(batch)
	holder.at[batch.Origin] = max(holder.at[batch.Origin], batch.AtMS)
}

func (holder *Holder) remove(key batchKey) {
	holder.lines -= 1 + len(holder.held[key].lines)
	delete(holder.held, key)
}

func (holder *Holder) fits(batches []Batch) bool {
	return holder.lines+holder.growth(batches) <= holder.settings.maxLines
}

// growth counts the lines that batches add, each new origin and window as one
// more.
func (holder *Holder) growth(batches []Batch) int {
	growth := 0
	for _, batch := range batches {
		figures := holder.held[batch.key()]
		if figures == nil {
			growth += 1 + len(batch.Lines)
			continue
		}
		for _, line := range batch.Lines {
			if _, ok := figures.lines[line.key()]; !ok {
				growth++
			}
		}
	}
	return growth
}

// expire forgets windows that no report takes corrections for any more.
func (holder *Holder) expire() {
	oldest := holder.settings.schedule.At(time.Now()) - 2*holder.settings.horizon
	for key := range holder.held {
		if key.window < oldest {
			holder.remove(key)
		}
	}
}
