package route

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// View is an immutable snapshot of the targets that may be picked.
type View struct {
	pools   map[poolKey][]*member // nearest data centre first
	members map[string]*member
}

type poolKey struct {
	model      string
	service    string
	role       note.Role
	repeatable bool
}

// Start counts the choice's work as in flight, once. The choice's FirstToken
// and Done take it out again.
func (view *View) Start(choice Choice) {
	view.StartAt(choice, time.Now())
}

// StartAt is Start at a given time.
func (view *View) StartAt(choice Choice, now time.Time) {
	if choice.flight.phase.CompareAndSwap(phaseIdle, phasePrefill) {
		choice.flight.node.own.add(now, choice.Priority, choice.Work)
	}
}

// Sent remembers that the blocks of a request went to the target, which now
// holds them as far as is known.
func (view *View) Sent(choice Choice, blocks []uint64) {
	if len(blocks) > 0 {
		choice.flight.node.prefixes.store(blocks)
	}
}

// InFlight returns this instance's work in flight at the target.
func (view *View) InFlight(id string) Work {
	member, ok := view.members[id]
	if !ok {
		return Work{}
	}
	return member.own.total.load()
}

// Backlog returns all work expected at the target, peers' work included.
func (view *View) Backlog(id string) Work {
	member, ok := view.members[id]
	if !ok {
		return Work{}
	}
	return member.backlog()
}

// Size returns how many targets the request could go to, excluded ones
// included.
func (view *View) Size(request *Request) int {
	return len(view.pools[request.pool()])
}

// Has reports whether the instance may send requests to the target.
func (view *View) Has(id string) bool {
	_, ok := view.members[id]
	return ok
}

func newView() *View {
	return &View{pools: map[poolKey][]*member{}, members: map[string]*member{}}
}

func (view *View) add(member *member) {
	target := member.target
	view.members[target.ID] = member
	for _, key := range keysOf(target) {
		view.pools[key] = append(view.pools[key], member)
		if target.Cheap {
			continue
		}
		key.repeatable = false
		view.pools[key] = append(view.pools[key], member)
	}
}

// keysOf returns the pools of a target for repeatable requests.
func keysOf(target *note.Target) []poolKey {
	if target.Kind == note.KindService {
		return []poolKey{{service: target.Service, repeatable: true}}
	}
	var keys []poolKey
	for _, model := range target.Models {
		for _, role := range rolesOf(target.Role) {
			keys = append(keys, poolKey{model: model, role: role, repeatable: true})
		}
	}
	return keys
}

func rolesOf(role note.Role) []note.Role {
	if role == "" || role == note.RoleMixed {
		return []note.Role{note.RoleMixed, note.RolePrefill, note.RoleDecode}
	}
	return []note.Role{role}
}
