package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const usageWindow = 5 * time.Second

var deskRuns atomic.Int64

// serveDesk is a booking service: 15 ms of work and 800 bytes.
func serveDesk(r *runner, w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	deskRuns.Add(1)
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

// load sends requests to an instance at a rate until stop is closed.
func (s *site) load(i *instance, perSecond int, stop <-chan struct{}, done *sync.WaitGroup) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		done.Go(func() {
			request := newRequest(s.context(), i.front(), http.MethodPost, "/book/x", newAttempt(), time.Second, strings.NewReader("booking"))
			i.sent.Add(1)
			response, err := client.Do(request)
			if err != nil {
				i.failed.Add(1)
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				i.answered.Add(1)
			} else {
				i.failed.Add(1)
			}
		})
	}
}

// holder returns the instance that holds the lease, by its row in the store.
func (s *site) holder() string {
	var record struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal([]byte(s.store.value("lease/duties/heartbeat")), &record)
	return record.Holder
}

// usageAfterDrill: an instance freezes across the end of a usage window, whose counts are
// reported meanwhile; then the store comes back from a copy of before that report.
func usageAfterDrill(s *site, trouble bool) bool {
	freeze, drill := trouble && os.Getenv("ONLY") != "drill", trouble && os.Getenv("ONLY") != "freeze"
	s.store.put("op", "config", manifest(3))
	for _, zone := range s.zones {
		s.addRunner(&runner{id: "i-desk-" + zone, service: "desk", zone: zone, slots: 6, version: "v1", serve: serveDesk})
	}
	for range 3 {
		s.addInstance()
	}
	s.awaitReady()
	stop := make(chan struct{})
	var requests, loads sync.WaitGroup
	for _, i := range s.instances {
		loads.Go(func() { s.load(i, 60, stop, &requests) })
	}
	for deadline := time.Now().Add(25 * time.Second); s.reportCount() == 0; {
		if time.Now().After(deadline) {
			panic(couldNotRun("no usage was reported"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	// the end of a window that is far enough away
	end := time.Now().Add(3 * time.Second).Truncate(usageWindow).Add(usageWindow)
	frozen := s.instances[0]
	if frozen.name == s.holder() {
		frozen = s.instances[1]
	}
	s.log("window %d ends at %.3f; holder %s, to be frozen: %s", end.Unix()/5-1, end.Sub(s.start).Seconds(), s.holder(), frozen.name)
	sleepUntil(end.Add(-1500 * time.Millisecond))
	copied := s.store.copy()
	s.log("copy of the store is taken")
	sleepUntil(end.Add(-500 * time.Millisecond))
	if freeze {
		frozen.signal(syscall.SIGSTOP)
	}
	sleepUntil(end.Add(1900 * time.Millisecond))
	if drill {
		s.log("the store goes away")
		s.store.setAway(true)
	}
	sleepUntil(end.Add(2600 * time.Millisecond))
	if drill {
		s.store.restore(copied)
		s.log("the store is back from the copy, in era 2")
	}
	sleepUntil(end.Add(3500 * time.Millisecond))
	if freeze {
		frozen.signal(syscall.SIGCONT)
	}
	sleepUntil(end.Add(16 * time.Second))
	close(stop)
	loads.Wait()
	requests.Wait()
	for _, i := range s.instances {
		s.log("%s: %d requests sent, %d answered with 200, %d not", i.name, i.sent.Load(), i.answered.Load(), i.failed.Load())
	}
	s.log("the runners ran %d requests", deskRuns.Load())
	return s.checkUsage()
}

func (s *site) reportCount() int {
	s.cloud.mutex.Lock()
	defer s.cloud.mutex.Unlock()
	return len(s.cloud.reports)
}

// checkUsage reports whether no window was reported with different counts.
func (s *site) checkUsage() bool {
	s.cloud.mutex.Lock()
	defer s.cloud.mutex.Unlock()
	held := true
	for window, reports := range s.cloud.reports {
		for _, report := range reports[1:] {
			if report.counts != reports[0].counts {
				held = false
				s.log("ONE: window %d was reported as %s by %s (token %s) and as %s by %s (token %s)", window,
					reports[0].counts, reports[0].holder, reports[0].fence, report.counts, report.holder, report.fence)
			} else {
				s.log("window %d was reported again with the same counts by %s", window, report.holder)
			}
		}
	}
	return held
}

func sleepUntil(moment time.Time) { time.Sleep(time.Until(moment)) }
