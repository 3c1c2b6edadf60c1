package node_test

import (
	"time"
)

const (
	// soakLimit is the limit that a target names, in requests a second.
	soakLimit = 2.0
	// In any limitSpan, from contactTime after it named its limit, a target may get
	// limitSlack times the limit and limitExtra requests more.
	limitSpan  = 4 * time.Second
	limitSlack = 1.5
	limitExtra = 5
)

// nameLimit has a target of the plain service name a limit while callers go on and no
// instance is disturbed, and checks what it gets.
func (soak *soak) nameLimit() {
	target := soak.targets.newestOf("desk")
	soak.targets.limited.Store(&target)
	from := time.Now().Add(contactTime)
	time.Sleep(contactTime + limitSpan + limitSpan/4)
	soak.targets.checkLimit(target, from)
	none := ""
	soak.targets.limited.Store(&none)
	time.Sleep(contactTime / 3) // the instances learn that from answers without a limit
}

// newestOf returns the ID of the target of a service that started last.
func (targets *soakTargets) newestOf(service string) string {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	return targets.newest[service]
}

// checkLimit checks the requests that a target got from a moment on.
func (targets *soakTargets) checkLimit(target string, from time.Time) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	var arrivals []time.Time
	for _, arrival := range targets.arrivals {
		if arrival.target == target && arrival.at.After(from) {
			arrivals = append(arrivals, arrival.at)
		}
	}
	most := 0
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitSpan {
				count++
			}
		}
		most = max(most, count)
	}
	allowed := int(limitSlack*soakLimit*limitSpan.Seconds() + limitExtra)
	targets.t.Logf("target %s named a limit of %g a second and got up to %d requests in %v", target, soakLimit, most, limitSpan)
	if most > allowed || most == 0 {
		targets.t.Errorf("requests at a target that names a limit in %v = %d, want at most %d and more than 0", limitSpan, most, allowed)
	}
}
