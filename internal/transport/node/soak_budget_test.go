package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	soakRetryRatio   = 0.2
	soakRetryWindow  = 10 * time.Second
	soakExtraRetries = 20
	soakMaxAttempts  = 2
	// maxExceeding is how many attempts may run at more targets than their route
	// allows.
	maxExceeding = 3
	// maxInPause is how many requests one instance may send to a target in a pause,
	// from half a second after the target asked for it.
	maxInPause = 2
	pauseSlack = 500 * time.Millisecond
	// maxLate is how many attempts may hand on more time than is left, within
	// lateSlack.
	maxLate   = 20
	lateSlack = 500 * time.Millisecond
	// maxCrashingRetries is how often a request may be retried after targets have
	// crashed under it crashThreshold times.
	maxCrashingRetries = 3
	crashThreshold     = 3
	// partCrashThreshold is the number of crashes after which prompts with a part that
	// crashes engines may reach them maxCrashingRetries times more.
	partCrashThreshold = 5
	deadlyPart         = "dead"
	// maxAfterLeave is how many requests may reach targets later than leaveSlack after
	// their callers have left.
	maxAfterLeave = 5
	leaveSlack    = 500 * time.Millisecond
)

// askForPauses has targets ask for pauses while callers go on and no instance is
// disturbed.
func (soak *soak) askForPauses() {
	time.Sleep(soakRestartTime)
	soak.targets.fault.Store(4)
	time.Sleep(soakPause / 4)
	soak.targets.fault.Store(0)
	time.Sleep(soakPause)
}

// sendToSilentTargets sends streams while targets withhold responses, so that many are
// repeated late. Some callers leave before that.
func (soak *soak) sendToSilentTargets() {
	const count = 120
	soak.targets.fault.Store(3)
	defer soak.targets.fault.Store(0)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { soak.send(soak.instances[i%len(soak.instances)], "/resume/", fmt.Sprint("silent-", i)) })
		group.Go(func() {
			soak.leave(soak.instances[i%len(soak.instances)], "/resume/", fmt.Sprint("left-", i), soakDeadline/3)
		})
	}
	group.Wait()
}

// sendCrashingRequests sends a request that crashes its targets to all instances by
// turns, while there are no other faults.
func (soak *soak) sendCrashingRequests() {
	time.Sleep(contactTime) // the instances know each other again
	before := soak.targets.crashCount()
	for i := range 4 * soakInstances {
		instance := soak.instances[i%len(soak.instances)]
		if status, _ := soak.sendBody(instance, "/read/", fmt.Sprint("crash-", i), crashingBody); status == http.StatusOK {
			soak.t.Errorf("status of a request that crashes its targets = 200")
		}
		time.Sleep(soakRestartTime / 2)
	}
	if count := soak.targets.crashCount() - before; count > crashThreshold+maxCrashingRetries {
		soak.t.Errorf("targets that crashed under one request = %d, want at most %d", count, crashThreshold+maxCrashingRetries)
	}
}

// sendDeadlyPrompts sends prompts, no two alike, with a part that crashes the engines
// that decode it to all instances by turns, and two sound ones after each, which share
// their first part with it.
func (soak *soak) sendDeadlyPrompts() {
	time.Sleep(contactTime)
	before := soak.targets.crashCount()
	const rounds = 4 * soakInstances
	sound, answered := 0, 0 // in the second half
	for i := range rounds {
		soak.sendPrompt(soak.t.Context(), soak.instances[i%len(soak.instances)], "/resume/", fmt.Sprint("deadly-", i), fmt.Sprint("deadly-", i), fmt.Sprintf("f1:800,%s:165,%x:250", deadlyPart, 4096+i))
		time.Sleep(soakRestartTime / 2)
		for j := 1; j < soakInstances; j++ {
			id := fmt.Sprintf("sound-%d-%d", i, j)
			status, _ := soak.sendPrompt(soak.t.Context(), soak.instances[(i+j)%len(soak.instances)], "/resume/", id, id, fmt.Sprintf("f1:800,%x:165,%x:250", 8192+i%2, 16384+2*i+j))
			if i < rounds/2 {
				continue
			}
			sound++
			if status == http.StatusOK {
				answered++
			}
		}
	}
	if count := soak.targets.crashCount() - before; count > partCrashThreshold+maxCrashingRetries {
		soak.t.Errorf("engines that crashed under one part of prompts = %d, want at most %d", count, partCrashThreshold+maxCrashingRetries)
	}
	if 2*answered < sound {
		soak.t.Errorf("sound prompts beside deadly ones that were answered = %d of %d, want at least half", answered, sound)
	}
}

// checkBudget checks what targets saw against the rules on repeats. It leaves out the
// requests that crash targets, which have a rule of their own.
func (targets *soakTargets) checkBudget() {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	attempts := map[string][]soakArrival{}
	for _, arrival := range targets.arrivals {
		if !arrival.crashing && !strings.HasPrefix(arrival.attempt, "probe") {
			attempts[arrival.attempt] = append(attempts[arrival.attempt], arrival)
		}
	}
	targets.checkRuns(attempts)
	targets.checkDeadlines(attempts)
	targets.checkPauses()
	for _, service := range []string{"desk", "llm"} {
		targets.checkRepeats(service, attempts)
	}
}

// checkLeft checks that requests reach no targets after their callers have left.
func (targets *soakTargets) checkLeft() {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	late, left := 0, 0
	for _, request := range targets.requests {
		if !request.leftAt.IsZero() {
			left++
		}
	}
	for _, arrival := range targets.arrivals {
		request := targets.requests[arrival.attempt]
		if !request.leftAt.IsZero() && arrival.at.Sub(request.leftAt) > leaveSlack && !targets.isExcused(request.instance, request.leftAt.Add(-leaveSlack), arrival.at) {
			late++
		}
	}
	targets.t.Logf("%d callers left, %d of their requests reached a target %v or more after that", left, late, leaveSlack)
	if late > maxAfterLeave {
		targets.t.Errorf("requests that reached targets %v or more after their callers had left = %d of %d, want at most %d", leaveSlack, late, left, maxAfterLeave)
	}
}

// checkRuns checks that attempts run at no more targets than their routes allow.
func (targets *soakTargets) checkRuns(attempts map[string][]soakArrival) {
	exceeding := 0
	for _, arrivals := range attempts {
		ranAt := map[string]bool{}
		for _, arrival := range arrivals {
			if arrival.run {
				ranAt[arrival.target] = true
			}
		}
		if len(ranAt) > soakMaxAttempts {
			exceeding++
		}
	}
	if exceeding > maxExceeding {
		targets.t.Errorf("attempts that ran at more than %d targets = %d, want at most %d", soakMaxAttempts, exceeding, maxExceeding)
	}
}

// checkDeadlines checks that targets are told no more time than the caller has left.
func (targets *soakTargets) checkDeadlines(attempts map[string][]soakArrival) {
	late, repeated := 0, 0
	for _, arrivals := range attempts {
		first := arrivals[0]
		isLate := false
		for _, arrival := range arrivals {
			isLate = isLate || arrival.deadline == 0 || arrival.deadline > soakDeadline+lateSlack
			if arrival.at.Sub(first.at) > lateSlack {
				repeated++
				isLate = isLate || arrival.at.Add(arrival.deadline).After(first.at.Add(first.deadline+lateSlack))
			}
		}
		if isLate {
			late++
		}
	}
	targets.t.Logf("%d attempts were repeated after %v or more, %d were handed on with more time than was left", repeated, lateSlack, late)
	if late > maxLate && 5*late > repeated {
		targets.t.Errorf("attempts handed on with more time than was left = %d of %d that were repeated late, want at most %d or a fifth", late, repeated, maxLate)
	}
}

// checkPauses checks that targets are left alone for the pauses that they ask for. It takes
// the instance that a caller asked for the one that sent the request on, which a forwarded
// request is not. Links do not tell it either: an instance that has read the list of targets
// from another one uses that one's links.
func (targets *soakTargets) checkPauses() {
	for _, pause := range targets.pauses {
		if targets.isExcused(pause.instance, pause.at.Add(-soakRestartTime), pause.at.Add(soakPause)) {
			continue
		}
		if !targets.requests[pause.attempt].leftAt.IsZero() { // the connection may have been closed before the answer
			continue
		}
		count := 0
		for _, arrival := range targets.arrivals {
			age := arrival.at.Sub(pause.at)
			if arrival.target == pause.target && arrival.instance == pause.instance && age > pauseSlack && age < soakPause {
				count++
			}
		}
		if count > maxInPause {
			targets.t.Errorf("requests of %s at target %s in the pause that it asked for = %d, want at most %d", pause.instance, pause.target, count, maxInPause)
			targets.logPause(pause)
			return
		}
	}
}

// logPause logs what reached a target in a pause, and by whose links.
func (targets *soakTargets) logPause(pause soakPauseAsked) {
	targets.t.Logf("pause answered by a link of %s", pause.sender)
	for _, arrival := range targets.arrivals {
		age := arrival.at.Sub(pause.at)
		if arrival.target == pause.target && arrival.instance == pause.instance && age >= 0 && age < soakPause {
			targets.t.Logf("request %s by a link of %s, %v after the pause was asked for", arrival.attempt, arrival.sender, age)
		}
	}
}

// checkRepeats checks the arrivals beyond the first of each attempt in each window. The
// first prefill that a target accepts is no arrival.
func (targets *soakTargets) checkRepeats(service string, attempts map[string][]soakArrival) {
	var repeats []time.Time
	for _, arrivals := range attempts {
		count, prefilled := 0, false
		for _, arrival := range arrivals {
			if arrival.service != service {
				continue
			}
			if arrival.prefilled && !prefilled {
				prefilled = true
				continue
			}
			if count++; count > 1 {
				repeats = append(repeats, arrival.at)
			}
		}
	}
	for _, end := range repeats {
		start := end.Add(-soakRetryWindow)
		count := 0
		for _, at := range repeats {
			if at.After(start) && !at.After(end) {
				count++
			}
		}
		most := 0
		for _, shift := range []time.Duration{0, soakRetryWindow / 2, soakRetryWindow} {
			most = max(most, targets.requestCount(service, start.Add(-shift), end.Add(-shift)))
		}
		if allowed := soakRetryRatio*float64(most) + soakExtraRetries; float64(count) > allowed {
			targets.t.Errorf("repeats at %s in %v = %d of %d requests, want at most %.0f", service, soakRetryWindow, count, most, allowed)
			return
		}
	}
}

func (targets *soakTargets) requestCount(service string, after, until time.Time) int {
	count := 0
	for _, request := range targets.requests {
		if request.service == service && request.at.After(after) && !request.at.After(until) {
			count++
		}
	}
	return count
}
