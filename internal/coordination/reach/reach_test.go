package reach_test

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/reach"
	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	service      = "guide"
	tickInterval = 100 * time.Millisecond
)

func targets(ids ...string) []site.Target {
	var targets []site.Target
	for _, id := range ids {
		targets = append(targets, site.Target{ID: id, Service: service, Address: id + ":80"})
	}
	return targets
}

// TestCases runs the cases of testdata/cases.txt.
func TestCases(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range strings.Split(string(data), "\n-- ")[1:] {
		name, body, _ := strings.Cut(text, "\n")
		script, want, ok := strings.Cut(body, "=>")
		if !ok {
			t.Fatalf("case %q has no =>", name)
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := play(t, script); got != strings.TrimSpace(want) {
					t.Errorf("got  %s\nwant %s", got, strings.TrimSpace(want))
				}
			})
		})
	}
}

// event is one step of a case.
type event struct {
	ms   int
	name string
	args []string
}

// player runs the events of one case.
type player struct {
	tracker *reach.Tracker
	probes  string   // how probes end
	answers []string // targets that probes connect to; empty for all
	ended   []func() // of the outstanding calls
	wasLost bool
	log     []string
}

func play(t *testing.T, script string) string {
	t.Helper()
	player := &player{tracker: reach.New()}
	start := time.Now()
	for _, event := range parse(t, script) {
		time.Sleep(time.Until(start.Add(time.Duration(event.ms) * time.Millisecond)))
		player.run(t, event)
		player.noteLost(t, event.ms)
	}
	return strings.Join(player.log, ", ")
}

// parse returns the events in order of time, with a tick each 100 ms after the
// other events of that time.
func parse(t *testing.T, script string) []event {
	t.Helper()
	var events []event
	for line := range strings.Lines(strings.TrimSpace(script)) {
		fields := strings.Fields(line)
		if fields[0] == "targets" || fields[0] == "probes" {
			fields = append([]string{"0"}, fields...)
		}
		for _, ms := range times(t, fields[0]) {
			events = append(events, event{ms: ms, name: fields[1], args: fields[2:]})
		}
	}
	last := events[len(events)-1]
	if last.name != "end" {
		t.Fatalf("last event is %q, want end", last.name)
	}
	events = events[:len(events)-1]
	events = slices.DeleteFunc(events, func(event event) bool { return event.ms > last.ms })
	for ms := 0; ms <= last.ms; ms += int(tickInterval.Milliseconds()) {
		events = append(events, event{ms: ms, name: "tick"})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.ms, b.ms) })
	return events
}

// times parses MS or FROM-TO/STEP.
func times(t *testing.T, text string) []int {
	t.Helper()
	var from, to, step int
	if _, err := fmt.Sscanf(text, "%d-%d/%d", &from, &to, &step); err == nil {
		var times []int
		for ms := from; ms <= to; ms += step {
			times = append(times, ms)
		}
		return times
	}
	ms, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return []int{ms}
}

func (player *player) run(t *testing.T, event event) {
	t.Helper()
	switch event.name {
	case "targets":
		player.tracker.SetTargets(targets(event.args...))
	case "probes":
		player.probes, player.answers = event.args[0], event.args[1:]
	case "sent":
		player.ended = append(player.ended, player.tracker.RecordSent(service, event.args[0]))
	case "ended":
		for _, ended := range player.ended {
			ended()
		}
		player.ended = nil
	case "received":
		player.tracker.RecordReceived(service)
	case "unreachable":
		player.tracker.RecordUnreachable(service, event.args[0])
	case "tick":
		player.tick(t, event.ms)
	default:
		t.Fatalf("unknown event %q", event.name)
	}
}

func (player *player) tick(t *testing.T, ms int) {
	t.Helper()
	probes := player.tracker.NextProbes()
	player.noteLost(t, ms)
	for _, probe := range probes {
		player.log = append(player.log, fmt.Sprint(ms, " probe ", probe.Target))
		if want := (reach.Probe{Service: service, Target: probe.Target, Address: probe.Target + ":80"}); probe != want {
			t.Errorf("NextProbes() has %v, want %v", probe, want)
		}
	}
	if player.probes == "hang" {
		return
	}
	for _, probe := range probes {
		answers := len(player.answers) == 0 || slices.Contains(player.answers, probe.Target)
		player.tracker.RecordProbe(probe, player.probes == "connect" && answers)
	}
}

// noteLost logs a change of Lost, and checks that the other methods agree with it.
func (player *player) noteLost(t *testing.T, ms int) {
	t.Helper()
	lost := player.tracker.Lost(service)
	if signaled := isClosed(player.tracker.LostSignal(service)); signaled != lost {
		t.Errorf("at %d ms: LostSignal() is closed: %v, want %v", ms, signaled, lost)
	}
	if names := player.tracker.LostServices(); slices.Contains(names, service) != lost {
		t.Errorf("at %d ms: LostServices() = %v, Lost() = %v", ms, names, lost)
	}
	if lost && !player.wasLost {
		player.log = append(player.log, fmt.Sprint(ms, " lost"))
	}
	if !lost && player.wasLost {
		player.log = append(player.log, fmt.Sprint(ms, " reachable"))
	}
	player.wasLost = lost
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// TestLostSignalBeforeTargets waits for the loss of a service whose targets are
// listed later.
func TestLostSignalBeforeTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := reach.New()
		signal := tracker.LostSignal(service)
		tracker.SetTargets(targets("a", "b"))
		lose(tracker)
		if !isClosed(signal) {
			t.Error("LostSignal() is open after the service was lost, want closed")
		}
		tracker.RecordReceived(service)
		if isClosed(tracker.LostSignal(service)) {
			t.Error("LostSignal() is closed after a byte was received, want open")
		}
	})
}

// lose makes calls to targets a and b hang until the service is lost.
func lose(tracker *reach.Tracker) {
	tracker.RecordSent(service, "a")
	tracker.RecordSent(service, "b")
	time.Sleep(400 * time.Millisecond)
	failProbes(tracker)
}

func failProbes(tracker *reach.Tracker) {
	for _, probe := range tracker.NextProbes() {
		tracker.RecordProbe(probe, false)
	}
}

// TestServicesAreIndependent checks that a lost service leaves another one alone.
func TestServicesAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := reach.New()
		tracker.SetTargets(append(targets("a", "b"), site.Target{ID: "a", Service: "other"}, site.Target{ID: "b", Service: "other"}))
		lose(tracker)
		tracker.RecordReceived("other")
		if got := tracker.LostServices(); !slices.Equal(got, []string{service}) {
			t.Errorf("LostServices() = %v, want [%s]", got, service)
		}
	})
}

func TestLogsDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		tracker := reach.New(reach.WithLogger(zerolog.New(&log)))
		tracker.SetTargets(targets("a", "b"))
		lose(tracker)
		time.Sleep(time.Second)
		tracker.RecordReceived(service)
		want := `{"level":"debug","part":"reach","service":"guide","silence-ms":400,"targets":["a","b"],"message":"service suspected; probing targets"}
{"level":"warn","part":"reach","service":"guide","silence-ms":400,"targets":["a","b"],"message":"service lost; all probes failed"}
{"level":"info","part":"reach","service":"guide","reason":"byte received","lost-ms":1000,"message":"service reachable again"}
`
		if log.String() != want {
			t.Errorf("got  %s\nwant %s", log.String(), want)
		}
	})
}

// noDeadlineT hides the type *testing.T from rapid, so that rapid does not read
// the test's deadline, which is in real time, inside a synctest bubble.
type noDeadlineT struct{ *testing.T }

// TestAnySequence checks after random sequences of events that a connecting probe
// or a received byte leaves the service reachable, and that it is lost within 2.5 s
// of continuous calls to all targets without a byte and with failed probes only.
func TestAnySequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineT{t}, func(t *rapid.T) {
			tracker := reach.New()
			ids := drawTargets(t)
			tracker.SetTargets(targets(ids...))
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				ids = drawStep(t, tracker, ids)
			}
			if rapid.Bool().Draw(t, "partitioned") {
				checkLost(t, tracker, ids)
			}
			checkReachable(t, tracker, ids)
		})
	})
}

func drawTargets(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 5, rapid.ID).Draw(t, "targets")
}

// drawStep makes one random step and returns the listed targets.
func drawStep(t *rapid.T, tracker *reach.Tracker, ids []string) []string {
	target := rapid.SampledFrom(ids).Draw(t, "target")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		ids = drawTargets(t)
		tracker.SetTargets(targets(ids...))
	case 1:
		tracker.RecordReceived(service)
	case 2:
		tracker.RecordUnreachable(service, target)
	case 3:
		tracker.RecordProbe(reach.Probe{Service: service, Target: target}, rapid.Bool().Draw(t, "connected"))
	case 4, 5:
		ended := tracker.RecordSent(service, target)
		if rapid.Bool().Draw(t, "ended") {
			ended()
		}
	case 6, 7:
		failProbes(tracker)
	default:
		time.Sleep(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
	}
	return ids
}

func checkLost(t *rapid.T, tracker *reach.Tracker, ids []string) {
	hang := rapid.Bool().Draw(t, "hang")
	start := time.Now()
	for _, id := range ids {
		tracker.RecordSent(service, id)
	}
	time.Sleep(time.Duration(rapid.IntRange(0, 99).Draw(t, "tick")) * time.Millisecond)
	for ; time.Since(start) <= 2500*time.Millisecond; time.Sleep(tickInterval) {
		probes := tracker.NextProbes()
		for _, probe := range probes {
			if !hang {
				tracker.RecordProbe(probe, false)
			}
		}
	}
	if !tracker.Lost(service) {
		t.Fatalf("Lost() = false after 2.5 s without a byte, want true")
	}
}

func checkReachable(t *rapid.T, tracker *reach.Tracker, ids []string) {
	if rapid.Bool().Draw(t, "byte") {
		tracker.RecordReceived(service)
	} else {
		tracker.RecordProbe(reach.Probe{Service: service, Target: ids[0]}, true)
	}
	for range 30 {
		if tracker.Lost(service) || isClosed(tracker.LostSignal(service)) {
			t.Fatalf("Lost() = true without calls since a probe connected or a byte was received, want false")
		}
		if probes := tracker.NextProbes(); len(probes) > 0 {
			t.Fatalf("NextProbes() = %v without new calls, want none", probes)
		}
		time.Sleep(tickInterval)
	}
}

// TestConcurrentUse lets the race detector check all methods; bytes are received
// last, so that the service has to be reachable.
func TestConcurrentUse(t *testing.T) {
	tracker := reach.New()
	tracker.SetTargets(targets("a", "b"))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for i := range 500 {
				ended := tracker.RecordSent(service, "a")
				tracker.RecordUnreachable(service, "b")
				failProbes(tracker)
				tracker.SetTargets(targets("a", "b", fmt.Sprint(i)))
				tracker.RecordReceived(service)
				tracker.LostServices()
				ended()
			}
		})
	}
	group.Wait()
	if tracker.Lost(service) {
		t.Error("Lost() = true after a byte was received, want false")
	}
}
