package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func (s *site) context() context.Context { return context.Background() }

const (
	streamEvents = 24
	eventGap     = 150 * time.Millisecond
)

// serveEngine is a model runner. Each event names the software version that made it.
func serveEngine(r *runner, w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	r.mutex.Lock()
	version, born := r.version, r.born
	r.mutex.Unlock()
	attempt := request.Header.Get("Attempt-Id")
	if request.Header.Get("Serving-Stage") == "prefill" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"KvHandle":"%x","Tokens":1460,"Version":1}`, time.Now().UnixNano())
		return
	}
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.site.log("%s (software %s, born %d) runs %s from event %d on", r.id, version, born, attempt, first+1)
	w.Header().Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for event := first + 1; event <= streamEvents; event++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, version)
		if err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}

// streamResult is what a consumer has got of a stream.
type streamResult struct {
	attempt  string
	status   int
	versions []string // of the events, as they came
	ids      []int
	complete bool
}

// readStream sends a consumer's request for a stream and reads the events.
func (s *site) readStream(i *instance, path, attempt string, extra map[string]string) streamResult {
	request := newRequest(s.context(), i.front(), http.MethodPost, path, attempt, 8*time.Second, strings.NewReader("prompt"))
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "1460,80")
	request.Header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+attempt+":250")
	for name, value := range extra {
		request.Header.Set(name, value)
	}
	result := streamResult{attempt: attempt}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if value, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			id, _ := strconv.Atoi(strings.TrimSpace(value))
			result.ids = append(result.ids, id)
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok && err == nil && response.StatusCode == http.StatusOK {
			result.versions = append(result.versions, strings.TrimSpace(value))
		}
		if err != nil {
			result.complete = err == io.EOF && len(result.versions) > 0
			return result
		}
	}
}

// mixed reports whether events of two versions are in the stream.
func (result streamResult) mixed() bool {
	for _, version := range result.versions {
		if version != result.versions[0] {
			return true
		}
	}
	return false
}

// upgradeInPlace: the runners that decode are restarted one after the other with a newer
// software version, under the ids that they had, while the store is down.
func upgradeInPlace(s *site, trouble bool) bool {
	s.store.put("op", "config", manifest(3))
	for n := range 2 {
		s.addRunner(&runner{id: fmt.Sprint("i-prefill-", n), service: "llm", stage: "prefill", zone: s.zones[n], slots: 64, version: "v1", serve: serveEngine})
	}
	var decoders []*runner
	for n := range 2 {
		decoders = append(decoders, s.addRunner(&runner{id: fmt.Sprint("i-decode-", n), service: "llm", stage: "decode", zone: s.zones[n], slots: 64, version: "v1", serve: serveEngine}))
	}
	for range 3 {
		s.addInstance()
	}
	s.awaitReady()
	var mutex sync.Mutex
	var results []streamResult
	var streams sync.WaitGroup
	begin := func(count int, pause time.Duration) {
		for n := range count {
			time.Sleep(pause)
			streams.Go(func() {
				i := s.instances[n%len(s.instances)]
				result := s.readStream(i, "/ask/x", newAttempt(), nil)
				s.log("consumer got of %s at %s: status %d, %d events, complete %v", result.attempt, i.name, result.status, len(result.ids), result.complete)
				mutex.Lock()
				defer mutex.Unlock()
				results = append(results, result)
			})
		}
	}
	begin(60, 200*time.Millisecond) // 12 s of calm
	upgrade, down := trouble && os.Getenv("ONLY") != "store", trouble && os.Getenv("ONLY") != "upgrade"
	if down {
		s.log("the store goes down")
		s.store.setAway(true)
	}
	begin(4, 100*time.Millisecond)
	if upgrade {
		for n, r := range decoders {
			s.log("%s ends", r.id)
			r.crash()
			time.Sleep(300 * time.Millisecond)
			r.setVersion("v2")
			r.startUp()
			s.log("%s is back with software v2", r.id)
			begin([]int{12, 4}[n], 170*time.Millisecond)
		}
	} else {
		begin(12, 200*time.Millisecond)
	}
	if down {
		s.log("the store is back")
		s.store.setAway(false)
	}
	begin(10, 100*time.Millisecond)
	streams.Wait()
	mixed, complete := 0, 0
	for _, result := range results {
		if result.complete {
			complete++
		}
		if result.mixed() {
			mixed++
			s.log("ORDER: attempt %s has events of %s", result.attempt, strings.Join(result.versions, " "))
		}
	}
	s.log("%d streams, %d complete, %d with events of two versions", len(results), complete, mixed)
	return mixed <= 2
}
