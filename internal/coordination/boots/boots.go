// Package boots tells whether targets still run since the start that their entries name. A
// target may be started again under its ID and address, with another version of its software,
// and its entry changes only when the platform's store takes it.
package boots

import (
	"context"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// checkTimeout bounds one check. Whoever checks has a caller that waits.
	checkTimeout = 250 * time.Millisecond
	// checkedFor is how long a check holds. Starting a target takes longer.
	checkedFor = 100 * time.Millisecond
)

// FetchStart asks a target when it was started. It returns the zero time if the target does
// not tell.
type FetchStart func(ctx context.Context, target site.Target) (time.Time, error)

// Checker checks the starts of targets. Its methods may be called by several goroutines.
type Checker struct {
	fetch FetchStart

	mutex sync.Mutex
	// checks holds the last check of each target, by ID.
	checks map[string]check
}

// check is what a target told of its start.
type check struct {
	at    time.Time
	start time.Time // zero if the target does not tell
}

// New returns a checker that has checked no target.
func New(fetch FetchStart) *Checker {
	return &Checker{fetch: fetch, checks: map[string]check{}}
}

// Check asks a target whether it still runs since the start that its entry names. It returns
// false if it does not, or does not answer in time. An entry that names no start is true.
func (checker *Checker) Check(ctx context.Context, target site.Target) bool {
	if target.Started.IsZero() {
		return true
	}
	if last, ok := checker.last(target.ID); ok && time.Since(last.at) < checkedFor {
		return last.matches(target)
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	at := time.Now()
	start, err := checker.fetch(ctx, target)
	if err != nil {
		return false
	}
	current := check{at: at, start: start}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.checks[target.ID] = current
	return current.matches(target)
}

// Restarted reports whether a target was found to run since another start than its entry
// names. It asks nobody.
func (checker *Checker) Restarted(target site.Target) bool {
	last, ok := checker.last(target.ID)
	return ok && !target.Started.IsZero() && !last.matches(target)
}

func (checker *Checker) last(id string) (check, bool) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	last, ok := checker.checks[id]
	return last, ok
}

// matches reports whether an entry names the start that the target told. A newer entry is of
// a start after the check.
func (check check) matches(target site.Target) bool {
	return check.start.IsZero() || !target.Started.Before(check.start)
}

// SetTargets forgets the targets that are not listed any more.
func (checker *Checker) SetTargets(targets []site.Target) {
	listed := make(map[string]bool, len(targets))
	for i := range targets {
		listed[targets[i].ID] = true
	}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for id := range checker.checks {
		if !listed[id] {
			delete(checker.checks, id)
		}
	}
}
