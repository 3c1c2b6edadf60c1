package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	captionEvents = 7 // tokens of a short answer
	captionStep   = 5 * time.Millisecond
)

// serveCaptions is a model runner with short answers.
func serveCaptions(r *runner, w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if request.Header.Get("Serving-Stage") == "prefill" {
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"KvHandle":"%x","Tokens":1460,"Version":1}`, rand.Uint64())
		return
	}
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for event := first + 1; event <= captionEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, r.version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(captionStep):
		}
	}
}

// takeUpAfterKill: single instances are killed while runners of two software versions
// serve; consumers take their streams up at instances in touch.
func takeUpAfterKill(s *site, trouble bool) bool {
	const (
		contact   = 3 * time.Second // ContactMs
		killPause = 4 * time.Second
		perSecond = 60 // new streams at each instance
	)
	length := 60 * time.Second
	if n, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = time.Duration(n) * time.Second
	}
	s.store.put("op", "config", manifest(3))
	for n := range 20 {
		s.addRunner(&runner{id: fmt.Sprint("i-prefill-", n), service: "llm", stage: "prefill", zone: s.zones[n%3], slots: 64, version: "v1", serve: serveCaptions})
	}
	for n := range 4 {
		s.addRunner(&runner{id: fmt.Sprint("i-decode-", n), service: "llm", stage: "decode", zone: s.zones[n%3], slots: 64, version: fmt.Sprint("v", 1+n%2), serve: serveCaptions})
	}
	for range 6 {
		s.addInstance()
	}
	s.awaitReady()
	time.Sleep(12 * time.Second) // the versions in service are known

	disturbed := make([]atomic.Int64, len(s.instances)) // when an instance was last killed or started
	inTouch := func(n int) bool { return time.Since(time.Unix(0, disturbed[n].Load())) > contact+100*time.Millisecond }
	var asked, begun, takenUp, wentOn atomic.Int64
	var streams, loops sync.WaitGroup
	stop := time.Now().Add(length)
	consume := func(n int) {
		attempt := newAttempt()
		touched := inTouch(n)
		result := s.readStream(s.instances[n], "/ask/x", attempt, nil)
		if touched && (inTouch(n) || len(result.ids) > 0) {
			asked.Add(1)
			if len(result.ids) > 0 {
				begun.Add(1)
			}
		}
		if len(result.ids) == 0 || len(result.ids) == captionEvents {
			return
		}
		others := []int{}
		for other := range s.instances {
			if other != n && inTouch(other) {
				others = append(others, other)
			}
		}
		if len(others) == 0 {
			return
		}
		other := others[rand.IntN(len(others))]
		last := result.ids[len(result.ids)-1]
		again := newAttempt()
		rest := s.readStream(s.instances[other], "/ask/x", again, map[string]string{"Last-Event-Id": strconv.Itoa(last), "Resumes": attempt})
		takenUp.Add(1)
		if len(rest.ids) > 0 {
			wentOn.Add(1)
		}
		s.log("stream %s of %s (software %s) broke off after event %d; taken up as %s at %s: status %d, events %v", attempt, s.instances[n].name,
			result.versions[0], last, again, s.instances[other].name, rest.status, rest.ids)
	}
	for n := range s.instances {
		loops.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
				if !s.instances[n].ended.Load() {
					streams.Go(func() { consume(n) })
				}
			}
		})
	}
	for n := 0; trouble && time.Now().Add(killPause).Before(stop); n = (n + 1) % len(s.instances) {
		time.Sleep(killPause)
		disturbed[n].Store(time.Now().UnixNano())
		s.instances[n].signal(syscall.SIGKILL)
		<-s.instances[n].exited
		time.Sleep(500 * time.Millisecond)
		s.instances[n].writeSettings(false)
		s.instances[n].run()
		disturbed[n].Store(time.Now().UnixNano())
	}
	loops.Wait()
	streams.Wait()
	newShare, takenShare := float64(begun.Load())/max(1, float64(asked.Load())), float64(wentOn.Load())/max(1, float64(takenUp.Load()))
	s.log("new streams at instances in touch: %d asked for, %d began (%.3f); streams taken up there: %d, %d went on (%.3f)",
		asked.Load(), begun.Load(), newShare, takenUp.Load(), wentOn.Load(), takenShare)
	broken := takenUp.Load() >= 12 && takenShare < newShare/2
	if broken {
		s.log("LOST: of %d streams that were taken up, the share that went on is under half of that of new streams", takenUp.Load())
	}
	return !broken
}
