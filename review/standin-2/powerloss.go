package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// powerLossAndDrill: runners with a newer software version have just joined, beside those
// of the earlier one, when all instances lose power and the store comes back from a copy.
// Consumers take their streams up as soon as an instance is in rotation again.
func powerLossAndDrill(s *site, trouble bool) bool {
	s.store.put("op", "config", manifest(3))
	for n := range 2 {
		s.addRunner(&runner{id: fmt.Sprint("i-prefill-", n), service: "llm", stage: "prefill", zone: s.zones[n], slots: 64, version: "v1", serve: serveEngine})
		s.addRunner(&runner{id: fmt.Sprint("i-decode-", n), service: "llm", stage: "decode", zone: s.zones[n], slots: 64, version: "v1", serve: serveEngine})
	}
	for range 3 {
		s.addInstance()
	}
	s.awaitReady()
	var mutex sync.Mutex
	var results []streamResult
	var streams sync.WaitGroup
	consume := func(n int) {
		i := s.instances[n%len(s.instances)]
		began := time.Now()
		result := s.readStream(i, "/ask/x", newAttempt(), nil)
		s.log("consumer got of %s at %s: status %d, %d events, complete %v", result.attempt, i.name, result.status, len(result.ids), result.complete)
		if len(result.ids) > 0 && !result.complete {
			result = s.takeUp(result, n, began)
		}
		mutex.Lock()
		defer mutex.Unlock()
		results = append(results, result)
	}
	begin := func(count int, pause time.Duration) {
		for n := range count {
			time.Sleep(pause)
			streams.Go(func() { consume(n) })
		}
	}
	begin(60, 200*time.Millisecond) // 12 s of calm
	time.Sleep(4 * time.Second)
	s.log("the system's row of versions: %s", s.store.value("stream-versions"))
	copied := s.store.copy()
	s.log("copy of the store is taken")
	start := time.Now()
	for n := range 2 {
		s.addRunner(&runner{id: fmt.Sprint("i-newer-", n), service: "llm", stage: "decode", zone: s.zones[n], slots: 64, version: "v2", serve: serveEngine})
	}
	begin(32, 70*time.Millisecond)
	sleepUntil(start.Add(2500 * time.Millisecond))
	if trouble {
		s.log("all instances lose power; the store goes away")
		s.store.setAway(true)
		for _, i := range s.instances {
			i.signal(syscall.SIGKILL)
		}
		for _, i := range s.instances {
			<-i.exited
			i.writeSettings(false)
			i.run()
		}
		sleepUntil(start.Add(3700 * time.Millisecond))
		s.store.restore(copied)
		s.log("the store is back from the copy, in era 2")
	}
	streams.Wait()
	mixed := 0
	for _, result := range results {
		if result.mixed() {
			mixed++
			s.log("ORDER: stream of attempt %s has events of %s", result.attempt, strings.Join(result.versions, " "))
		}
	}
	s.log("%d streams, %d with events of two versions", len(results), mixed)
	return mixed <= 2
}

// takeUp takes a stream up as soon as an instance is in rotation and the consumer has time
// left. After a refusal the consumer tries again, three times in all.
func (s *site) takeUp(result streamResult, n int, began time.Time) streamResult {
	const maxTries = 3
	tries := 0
	for time.Since(began) < 7*time.Second && tries < maxTries {
		for k := range s.instances {
			i := s.instances[(n+k)%len(s.instances)]
			if !i.ready() {
				continue
			}
			last := result.ids[len(result.ids)-1]
			again := newAttempt()
			rest := s.readStream(i, "/ask/x", again, map[string]string{"Last-Event-Id": strconv.Itoa(last), "Resumes": result.attempt})
			s.log("stream of %s broke off after event %d (software %s); taken up as %s at %s: status %d, %d events %v", result.attempt, last,
				result.versions[len(result.versions)-1], again, i.name, rest.status, len(rest.ids), rest.versions)
			if len(rest.ids) > 0 {
				result.versions = append(result.versions, rest.versions...)
				result.ids = append(result.ids, rest.ids...)
				return result
			}
			tries++
			time.Sleep(250 * time.Millisecond)
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return result
}
