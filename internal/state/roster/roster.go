// Package roster keeps the list of targets that are registered in the
// platform's store. It decodes the rows that a follower delivers and reports
// the list after each change.
package roster

import (
	"cmp"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/table"
)

// Roster is the list of registered targets. It is a follow.Applier and safe
// for concurrent use.
type Roster struct {
	decode   func(id string, value []byte) (site.Target, error)
	onChange func([]site.Target)
	logger   zerolog.Logger

	mutex   sync.Mutex
	targets map[string]site.Target
	loaded  bool
}

// New returns an empty roster. Decode decodes the row of a target. OnChange is
// called with the list, sorted by ID, when it is first known and after each
// change, by one goroutine at a time. It must not call the roster.
func New(decode func(id string, value []byte) (site.Target, error), onChange func([]site.Target), logger zerolog.Logger) *Roster {
	return &Roster{
		decode: decode, onChange: onChange,
		logger:  logger.With().Str("part", "roster").Logger(),
		targets: map[string]site.Target{},
	}
}

// Loaded reports whether the list was read at least once.
func (roster *Roster) Loaded() bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.loaded
}

// Apply updates the list with changed rows. A row that cannot be decoded
// removes its target.
func (roster *Roster) Apply(changes []table.Change) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	for _, change := range changes {
		roster.apply(change)
	}
	if len(changes) > 0 || !roster.loaded {
		roster.loaded = true
		roster.notify()
	}
}

func (roster *Roster) apply(change table.Change) {
	previous, ok := roster.targets[change.Key]
	if change.Deleted {
		delete(roster.targets, change.Key)
		if ok {
			roster.logger.Info().Str("target", change.Key).Msg("target removed")
		}
		return
	}
	target, err := roster.decode(change.Key, change.Value)
	if err != nil {
		delete(roster.targets, change.Key)
		roster.logger.Warn().Err(err).Str("target", change.Key).Msg("target row cannot be decoded; target not used")
		return
	}
	roster.targets[change.Key] = target
	if !ok || previous != target {
		roster.logger.Info().Str("target", target.ID).Str("service", target.Service).Str("address", target.Address).
			Str("data-center", target.DataCenter).Stringer("stage", target.Stage).Bool("leaving", target.Draining).
			Bool("cheap", target.Spot).Uint64("version", change.Version).Msg("target added or changed")
	}
}

func (roster *Roster) notify() {
	targets := make([]site.Target, 0, len(roster.targets))
	for _, target := range roster.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	roster.onChange(targets)
}
