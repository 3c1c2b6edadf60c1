package gossip

import (
	"slices"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	suspectsHeldMax = 256
	suspectMaxAge   = time.Hour
)

// Suspect is a request under which targets were lost.
type Suspect struct {
	Fingerprint string   // at most 32 bytes
	Targets     []string // distinct targets lost under it, at most 8
	Expires     time.Time
}

type suspect struct {
	Suspect
	sends int // how often it is still to be passed on
}

// PublishSuspect adds to what the instances know of a suspect and tells them
// soon. Targets add up over the instances that lost some under it.
func (members *Members) PublishSuspect(news Suspect) {
	members.mu.Lock()
	members.mergeSuspect(news)
	members.mu.Unlock()
	members.hurry()
}

// Suspects returns the suspects that have not expired, in no order.
func (members *Members) Suspects() []Suspect {
	members.mu.Lock()
	defer members.mu.Unlock()
	var suspects []Suspect
	for _, known := range members.suspects {
		if time.Now().Before(known.Expires) {
			suspects = append(suspects, known.Suspect)
		}
	}
	return suspects
}

// mergeSuspect returns the union of what was known and news, and whether news
// added to it. Only news that adds a target renews the expiry, so that no
// suspect lives on by being passed around. It needs mu.
func (members *Members) mergeSuspect(news Suspect) (Suspect, bool) {
	known := members.suspects[news.Fingerprint]
	if known == nil && len(members.suspects) >= suspectsHeldMax {
		return Suspect{}, false
	}
	var targets []string
	if known != nil {
		targets = known.Targets
	}
	union := unionOf(targets, news.Targets)
	if known != nil && len(union) == len(targets) {
		return Suspect{}, false
	}
	merged := Suspect{Fingerprint: news.Fingerprint, Targets: union, Expires: news.Expires}
	if known != nil && known.Expires.After(merged.Expires) {
		merged.Expires = known.Expires
	}
	members.suspects[news.Fingerprint] = &suspect{Suspect: merged, sends: 2 * members.spread()}
	return merged, true
}

func unionOf(a, b []string) []string {
	union := slices.Concat(a, b)
	slices.Sort(union)
	union = slices.Compact(union)
	return union[:min(len(union), suspectTargetsMax)]
}

func (suspect *suspect) message() *peerpb.Suspect {
	return &peerpb.Suspect{
		Fingerprint: []byte(suspect.Fingerprint),
		Targets:     suspect.Targets,
		ExpiresMs:   uint32(min(time.Until(suspect.Expires), suspectMaxAge).Milliseconds()),
	}
}
