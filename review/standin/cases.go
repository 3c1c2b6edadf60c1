package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// traffic sends requests at a steady rate to all instances in turn until stop, and passes
// each result on.
type traffic struct {
	world  *world
	done   chan struct{}
	active sync.WaitGroup
}

// startTraffic sends a request each interval. Next returns the call to make.
func (world *world) startTraffic(interval time.Duration, next func(instance *instance) call, handle func(call call, result result)) *traffic {
	traffic := &traffic{world: world, done: make(chan struct{})}
	traffic.active.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-traffic.done:
				return
			case <-ticker.C:
			}
			call := next(world.fleet.instances[i%len(world.fleet.instances)])
			traffic.active.Go(func() { handle(call, world.callers.send(call)) })
		}
	})
	return traffic
}

func (traffic *traffic) stop() {
	close(traffic.done)
	traffic.active.Wait()
}

// findings collects what breaks a rule.
type findings struct {
	mutex sync.Mutex
	texts []string
}

func (findings *findings) addf(format string, arguments ...any) {
	findings.mutex.Lock()
	defer findings.mutex.Unlock()
	findings.texts = append(findings.texts, fmt.Sprintf(format, arguments...))
}

func booking(instance *instance) call {
	return call{
		instance: instance, method: http.MethodPost, path: "/book/dip", host: host, key: key, timeout: time.Second,
		body: "two swimmers, Saturday",
	}
}

func reading(instance *instance) call {
	return call{instance: instance, method: http.MethodGet, path: "/conditions/cove", host: host, key: key, timeout: time.Second}
}

// bookOrRead returns one of the two kinds of call.
func bookOrRead(instance *instance) call {
	if rand.IntN(2) == 0 {
		return booking(instance)
	}
	return reading(instance)
}

// checkMixed judges the rule MIXED for one answer: a success needs the signature and the
// whole body of a run that succeeded, and a signed failure the status of its run.
func (world *world) checkMixed(findings *findings, call call, result result) {
	if result.status == 0 {
		return
	}
	var signed *run
	done := world.runs.of(result.attempt)
	for i := range done {
		if done[i].signature == result.signature {
			signed = &done[i]
		}
	}
	success := result.status >= 200 && result.status < 300
	switch {
	case success && signed == nil:
		findings.addf("%s %s (%s): status %d without the signature of a run", call.method, call.path, result.attempt, result.status)
	case success && signed.status >= 300:
		findings.addf("%s %s (%s): the caller got status %d, runner %s had answered with the failure %d: %q",
			call.method, call.path, result.attempt, result.status, signed.runner, signed.status, signed.body)
	case success && signed.body != result.body:
		findings.addf("%s %s (%s): the body is not that of runner %s", call.method, call.path, result.attempt, signed.runner)
	case !success && signed != nil && signed.status != result.status:
		findings.addf("%s %s (%s): the caller got status %d, runner %s gave %d", call.method, call.path, result.attempt, result.status, signed.runner, signed.status)
	}
}

// Figures of the trouble "srv_grey" in sites/tidewater-guides.toml.
const (
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.45
	// greyRunners is the number of runners, one of which fails: that is a share of 0.143.
	greyRunners = 7
	// failureStatus is a status of class 5xx that no standard registers. Gateways use it
	// for an error of unknown cause.
	failureStatus = 520
)

// playStatus has one of seven runners fail a part of its requests with a status that is not
// registered, while its health check is good.
func playStatus(world *world) ([]string, error) {
	if err := world.openPlatform(); err != nil {
		return nil, err
	}
	var grey atomic.Bool
	err := world.addRunners("bookings-api", greyRunners, func(index int, _ string) int {
		if index == 0 && grey.Load() && rand.Float64() < greyShare {
			return failureStatus
		}
		return http.StatusOK
	})
	if err != nil {
		return nil, err
	}
	_, err = world.publish(manifest(7, []string{"bookings-api"},
		route("r-book", "/book/", "unsafe", "bookings-api"), route("r-read", "/conditions/", "safe", "bookings-api")))
	if err != nil {
		return nil, err
	}
	if err := world.startFleet(); err != nil {
		return nil, err
	}
	findings := &findings{}
	traffic := world.startTraffic(40*time.Millisecond, bookOrRead, func(call call, result result) { world.checkMixed(findings, call, result) })
	time.Sleep(4 * time.Second)
	if world.trouble {
		grey.Store(true)
		world.record.sayf("trouble  runner %s fails %.0f in 100 of its requests with status %d", world.runners[0].id, 100*greyShare, failureStatus)
	}
	time.Sleep(greyTime)
	if world.trouble {
		world.record.sayf("trouble  ends")
	}
	grey.Store(false)
	time.Sleep(3 * time.Second)
	traffic.stop()
	return findings.texts, nil
}

// Times of the drill: the store is away for awayTime and comes back from a copy that was
// made copyAge before it went.
const (
	awayTime = time.Second
	copyAge  = 7 * time.Second
)

// drill takes the store away and brings it back from a copy that is copyAge old. Without
// trouble it only waits as long.
func (world *world) drill(copied storeState) {
	if !world.trouble {
		time.Sleep(awayTime)
		return
	}
	before := world.store.version()
	world.store.goAway()
	world.record.sayf("trouble  the store is away, at version %d", before)
	time.Sleep(awayTime)
	world.store.comeBack(&copied)
	world.record.sayf("trouble  the store is back from a copy of version %d, and at version %d", copied.version, world.store.version())
}

// Bounds of sites/tidewater-guides.toml.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
)

// seenTime is more than an instance needs to see a change of the manifest.
const seenTime = 600 * time.Millisecond

// readingWith returns a read with another key.
func readingWith(instance *instance, key string) call {
	call := reading(instance)
	call.key = key
	return call
}

// playManifest changes the manifest after a drill: the second change moves the route of the
// bookings to another service and takes the key away with which the reads are sent.
func playManifest(world *world) ([]string, error) {
	if err := world.openPlatform(); err != nil {
		return nil, err
	}
	services := []string{"bookings-api", "bookings-two"}
	for _, service := range services {
		if err := world.addRunners(service, len(zones), nil); err != nil {
			return nil, err
		}
	}
	book, read := route("r-book", "/book/", "unsafe", "bookings-api"), route("r-read", "/conditions/", "safe", "bookings-api")
	if _, err := world.publish(manifest(7, services, book, read)); err != nil {
		return nil, err
	}
	if err := world.startFleet(); err != nil {
		return nil, err
	}
	var changedAt atomic.Pointer[time.Time] // when the second change was confirmed
	findings := &findings{}
	next := func(instance *instance) call {
		if rand.IntN(2) == 0 {
			return booking(instance)
		}
		return readingWith(instance, otherKey)
	}
	traffic := world.startTraffic(40*time.Millisecond, next, func(call call, result result) {
		confirmed := changedAt.Load()
		if confirmed == nil || result.sentAt.Before(confirmed.Add(configApplyTime)) {
			return
		}
		for _, done := range world.runs.of(result.attempt) {
			age := result.sentAt.Sub(*confirmed).Seconds()
			switch {
			case call.key == otherKey:
				findings.addf("%s %s (%s), sent to %s %.1f s after its key was taken away: run by %s, the caller got status %d",
					call.method, call.path, result.attempt, call.instance.name, age, done.runner, result.status)
			case done.service != "bookings-two":
				findings.addf("%s %s (%s), sent to %s %.1f s after its route was moved: run by %s of the service before, %s",
					call.method, call.path, result.attempt, call.instance.name, age, done.runner, done.service)
			}
		}
	})
	time.Sleep(6 * time.Second)
	copied := world.store.copy()
	time.Sleep(copyAge - seenTime)
	timeout := route("r-read", "/conditions/", "safe", "bookings-api")
	timeout["TimeoutMs"] = 900
	if _, err := world.publish(manifest(9, services, book, timeout)); err != nil {
		return nil, err
	}
	time.Sleep(seenTime)
	world.drill(copied)
	time.Sleep(contactTime + 500*time.Millisecond)
	moved := route("r-book", "/book/", "unsafe", "bookings-two")
	changed := manifest(12, services, moved, timeout)
	changed["Tenants"] = []map[string]any{
		{"Name": team, "ApiKeys": []string{key}, "Priority": 1},
		{"Name": otherTeam, "ApiKeys": []string{}, "Priority": 1},
	}
	confirmed, err := world.publish(changed)
	if err != nil {
		return nil, err
	}
	changedAt.Store(&confirmed)
	time.Sleep(15 * time.Second)
	traffic.stop()
	return findings.texts, nil
}

// firstCopyAge is the age of the copy in a drill soon after the first start.
const firstCopyAge = 5 * time.Second

// playToken has a drill soon after the first start of the system. The copy is older than
// the first lease.
func playToken(world *world) ([]string, error) {
	if err := world.openPlatform(); err != nil {
		return nil, err
	}
	if err := world.addRunners("bookings-api", len(zones), nil); err != nil {
		return nil, err
	}
	_, err := world.publish(manifest(7, []string{"bookings-api"},
		route("r-book", "/book/", "unsafe", "bookings-api"), route("r-read", "/conditions/", "safe", "bookings-api")))
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	copied, copiedAt := world.store.copy(), time.Now()
	if err := world.startFleet(); err != nil {
		return nil, err
	}
	traffic := world.startTraffic(40*time.Millisecond, bookOrRead, func(call, result) {})
	time.Sleep(firstCopyAge - time.Since(copiedAt))
	awayAt := time.Now()
	world.drill(copied)
	stableAt := time.Now().Add(contactTime)
	time.Sleep(20 * time.Second)
	traffic.stop()
	return checkTokens(world.cloud.accepted(), awayAt, stableAt), nil
}

// checkTokens judges the rule ONE: no two holders send the same fencing token for the same
// duty and subject. Calls between two times, when the platform is or just was in disruption,
// are left out.
func checkTokens(calls []dutyCall, from, to time.Time) []string {
	findings := &findings{}
	type grant struct {
		duty, subject string
		token         uint64
	}
	first := map[grant]dutyCall{}
	told := map[string]bool{}
	for _, call := range calls {
		if call.at.After(from) && call.at.Before(to) {
			continue
		}
		grant := grant{call.duty, call.subject, call.token}
		before, ok := first[grant]
		if !ok {
			first[grant] = call
			continue
		}
		if before.holder != call.holder && !told[call.holder] {
			told[call.holder] = true
			findings.addf("duty %s, %s: %s sent the fencing token %d (%s), and %s sent the same token %.1f s later (%s)",
				call.duty, call.subject, before.holder, call.token, before.body, call.holder, call.at.Sub(before.at).Seconds(), call.body)
		}
	}
	return findings.texts
}

// Figures of the trouble "config_storm" in sites/tidewater-guides.toml.
const (
	stormTime = 4 * time.Second
	stormGap  = 330 * time.Millisecond
)

// playSilence has the open channels to the store go silent while manifests come in quick
// succession. The first one after that takes a key away.
func playSilence(world *world) ([]string, error) {
	if err := world.openPlatform(); err != nil {
		return nil, err
	}
	if err := world.addRunners("bookings-api", len(zones), nil); err != nil {
		return nil, err
	}
	services := []string{"bookings-api"}
	book, read := route("r-book", "/book/", "unsafe", "bookings-api"), route("r-read", "/conditions/", "safe", "bookings-api")
	if _, err := world.publish(manifest(7, services, book, read)); err != nil {
		return nil, err
	}
	if err := world.startFleet(); err != nil {
		return nil, err
	}
	var takenAt, touchAt atomic.Pointer[time.Time] // when the key was taken away, and from when the instances are in touch
	findings := &findings{}
	next := func(instance *instance) call { return readingWith(instance, otherKey) }
	traffic := world.startTraffic(20*time.Millisecond, next, func(call call, result result) {
		taken, touch := takenAt.Load(), touchAt.Load()
		if taken == nil || touch == nil || result.sentAt.Before(taken.Add(configApplyTime)) || result.sentAt.Before(*touch) {
			return
		}
		for _, done := range world.runs.of(result.attempt) {
			findings.addf("%s %s (%s), sent to %s %.2f s after its key was taken away: run by %s, the caller got status %d",
				call.method, call.path, result.attempt, call.instance.name, result.sentAt.Sub(*taken).Seconds(), done.runner, result.status)
		}
	})
	time.Sleep(8 * time.Second)
	silentAt := time.Now().Add(time.Second + stormGap/2)
	silent := false
	for version, end := int64(10), time.Now().Add(stormTime); time.Now().Before(end); version += 3 {
		read["TimeoutMs"] = 900 + version%2
		changed := manifest(version, services, book, read)
		if silent {
			changed["Tenants"] = []map[string]any{{"Name": team, "ApiKeys": []string{key}, "Priority": 1}, {"Name": otherTeam, "ApiKeys": []string{}, "Priority": 1}}
		}
		confirmed, err := world.publish(changed)
		if err != nil {
			return nil, err
		}
		if silent && takenAt.Load() == nil {
			takenAt.Store(&confirmed)
		}
		if !silent && time.Until(silentAt) < stormGap {
			time.Sleep(time.Until(silentAt))
			silent = true
			touch := silentAt.Add(contactTime)
			touchAt.Store(&touch)
			if world.trouble {
				world.store.silence()
				world.record.sayf("trouble  the open channels to the store are silent")
			}
		}
		time.Sleep(time.Until(confirmed.Add(stormGap)))
	}
	time.Sleep(6 * time.Second)
	traffic.stop()
	return findings.texts, nil
}
