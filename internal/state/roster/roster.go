// Package roster keeps the list of targets as the platform's store has it.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/table"
)

// lapseGrace is how long after the store's return a target may be missing from
// the list: entries that lapsed during an outage are back within two seconds.
const lapseGrace = 2500 * time.Millisecond

// Roster is the list of targets. It is a follow.Copy.
type Roster struct {
	decode  func(id string, value []byte) (site.Target, error)
	changed func([]site.Target)
	logger  zerolog.Logger

	mutex   sync.Mutex
	targets map[string]site.Target
	missing map[string]site.Target // lapsed during an outage, may come back
	timer   *time.Timer            // ends the grace of those that are missing
	listed  bool
}

// New returns an empty roster. Changed is called with the list after each
// change, by one goroutine at a time.
func New(decode func(id string, value []byte) (site.Target, error), changed func([]site.Target), logger zerolog.Logger) *Roster {
	return &Roster{
		decode: decode, changed: changed,
		logger:  logger.With().Str("part", "roster").Logger(),
		targets: map[string]site.Target{},
		missing: map[string]site.Target{},
	}
}

// Listed reports whether the list was read at least once.
func (roster *Roster) Listed() bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.listed
}

// Replace takes the whole list. If the store has just come back, targets that
// are missing are kept for a grace.
func (roster *Roster) Replace(changes []table.Change, recovered bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	before := roster.targets
	roster.targets = make(map[string]site.Target, len(changes))
	for _, change := range changes {
		roster.apply(change, before)
	}
	for id, target := range before {
		if _, ok := roster.targets[id]; ok {
			continue
		}
		if recovered {
			roster.missing[id] = target
			continue
		}
		if _, ok := roster.missing[id]; !ok {
			roster.logger.Info().Str("target", id).Msg("target is gone")
		}
	}
	if recovered && len(roster.missing) > 0 {
		roster.startGrace()
	}
	roster.listed = true
	roster.publish()
}

// Update takes changed rows.
func (roster *Roster) Update(changes []table.Change) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	for _, change := range changes {
		roster.apply(change, roster.targets)
	}
	roster.publish()
}

func (roster *Roster) apply(change table.Change, before map[string]site.Target) {
	known, ok := before[change.Key]
	delete(roster.missing, change.Key)
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

func (roster *Roster) startGrace() {
	if roster.timer != nil {
		roster.timer.Stop()
	}
	roster.timer = time.AfterFunc(lapseGrace, roster.endGrace)
}

func (roster *Roster) endGrace() {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	for id := range roster.missing {
		roster.logger.Info().Str("target", id).Msg("target did not come back with the store")
	}
	clear(roster.missing)
	roster.publish()
}

// publish tells the list, in the order of the names.
func (roster *Roster) publish() {
	targets := make([]site.Target, 0, len(roster.targets)+len(roster.missing))
	for _, target := range roster.targets {
		targets = append(targets, target)
	}
	for _, target := range roster.missing {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b site.Target) int { return cmp.Compare(a.ID, b.ID) })
	roster.changed(targets)
}
