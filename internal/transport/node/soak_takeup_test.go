package node_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against streams that cannot be taken up after the instance that began them is killed,
// while targets of two software versions serve (LOST), and against streams that go on at the
// other version (ORDER).
func TestSoakTakeUps(t *testing.T) {
	source := "."
	if *soakBuild != "" {
		source = checkOut(t, *soakBuild)
	}
	programs := []string{buildProgram(t, source)}
	if *soakEarlier != "" {
		programs = append(programs, buildProgram(t, checkOut(t, *soakEarlier)))
	}
	for run := range uint64(*soakSeeds) {
		seed := *soakFirst + run
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			takeUps := &soakTakeUps{soak: newSoak(t, programs, seed), pauses: takeUpPauses[seed%uint64(len(takeUpPauses))]}
			takeUps.run(2 * *soakLength)
		})
	}
}

const (
	takeUpEvents = 7
	// takeUpContact is how long ago an instance was killed or started at least, for the
	// bound to hold at it.
	takeUpContact   = 3100 * time.Millisecond
	takeUpInstances = 6   // by default
	takeUpPerSecond = 120 // new streams at each instance
	// takeUpMinimum is the number of streams taken up from which on the bound holds. The
	// run lasts until it is reached.
	takeUpMinimum = 12
)

// takeUpPauses holds the milliseconds between the events of streams. Each seed has one row:
// short streams are mostly over before the next heartbeat.
var takeUpPauses = [][]int{{2, 100, 1000}, {5}, {2, 5, 5, 20}}

// soakTakeUps kills instances while streams begin at all of them, and takes the streams up.
type soakTakeUps struct {
	*soak

	pauses                        []int          // between events, in milliseconds
	disturbed                     []atomic.Int64 // when an instance was last killed or started, Unix nanoseconds
	asked, begun, takenUp, wentOn atomic.Int64
	nextAttempt                   atomic.Int64
}

func (takeUps *soakTakeUps) run(length time.Duration) {
	t := takeUps.t
	takeUps.store.put("op", "config", fmt.Sprintf(stopManifest, host, key))
	takeUps.startTargets()
	control := httptest.NewServer(&takeUps.control)
	defer control.Close()
	ports := freePort(t)
	count := *soakCount
	if count == soakInstances {
		count = takeUpInstances
	}
	for i := range count {
		takeUps.addInstance(i, ports, control.Listener.Addr().String())
	}
	takeUps.disturbed = make([]atomic.Int64, len(takeUps.instances))
	for _, instance := range takeUps.instances {
		takeUps.start(instance)
	}
	defer takeUps.stopAll()
	takeUps.awaitService()
	time.Sleep(takeUpContact)
	stop := make(chan struct{})
	var streams sync.WaitGroup
	for i := range takeUps.instances {
		random := rand.New(rand.NewPCG(takeUps.random.Uint64(), uint64(i)))
		streams.Go(func() { takeUps.beginStreams(i, random, &streams, stop) })
	}
	takeUps.killInTurn(length)
	close(stop)
	streams.Wait()
	takeUps.check()
}

// startTargets starts a desk, prefill engines, and decode engines of two versions.
func (takeUps *soakTakeUps) startTargets() {
	for i, stage := range []string{"", "prefill", "prefill", "prefill", "prefill", "decode", "decode", "decode", "decode"} {
		version := fmt.Sprint("v", 1+i%2)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveVersion(stage, version, w, r) }))
		takeUps.t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		service := "llm"
		if stage == "" {
			service = "desk"
		}
		takeUps.store.put("servers", fmt.Sprint("i-", i), fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"tas-a","Version":%q,"Slots":64,"State":"ready","Stage":%q}`,
			service, server.Listener.Addr(), version, stage))
	}
}

// serveVersion answers as an engine whose events name its software version. The body of a
// request gives the milliseconds between events.
func serveVersion(stage, version string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "s")
	switch {
	case stage == "":
		_, _ = io.WriteString(w, "answer to "+r.Header.Get("Attempt-Id"))
	case stage == "prefill":
		_, _ = io.WriteString(w, `{"KvHandle":"h1","Tokens":1460,"Version":1}`)
	case r.Method == http.MethodPost && r.URL.Path != "/v1/order":
		pause, _ := strconv.Atoi(strings.TrimSpace(string(body)))
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for event := last + 1; event <= takeUpEvents && r.Context().Err() == nil; event++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, version)
			w.(http.Flusher).Flush()
			time.Sleep(time.Duration(pause) * time.Millisecond)
		}
	}
}

func (takeUps *soakTakeUps) inTouch(i int) bool {
	return time.Since(time.Unix(0, takeUps.disturbed[i].Load())) > takeUpContact
}

// killInTurn kills one instance after the other and starts it again, with one of the builds if
// there are two. A few instances have time to be in touch again in between.
func (takeUps *soakTakeUps) killInTurn(length time.Duration) {
	calm := 2 * takeUpContact / time.Duration(len(takeUps.instances)-1)
	for begin, i := time.Now(), 0; time.Since(begin) < length || takeUps.takenUp.Load() < takeUpMinimum; i = (i + 1) % len(takeUps.instances) {
		time.Sleep(calm + time.Duration(takeUps.random.IntN(1500))*time.Millisecond)
		instance := takeUps.instances[i]
		takeUps.disturbed[i].Store(time.Now().UnixNano())
		if len(takeUps.programs) > 1 {
			instance.program = takeUps.programs[takeUps.random.IntN(len(takeUps.programs))]
		}
		takeUps.restart(instance, syscall.SIGKILL)
		takeUps.disturbed[i].Store(time.Now().UnixNano())
	}
}

// beginStreams has streams begin at an instance.
func (takeUps *soakTakeUps) beginStreams(i int, random *rand.Rand, streams *sync.WaitGroup, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(time.Second) / takeUpPerSecond)):
		}
		pause := takeUps.pauses[random.IntN(len(takeUps.pauses))]
		other := random.IntN(len(takeUps.instances))
		streams.Go(func() { takeUps.call(i, other, pause) })
	}
}

// call begins a stream at an instance and takes it up at another one if it breaks off.
func (takeUps *soakTakeUps) call(i, other, pause int) {
	attempt := fmt.Sprint("take-up-", takeUps.nextAttempt.Add(1))
	touched := takeUps.inTouch(i)
	versions := takeUps.read(i, attempt, pause, 0, "")
	if touched && takeUps.inTouch(i) {
		takeUps.asked.Add(1)
		if len(versions) > 0 {
			takeUps.begun.Add(1)
		}
	}
	if len(versions) == 0 || len(versions) == takeUpEvents || other == i || !takeUps.inTouch(other) {
		return
	}
	rest := takeUps.read(other, attempt+"-again", pause, len(versions), attempt)
	if !takeUps.inTouch(other) {
		return
	}
	takeUps.takenUp.Add(1)
	if len(rest) > 0 {
		takeUps.wentOn.Add(1)
	}
	if all := slices.Compact(append(versions, rest...)); len(all) > 1 {
		takeUps.t.Errorf("ORDER: stream %s has events of versions %v", attempt, all)
	}
}

// read returns the versions that the events of an answer name. With resumes, it takes up the
// stream of that attempt after the event last.
func (takeUps *soakTakeUps) read(i int, attempt string, pause, last int, resumes string) []string {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+takeUps.instances[i].front+"/resume/x", strings.NewReader(strconv.Itoa(pause)))
	if err != nil {
		takeUps.t.Error(err)
		return nil
	}
	request.Host, request.GetBody = host, nil
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Authorization": "Bearer " + key, "Deadline-Ms": "8000", "Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:660",
	} {
		request.Header.Set(name, value)
	}
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body) // breaks off with the instance
	var versions []string
	for line := range strings.Lines(string(body)) {
		if version, ok := strings.CutPrefix(line, "data: "); ok && response.StatusCode == http.StatusOK {
			versions = append(versions, strings.TrimSpace(version))
		}
	}
	return versions
}

func (takeUps *soakTakeUps) check() {
	t := takeUps.t
	asked, begun, takenUp, wentOn := takeUps.asked.Load(), takeUps.begun.Load(), takeUps.takenUp.Load(), takeUps.wentOn.Load()
	t.Logf("%d of %d new streams began; %d of %d that were taken up went on", begun, asked, wentOn, takenUp)
	if 2*wentOn*asked < takenUp*begun {
		t.Errorf("LOST: %d of %d streams went on, want half of the share of new ones at least", wentOn, takenUp)
	}
}
