// Package roster keeps the list of targets as the platform's store has it.
package roster

import (
	"cmp"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/table"
)

// Roster is the list of targets. It is a follow.Copy.
type Roster struct {
	decode  func(id string, value []byte) (site.Target, error)
	changed func([]site.Target)
	logger  zerolog.Logger

	mutex   sync.Mutex
	targets map[string]site.Target
	listed  bool
}

// New returns an empty roster. Changed is called with the list after each
// change, by one goroutine at a time.
func New(decode func(id string, value []byte) (site.Target, error), changed func([]site.Target), logger zerolog.Logger) *Roster {
	return &Roster{
		decode: decode, changed: changed,
		logger:  logger.With().Str("part", "roster").Logger(),
		targets: map[string]site.Target{},
	}
}

// Listed reports whether the list was read at least once.
func (roster *Roster) Listed() bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.listed
}

// Apply takes changed rows.
func (roster *Roster) Apply(changes []table.Change) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	for _, change := range changes {
		roster.apply(change)
	}
	if len(changes) > 0 || !roster.listed {
		roster.listed = true
		roster.publish()
	}
}

func (roster *Roster) apply(change table.Change) {
	known, ok := roster.targets[change.Key]
	if change.Deleted {
		delete(roster.targets, change.Key)
		if ok {
			roster.logger.Info().Str("target", change.Key).Msg("target is gone")
		}
		return
	}
	target, err := roster.decode(change.Key, change.Value)
	if err != nil {
		delete(roster.targets, change.Key)
		roster.logger.Warn().Err(err).Str("target", change.Key).Msg("row names no target to use")
		return
	}
	roster.targets[change.Key] = target
	if !ok || known != target {
		roster.logger.Info().Str("target", target.ID).Str("service", target.Service).Str("address", target.Address).
			Str("data-center", target.DataCenter).Stringer("stage", target.Stage).Bool("leaving", target.Leaving).
			Bool("cheap", target.Cheap).Uint64("version", change.Version).Msg("target listed")
	}
}

// publish tells the list, in the order of the names.
func (roster *Roster) publish() {
	targets := make([]site.Target, 0, len(roster.targets))
	for _, target := range roster.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	roster.changed(targets)
}
