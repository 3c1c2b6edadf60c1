package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

// crashingTarget is a target that crashes when it begins to run a certain request: all
// its connections end and it takes no new ones.
type crashingTarget struct {
	server           *httptest.Server
	next             http.HandlerFunc
	crashes          *atomic.Int64
	crashesOn        func(r *http.Request, body string) bool // by default requests with crashingBody
	crashesOnPrefill bool
	hasEnded         atomic.Bool
}

const crashingBody = "crashes targets"

func hasCrashingBody(_ *http.Request, body string) bool { return body == crashingBody }

func (target *crashingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !target.crashesOn(r, string(body)) || (r.Header.Get("Serving-Stage") != "" && !target.crashesOnPrefill) {
		target.next(w, r)
		return
	}
	if target.hasEnded.CompareAndSwap(false, true) {
		target.crashes.Add(1)
		_ = target.server.Listener.Close()
		target.server.CloseClientConnections()
	}
	panic(http.ErrAbortHandler)
}

// startCrashingTarget starts a target that counts its crash in crashes and responds to
// all other requests with next.
func (harness *harness) startCrashingTarget(id, service string, stage site.Stage, crashes *atomic.Int64, next http.HandlerFunc) *crashingTarget {
	harness.t.Helper()
	target := &crashingTarget{next: next, crashes: crashes, crashesOn: hasCrashingBody}
	target.server = httptest.NewUnstartedServer(target)
	target.server.Start()
	harness.t.Cleanup(func() {
		target.server.CloseClientConnections()
		target.server.Close()
	})
	harness.addTarget(site.Target{
		ID: id, Service: service, Address: target.server.Listener.Addr().String(), DataCenter: "tas-a", Slots: 6, Stage: stage,
	})
	return target
}

func (harness *harness) newCrashingRequest(path string) *http.Request {
	request := harness.newRequest(http.MethodPost, path)
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(crashingBody)), int64(len(crashingBody))
	return request
}

// Guards against running a request again that crashes each target that runs it: the
// caller sends it again and again, and each time another target is lost.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	for _, path := range []string{"/book/x", "/read/x", "/ask/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			harness := newHarness(t)
			var crashes atomic.Int64
			harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
			for i := range 8 {
				harness.startCrashingTarget(fmt.Sprint("s", i), "desk", site.NoStage, &crashes, respondOK)
				harness.startCrashingTarget(fmt.Sprint("d", i), "llm", site.Decode, &crashes, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 3) })
			}
			for range 12 {
				if response := harness.do(harness.newCrashingRequest(path)); response.status == http.StatusOK {
					t.Errorf("status of a request that crashes its targets = 200")
				}
				harness.proxy.Wait()
			}
			if crashes.Load() != 3 {
				t.Errorf("targets that crashed under the request = %d, want 3", crashes.Load())
			}
			response := harness.do(harness.newCrashingRequest(path))
			seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
			if response.status != http.StatusServiceUnavailable || response.header.Get("X-Mangopier-Run") != "not-run" || err != nil || seconds < 60 {
				t.Errorf("response = %d with headers %v, want 503, not-run, and a Retry-After of 60 or more", response.status, response.header)
			}
			if response := harness.do(harness.newRequest(http.MethodPost, path)); response.status != http.StatusOK {
				t.Errorf("status of another request of the same caller = %d, want 200", response.status)
			}
		})
	}
}

// Guards against losing one prefill engine after the other to a prompt that never
// reaches a decode engine.
func TestPromptThatCrashesPrefillEnginesIsQuarantined(t *testing.T) {
	harness := newHarness(t)
	var crashes atomic.Int64
	for i := range 8 {
		engine := harness.startCrashingTarget(fmt.Sprint("p", i), "llm", site.Prefill, &crashes, respondPrefilled)
		engine.crashesOnPrefill = true
	}
	harness.startTarget("d1", "llm", site.Decode, respondNotRun)
	for range 12 {
		harness.do(harness.newCrashingRequest("/ask/x"))
		harness.proxy.Wait()
	}
	if crashes.Load() != 3 {
		t.Errorf("prefill engines that crashed under the prompt = %d, want 3", crashes.Load())
	}
}

// Guards against clearing a request that crashes its targets each time that the same
// path with another query is answered.
func TestAnswersToOtherQueriesDoNotClear(t *testing.T) {
	harness := newHarness(t)
	var crashes atomic.Int64
	for i := range 8 {
		target := harness.startCrashingTarget(fmt.Sprint("s", i), "desk", site.NoStage, &crashes, respondOK)
		target.crashesOn = func(r *http.Request, _ string) bool { return r.URL.RawQuery == "page=1" }
	}
	for range 6 {
		harness.do(harness.newRequest(http.MethodPost, "/book/x?page=1"))
		harness.proxy.Wait()
		harness.do(harness.newRequest(http.MethodPost, "/book/x?page=2"))
	}
	if crashes.Load() != 3 {
		t.Errorf("targets that crashed under the request = %d, want 3", crashes.Load())
	}
}

const deadlyPart = "dead"

// startPartCrashingEngines starts decode engines that crash under prompts with
// deadlyPart, and a prefill engine that reads them all.
func (harness *harness) startPartCrashingEngines(count int, crashes *atomic.Int64) {
	harness.startTarget("p1", "llm", site.Prefill, respondPrefilled)
	for i := range count {
		engine := harness.startCrashingTarget(fmt.Sprint("d", i), "llm", site.Decode, crashes, func(w http.ResponseWriter, r *http.Request) { sendEvents(w, r, 3) })
		engine.crashesOn = func(r *http.Request, _ string) bool {
			return strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart)
		}
	}
}

// newPrompt returns a request with some parts and a last one of its own.
func (harness *harness) newPrompt(path string, number int, parts ...string) *http.Request {
	request := harness.newRequest(http.MethodPost, fmt.Sprint(path, number))
	prefix := ""
	for _, part := range parts {
		prefix += part + ":400,"
	}
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("%s%x:250", prefix, number))
	return request
}

// Guards against losing one engine after the other to a part of prompts that crashes
// each engine that decodes it: no two of the requests are alike.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	for name, parts := range map[string][]string{
		"first of two":    {deadlyPart},
		"second of three": {"5c1e07a2", deadlyPart},
		"third of four":   {"5c1e07a2", "91bd3f06", deadlyPart},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			var crashes atomic.Int64
			harness.startPartCrashingEngines(8, &crashes)
			number := 0
			send := func(parts ...string) callerResponse {
				number++
				response := harness.do(harness.newPrompt("/ask/", number, parts...))
				harness.proxy.Wait()
				return response
			}
			for range 6 {
				send(parts...)
				if response := send("5c1e07a2", "91bd3f06"); response.status != http.StatusOK {
					t.Errorf("status of a sound request with other parts of the prompt = %d, want 200", response.status)
				}
			}
			if crashes.Load() != 3 {
				t.Errorf("engines that crashed under the part = %d, want 3", crashes.Load())
			}
			response := send(parts...)
			seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
			if response.status != http.StatusServiceUnavailable || response.header.Get("X-Mangopier-Run") != "not-run" || err != nil || seconds < 60 {
				t.Errorf("response = %d with headers %v, want 503, not-run, and a Retry-After of 60 or more", response.status, response.header)
			}
		})
	}
}
