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
	removed map[string]site.Target // as last listed
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
		removed: map[string]site.Target{},
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
		roster.remove(change.Key)
		if ok {
			roster.logger.Info().Str("target", change.Key).Msg("target removed")
		}
		return
	}
	target, err := roster.decode(change.Key, change.Value)
	if err != nil {
		roster.remove(change.Key)
		roster.logger.Warn().Err(err).Str("target", change.Key).Msg("target row cannot be decoded; target not used")
		return
	}
	if roster.isOutdated(&target) {
		roster.logger.Info().Str("target", target.ID).Int64("revision", target.Revision).Uint64("version", change.Version).
			Msg("target row is older than what is known of that run of the target; row ignored")
		return
	}
	roster.targets[change.Key] = target
	delete(roster.removed, change.Key)
	previous.Revision = target.Revision
	if !ok || previous != target {
		roster.logger.Info().Str("target", target.ID).Str("service", target.Service).Str("software", target.Software).Str("address", target.Address).
			Str("data-center", target.DataCenter).Stringer("stage", target.Stage).Bool("leaving", target.Draining).
			Bool("cheap", target.Spot).Uint64("version", change.Version).Msg("target added or changed")
	}
}

// maxRemoved bounds the memory for targets that were removed.
const maxRemoved = 4096

func (roster *Roster) remove(id string) {
	target, ok := roster.targets[id]
	if !ok {
		return
	}
	delete(roster.targets, id)
	if len(roster.removed) >= maxRemoved {
		clear(roster.removed)
	}
	roster.removed[id] = target
}

// isOutdated reports whether a row tells less than what is known of the same run of
// the target: a store that was restored from a copy may list a target that has gone,
// or one that leaves as ready.
func (roster *Roster) isOutdated(target *site.Target) bool {
	if target.Started.IsZero() || target.Revision == 0 {
		return false
	}
	if known, ok := roster.targets[target.ID]; ok {
		return known.Started.Equal(target.Started) && target.Revision < known.Revision
	}
	known, ok := roster.removed[target.ID]
	return ok && known.Started.Equal(target.Started) && target.Revision <= known.Revision
}

func (roster *Roster) notify() {
	targets := make([]site.Target, 0, len(roster.targets))
	for _, target := range roster.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	roster.onChange(targets)
}
