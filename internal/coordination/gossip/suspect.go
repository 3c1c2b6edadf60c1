package gossip

import (
	"slices"
	"time"

	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	maxStoredSuspects = 256
	maxSuspectAge     = time.Hour
)

// Suspect is a request during which targets crashed.
type Suspect struct {
	Fingerprint    string   // at most 32 bytes
	CrashedTargets []string // distinct targets that crashed during it, at most 8
	ExpiresAt      time.Time
}

type suspect struct {
	Suspect
	sendsLeft int // how many times it is still to be forwarded
}

// PublishSuspect merges a suspect into the known ones and starts a round. The
// targets that different instances report for a request are merged.
func (members *Members) PublishSuspect(update Suspect) {
	members.mu.Lock()
	members.mergeSuspect(update)
	members.mu.Unlock()
	members.triggerRound()
}

// Suspects returns the suspects that have not expired, in no particular order.
func (members *Members) Suspects() []Suspect {
	members.mu.Lock()
	defer members.mu.Unlock()
	var suspects []Suspect
	for _, known := range members.suspects {
		if time.Now().Before(known.ExpiresAt) {
			suspects = append(suspects, known.Suspect)
		}
	}
	return suspects
}

// mergeSuspect merges update into the known suspect. It returns the result and
// whether update added a target. Only then is the expiry extended, so that
// forwarding alone does not keep a suspect alive. The caller holds mu.
func (members *Members) mergeSuspect(update Suspect) (Suspect, bool) {
	known := members.suspects[update.Fingerprint]
	if known == nil && len(members.suspects) >= maxStoredSuspects {
		return Suspect{}, false
	}
	var targets []string
	if known != nil {
		targets = known.CrashedTargets
	}
	union := unionTargets(targets, update.CrashedTargets)
	if known != nil && len(union) == len(targets) {
		return Suspect{}, false
	}
	merged := Suspect{Fingerprint: update.Fingerprint, CrashedTargets: union, ExpiresAt: update.ExpiresAt}
	if known != nil && known.ExpiresAt.After(merged.ExpiresAt) {
		merged.ExpiresAt = known.ExpiresAt
	}
	members.suspects[update.Fingerprint] = &suspect{Suspect: merged, sendsLeft: 2 * members.sendsPerUpdate()}
	return merged, true
}

func unionTargets(a, b []string) []string {
	union := slices.Concat(a, b)
	slices.Sort(union)
	union = slices.Compact(union)
	return union[:min(len(union), maxSuspectTargets)]
}

func (suspect *suspect) message() *peerpb.Suspect {
	return &peerpb.Suspect{
		Fingerprint: []byte(suspect.Fingerprint),
		Targets:     suspect.CrashedTargets,
		ExpiresMs:   uint32(min(time.Until(suspect.ExpiresAt), maxSuspectAge).Milliseconds()),
	}
}
