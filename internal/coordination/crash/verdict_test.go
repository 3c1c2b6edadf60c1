package crash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/protocol/site"
)

// engines are the targets of a test of verdicts. Each crash ends another one.
type engines struct {
	t       *testing.T
	tracker *crash.Tracker
	count   int // of engines that crashed
	numbers int // of requests
}

func newEngines(t *testing.T) *engines {
	t.Helper()
	return &engines{t: t, tracker: newTracker(64)}
}

// prompt returns the features of a new request whose prompt has some parts and a last
// one of its own.
func (engines *engines) prompt(parts ...string) []crash.Feature {
	engines.numbers++
	request := &site.Request{Method: "POST", Path: fmt.Sprint("/ask/", engines.numbers)}
	return engines.repeat(request, append(parts, fmt.Sprint("last-", engines.numbers))...)
}

// repeat returns the features of a request whose prompt has some parts, the last one
// among them.
func (engines *engines) repeat(request *site.Request, parts ...string) []crash.Feature {
	request.URI = request.Path
	prompt := &site.Prompt{Model: "m"}
	for _, part := range parts {
		prompt.Parts = append(prompt.Parts, site.Part{ID: part, Tokens: 100})
	}
	return append(crash.RequestFeatures("press", request), crash.PartFeatures(prompt)...)
}

// crash ends an engine that runs some requests.
func (engines *engines) crash(running ...[]crash.Feature) {
	var runs []*crash.Run
	for _, features := range running {
		runs = append(runs, engines.tracker.Begin(features, target(engines.count)))
	}
	for _, run := range runs {
		if run.End(crash.Lost) {
			engines.tracker.RecordRefused(run.Target())
		}
	}
	engines.count++
	time.Sleep(time.Second)
}

func (engines *engines) answer(features []crash.Feature) {
	engines.tracker.Begin(features, target(63)).End(crash.Completed)
}

// expect checks which of some parts are in quarantine.
func (engines *engines) expect(when string, quarantined map[string]bool) {
	engines.t.Helper()
	for part, want := range quarantined {
		if _, got := engines.tracker.Admit(engines.prompt(part)).Quarantined(); got != want {
			engines.t.Errorf("%s: part %q is in quarantine: %t, want %t", when, part, got, want)
		}
	}
}

// Guards against refusing sound requests that share the first part of their prompts with
// those that crash their engines, and have never been answered since few come.
func TestPartIsBlamedForCrashesOfItsPrompts(t *testing.T) {
	tests := map[string]func(engines *engines){
		"later of two parts that always come together": func(engines *engines) {
			for range 3 {
				engines.crash(engines.prompt("first", "deadly"))
			}
			engines.expect("after 3 crashes", map[string]bool{"first": false, "deadly": true})
		},
		"first part, with other parts behind it": func(engines *engines) {
			for i := range 3 {
				engines.crash(engines.prompt("deadly", fmt.Sprint("other-", i)))
			}
			engines.expect("after 3 crashes", map[string]bool{"deadly": true, "other-0": false})
		},
		"part beside others that run at the same engines": func(engines *engines) {
			engines.answer(engines.prompt("popular"))
			for i := range 3 {
				engines.crash(engines.prompt("popular", "sound"), engines.prompt("first", "deadly"), engines.prompt(fmt.Sprint("rare-", i)))
				engines.answer(engines.prompt("sound"))
			}
			engines.expect("after 3 crashes", map[string]bool{"popular": false, "sound": false, "rare-0": false, "deadly": true})
		},
		"two parts at a time": func(engines *engines) {
			for i := range 6 {
				engines.crash(engines.prompt("first", fmt.Sprint("deadly-", i%2)))
				engines.answer(engines.prompt("first"))
			}
			engines.expect("after 3 crashes each", map[string]bool{"first": false, "deadly-0": true, "deadly-1": true})
		},
		"request that is hit by all of its crashes": func(engines *engines) {
			again := &site.Request{Method: "POST", Path: "/ask/again"}
			for range 3 {
				engines.crash(engines.repeat(again, "first", "last"), engines.prompt("other", "deadly"))
			}
			engines.crash(engines.prompt("other", "deadly"))
			engines.expect("after 4 crashes", map[string]bool{"first": false, "deadly": true})
			if _, quarantined := engines.tracker.Admit(engines.repeat(again, "last")).Quarantined(); quarantined {
				engines.t.Error("a sound request is in quarantine after 4 crashes")
			}
		},
		"request that crashes them itself": func(engines *engines) {
			again := &site.Request{Method: "POST", Path: "/ask/again"}
			for range 3 {
				engines.crash(engines.repeat(again, "first", "second", "last"))
			}
			engines.expect("after 3 crashes", map[string]bool{"first": false, "second": false})
			if _, quarantined := engines.tracker.Admit(engines.repeat(again, "last")).Quarantined(); !quarantined {
				engines.t.Error("the request is not in quarantine after 3 crashes")
			}
		},
		"rack that ends between its crashes": func(engines *engines) {
			for i := range 2 {
				engines.crash(engines.prompt("first", "deadly"), engines.prompt(fmt.Sprint("rare-", i)))
				engines.answer(engines.prompt("first"))
			}
			var rack []*crash.Run
			for i := range 4 {
				engines.answer(engines.prompt("popular"))
				for _, features := range [][]crash.Feature{engines.prompt("popular"), engines.prompt("first"), engines.prompt(fmt.Sprint("rare-", i))} {
					rack = append(rack, engines.tracker.Begin(features, target(20+i)))
				}
			}
			for _, run := range rack {
				if run.End(crash.Lost) {
					engines.tracker.RecordRefused(run.Target())
				}
			}
			sound := map[string]bool{"popular": false, "first": false, "rare-0": false, "rare-3": false}
			engines.expect("after the rack's crash", sound)
			engines.crash(engines.prompt("first", "deadly"))
			sound["deadly"] = true
			engines.expect("after the third crash", sound)
		},
		"no part, if they are the last ones": func(engines *engines) {
			for i := range 3 {
				engines.crash(engines.repeat(&site.Request{Method: "POST", Path: fmt.Sprint("/ask/x", i)}, "first", "session"))
				engines.answer(engines.prompt("first"))
			}
			engines.expect("after 3 crashes", map[string]bool{"first": false, "session": false})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(newEngines(t)) })
		})
	}
}

// Guards against parts that are mistaken for those of another model.
func TestPartsOfModelsDiffer(t *testing.T) {
	parts := []site.Part{{ID: "first"}, {ID: "last"}}
	first := crash.PartFeatures(&site.Prompt{Model: "m", Parts: parts})
	second := crash.PartFeatures(&site.Prompt{Model: "n", Parts: parts})
	if len(first) != 1 || len(second) != 1 || first[0] == second[0] {
		t.Errorf("PartFeatures() = %v and %v, want one feature each, not the same", first, second)
	}
	if features := crash.PartFeatures(nil); features != nil {
		t.Errorf("PartFeatures(nil) = %v, want none", features)
	}
}

// Guards against a part whose crashes at three instances are told as three suspects.
func TestInstancesAddUpCrashesOfPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := []*engines{newEngines(t), newEngines(t), newEngines(t)}
		for i, engines := range instances {
			engines.count, engines.numbers = i, 100*i
			engines.crash(engines.prompt("first", "deadly"), engines.prompt("rare"))
		}
		for _, from := range instances {
			for _, to := range instances {
				to.tracker.Merge("peer", from.tracker.Report())
			}
		}
		for _, engines := range instances {
			engines.expect("after one crash at each of three instances", map[string]bool{"deadly": true, "first": false})
		}
	})
}
