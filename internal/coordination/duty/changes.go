package duty

import (
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/shape"
	"mangopier.example/mangopier/internal/protocol/site"
)

// pendingChanges holds the ordered stage changes of engines, by target ID, until
// their time is up.
type pendingChanges struct {
	mutex   sync.Mutex
	entries map[string]pendingChange
}

type pendingChange struct {
	stage     site.Stage
	expiresAt time.Time
}

func (changes *pendingChanges) add(change shape.StageChange, timeout time.Duration) {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	if changes.entries == nil {
		changes.entries = map[string]pendingChange{}
	}
	changes.entries[change.Target.ID] = pendingChange{stage: change.Stage, expiresAt: time.Now().Add(timeout)}
}

// removeCompleted removes the changes of engines that are listed with their new
// stage, or not at all.
func (changes *pendingChanges) removeCompleted(targets []site.Target) {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	if len(changes.entries) == 0 {
		return
	}
	listed := make(map[string]site.Stage, len(targets))
	for _, target := range targets {
		listed[target.ID] = target.Stage
	}
	for id, change := range changes.entries {
		if stage, ok := listed[id]; !ok || stage == change.stage {
			delete(changes.entries, id)
		}
	}
}

// stages returns the stage that each changing engine changes to, and removes
// the entries whose time is up.
func (changes *pendingChanges) stages(now time.Time) map[string]site.Stage {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	stages := map[string]site.Stage{}
	for id, change := range changes.entries {
		if now.Before(change.expiresAt) {
			stages[id] = change.stage
		} else {
			delete(changes.entries, id)
		}
	}
	return stages
}

// remaining returns the time left for each change, nil if there is none.
func (changes *pendingChanges) remaining(now time.Time) map[string]time.Duration {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	if len(changes.entries) == 0 {
		return nil
	}
	remaining := map[string]time.Duration{}
	for id, change := range changes.entries {
		if duration := change.expiresAt.Sub(now); duration > 0 {
			remaining[id] = duration
		}
	}
	return remaining
}

func (changes *pendingChanges) clear() {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	clear(changes.entries)
}
