package duty

import (
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/shape"
	"mangopier.example/mangopier/internal/protocol/site"
)

// changes are the engines that were ordered to change their stage.
type changes struct {
	mutex   sync.Mutex
	entries map[string]change
}

type change struct {
	stage site.Stage
	until time.Time
}

func (changes *changes) add(ordered shape.StageChange, length time.Duration) {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	if changes.entries == nil {
		changes.entries = map[string]change{}
	}
	changes.entries[ordered.Target.ID] = change{stage: ordered.Stage, until: time.Now().Add(length)}
}

// stages returns the stage that each engine changes to.
func (changes *changes) stages(now time.Time) map[string]site.Stage {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	stages := map[string]site.Stage{}
	for id, change := range changes.entries {
		if now.Before(change.until) {
			stages[id] = change.stage
		} else {
			delete(changes.entries, id)
		}
	}
	return stages
}

// left returns how long each change may still take.
func (changes *changes) left(now time.Time) map[string]time.Duration {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	if len(changes.entries) == 0 {
		return nil
	}
	left := map[string]time.Duration{}
	for id, change := range changes.entries {
		if length := change.until.Sub(now); length > 0 {
			left[id] = length
		}
	}
	return left
}

func (changes *changes) clear() {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	clear(changes.entries)
}
