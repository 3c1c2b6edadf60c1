package route

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// View is an immutable snapshot of the targets that may be picked. The counters
// and cached prefixes of its targets are shared with other views and do change.
type View struct {
	pools   map[poolKey][]*viewTarget // nearest data centre first
	targets map[string]*viewTarget
}

// poolKey identifies the targets that may run a kind of request.
type poolKey struct {
	model      string
	service    string
	role       note.Role
	repeatable bool
}

// StartRequest adds the choice's work to the in-flight counters; RecordFirstToken
// and Release of the choice subtract it. Later calls have no effect.
func (view *View) StartRequest(choice Choice) {
	view.StartRequestAt(choice, time.Now())
}

// StartRequestAt is like StartRequest with an explicit time.
func (view *View) StartRequestAt(choice Choice, now time.Time) {
	if choice.state.phase.CompareAndSwap(phaseIdle, phasePrefill) {
		choice.state.target.inFlight.add(now, choice.Priority, choice.Work)
	}
}

// RecordPrefix records that the blocks of a request were sent to the target, which is
// then expected to have them cached.
func (view *View) RecordPrefix(choice Choice, blocks []uint64) {
	if len(blocks) > 0 {
		choice.state.target.prefixIndex.add(blocks)
	}
}

// InFlight returns this instance's in-flight work at the target, zero if the
// view doesn't have it.
func (view *View) InFlight(id string) Work {
	viewTarget, ok := view.targets[id]
	if !ok {
		return Work{}
	}
	return viewTarget.inFlight.total.load()
}

// Backlog returns the work of all instances expected at the target, zero if the
// view doesn't have it.
func (view *View) Backlog(id string) Work {
	viewTarget, ok := view.targets[id]
	if !ok {
		return Work{}
	}
	return viewTarget.backlog()
}

// PoolSize returns the number of targets in the request's pool, including those that
// the request excludes.
func (view *View) PoolSize(request *Request) int {
	return len(view.pools[request.poolKey()])
}

// HasTarget reports whether the instance may send requests to the target.
func (view *View) HasTarget(id string) bool {
	_, ok := view.targets[id]
	return ok
}

func newView() *View {
	return &View{pools: map[poolKey][]*viewTarget{}, targets: map[string]*viewTarget{}}
}

func (view *View) add(viewTarget *viewTarget) {
	target := viewTarget.target
	view.targets[target.ID] = viewTarget
	for _, key := range poolKeys(target) {
		view.pools[key] = append(view.pools[key], viewTarget)
		// Spot targets may be reclaimed while a request runs.
		if target.Spot {
			continue
		}
		key.repeatable = false
		view.pools[key] = append(view.pools[key], viewTarget)
	}
}

// poolKeys returns the keys of the pools that a target belongs to, for repeatable
// requests.
func poolKeys(target *note.Target) []poolKey {
	if target.Kind == note.KindService {
		return []poolKey{{service: target.Service, repeatable: true}}
	}
	var keys []poolKey
	for _, model := range target.Models {
		for _, role := range poolRoles(target.Role) {
			keys = append(keys, poolKey{model: model, role: role, repeatable: true})
		}
	}
	return keys
}

// poolRoles returns the phases that a target of the role can run.
func poolRoles(role note.Role) []note.Role {
	if role == "" || role == note.RoleMixed {
		return []note.Role{note.RoleMixed, note.RolePrefill, note.RoleDecode}
	}
	return []note.Role{role}
}
