package crash_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/protocol/site"
)

func target(i int) site.Target {
	return site.Target{ID: fmt.Sprint("s", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Started: time.UnixMilli(1_771_142_700_000)}
}

func newTracker(targets int, opts ...crash.Option) *crash.Tracker {
	tracker := crash.New(opts...)
	tracker.SetTargets(list(targets))
	return tracker
}

func list(targets int) []site.Target {
	var listed []site.Target
	for i := range targets {
		listed = append(listed, target(i))
	}
	return listed
}

// loseRun has a target crash while it runs a request.
func loseRun(tracker *crash.Tracker, fingerprint crash.Fingerprint, i int) {
	if tracker.Begin(features(fingerprint), target(i)).End(crash.Lost) {
		tracker.RecordRefused(target(i))
	}
}

func isQuarantined(tracker *crash.Tracker, fingerprint crash.Fingerprint) bool {
	admission := tracker.Admit(features(fingerprint))
	defer admission.Release()
	_, quarantined := admission.Quarantined()
	return quarantined
}

const fingerprint = crash.Fingerprint(7)

func features(fingerprint crash.Fingerprint) []crash.Feature {
	return []crash.Feature{{Fingerprint: fingerprint}}
}

// Guards against running a request at a fourth target, and against refusing it before
// the third has crashed, or for good.
func TestQuarantineAfterThreeTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(9)
		for i := range 3 {
			if isQuarantined(tracker, fingerprint) {
				t.Errorf("quarantined after %d crashes, want after 3", i)
			}
			loseRun(tracker, fingerprint, i)
			time.Sleep(time.Second)
		}
		if quarantine, ok := tracker.Admit(features(fingerprint)).Quarantined(); !ok || quarantine.Remaining != 10*time.Minute-time.Second {
			t.Errorf("Quarantined() = %+v, %t, want 9m59s, true", quarantine, ok)
		}
		time.Sleep(10 * time.Minute)
		if isQuarantined(tracker, fingerprint) {
			t.Error("quarantined after the quarantine")
		}
		loseRun(tracker, fingerprint, 4)
		if !isQuarantined(tracker, fingerprint) {
			t.Error("not quarantined after one more crash")
		}
	})
}

// Guards against losing a target at each instance when a quarantine ends, and against a
// request that stays refused although it crashes no targets any more.
func TestOneTrialAfterQuarantine(t *testing.T) {
	tests := map[string]struct {
		end  func(tracker *crash.Tracker, run *crash.Run)
		want int // trials in the 15 minutes after the quarantine, -1 for any number
	}{
		"crashes again": {func(tracker *crash.Tracker, run *crash.Run) {
			if run.End(crash.Lost) {
				tracker.RecordRefused(run.Target())
			}
		}, 2}, // one after 10 minutes, one after 20
		"completes": {func(_ *crash.Tracker, run *crash.Run) { run.End(crash.Completed) }, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				names := []string{"a", "b", "c", "d", "e", "f"}
				var instances []*crash.Tracker
				for _, name := range names {
					instances = append(instances, newTracker(60, crash.WithInstances(name, func() []string { return names })))
				}
				exchange := func() {
					for _, from := range instances {
						for _, to := range instances {
							to.Merge("peer", from.Report())
						}
					}
				}
				for i := range 3 {
					loseRun(instances[0], fingerprint, i)
				}
				exchange()
				time.Sleep(10 * time.Minute)
				trials, refused := 0, 0
				for i := range 15 * 60 {
					var admissions []*crash.Admission
					for _, tracker := range instances {
						for range 2 {
							admissions = append(admissions, tracker.Admit(features(fingerprint)))
						}
					}
					for j, admission := range admissions {
						if _, quarantined := admission.Quarantined(); quarantined {
							refused++
						} else {
							trials++
							test.end(instances[j/2], instances[j/2].Begin(features(fingerprint), target(3+i%50)))
						}
						admission.Release()
					}
					time.Sleep(time.Second)
					exchange()
				}
				if test.want >= 0 && trials != test.want {
					t.Errorf("trials in 15 minutes = %d, want %d", trials, test.want)
				}
				if test.want < 0 && refused > 12*10 {
					t.Errorf("requests refused after the quarantine = %d, want those of some seconds", refused)
				}
			})
		})
	}
}

// Guards against blaming requests for ends of connections and of targets that have
// other causes.
func TestOnlyCrashesCount(t *testing.T) {
	tests := map[string]func(tracker *crash.Tracker, i int){
		"connection reset at a target that goes on": func(tracker *crash.Tracker, i int) {
			tracker.Begin(features(fingerprint), target(i)).End(crash.Lost)
		},
		"connection refused with no run lost": func(tracker *crash.Tracker, i int) {
			tracker.Begin(features(fingerprint), target(i)).End(crash.Inconclusive)
			tracker.RecordRefused(target(i))
		},
		"run completed before the target crashed": func(tracker *crash.Tracker, i int) {
			tracker.Begin(features(fingerprint), target(i)).End(crash.Completed)
			tracker.RecordRefused(target(i))
		},
		"run lost long before": func(tracker *crash.Tracker, i int) {
			tracker.Begin(features(fingerprint), target(i)).End(crash.Lost)
			time.Sleep(10 * time.Second)
			tracker.RecordRefused(target(i))
		},
		"target that leaves": func(tracker *crash.Tracker, i int) {
			tracker.MarkLeaving(target(i).ID, target(i).Started.UnixMilli())
			loseRun(tracker, fingerprint, i)
		},
		"target that serves on after its entry has gone": func(tracker *crash.Tracker, i int) {
			run := tracker.Begin(features(fingerprint), target(i))
			tracker.SetTargets(list(i))
			run.End(crash.Lost)
			tracker.RecordRefused(target(i))
		},
		"the same target again": func(tracker *crash.Tracker, _ int) { loseRun(tracker, fingerprint, 0) },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker(9)
				for i := 8; i > 0; i-- {
					lose(tracker, i)
					time.Sleep(time.Second)
				}
				if isQuarantined(tracker, fingerprint) {
					t.Error("request is quarantined, want not")
				}
			})
		})
	}
}

// Guards against missing a crash of which only the list of targets tells, such as one
// after which the host is silent, or a restart under the same ID.
func TestListOfTargetsShowsCrash(t *testing.T) {
	tests := map[string]func(listed []site.Target) []site.Target{
		"entry expires":   func(listed []site.Target) []site.Target { return listed[1:] },
		"target restarts": func(listed []site.Target) []site.Target { listed[0].Started = time.Now(); return listed },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker(9)
				listed := list(9)
				for i := range 3 {
					tracker.Begin(features(fingerprint), target(i)).End(crash.Abandoned)
					time.Sleep(4 * time.Second)
					listed = change(listed)
					tracker.SetTargets(listed)
					if name == "target restarts" {
						listed = listed[1:] // the next one restarts too
					}
				}
				if !isQuarantined(tracker, fingerprint) {
					t.Error("request is not quarantined after three crashes")
				}
			})
		})
	}
}

// A read that a team sends all the time runs at many targets at once. Guards against
// refusing it since all of them crash together or in turn.
func TestFrequentRequestSurvivesMassCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newTracker(9), newTracker(9)
		for _, tracker := range []*crash.Tracker{first, second} {
			tracker.Begin(features(fingerprint), target(8)).End(crash.Completed)
			var runs []*crash.Run
			for i := range 8 {
				runs = append(runs, tracker.Begin(features(fingerprint), target(i)))
			}
			for i, run := range runs {
				run.End(crash.Lost)
				tracker.RecordRefused(target(i))
			}
		}
		second.Merge("first", first.Report())
		if isQuarantined(first, fingerprint) || isQuarantined(second, fingerprint) {
			t.Error("request is quarantined after a mass crash")
		}
		for i := range 2 { // it crashes targets after all
			loseRun(first, fingerprint, i+2)
		}
		if !isQuarantined(first, fingerprint) {
			t.Error("request is not quarantined after three crashes, one after the other")
		}
	})
}

// Guards against counting requests that ran beside one that crashes its targets: each
// completes at the next target.
func TestCompletedRunClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(9)
		const neighbor = crash.Fingerprint(8)
		for i := range 6 {
			loseRun(tracker, neighbor, i)
			tracker.Begin(features(neighbor), target(8)).End(crash.Completed)
			if isQuarantined(tracker, neighbor) {
				t.Fatalf("request that completes is quarantined after crash %d", i+1)
			}
		}
	})
}

// Guards against losing three targets at each instance, and more at one that starts.
func TestInstancesCountTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := []*crash.Tracker{newTracker(9), newTracker(9), newTracker(9)}
		for i, tracker := range instances {
			loseRun(tracker, fingerprint, i)
			for _, other := range instances {
				other.Merge("peer", tracker.Report())
			}
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		newcomer := newTracker(9)
		newcomer.Merge("peer", instances[0].Report())
		for i, tracker := range append(instances, newcomer) {
			if !isQuarantined(tracker, fingerprint) {
				t.Errorf("request is not quarantined at instance %d", i)
			}
		}
		instances[0].Begin(features(fingerprint), target(8)).End(crash.Completed)
		for _, tracker := range append(instances, newcomer) {
			tracker.Merge("peer", instances[0].Report())
			if isQuarantined(tracker, fingerprint) {
				t.Error("request is quarantined after it has completed at another instance")
			}
		}
		instances[0].Merge("peer", newcomer.Report())
		if isQuarantined(instances[0], fingerprint) {
			t.Error("request is quarantined again by an older report")
		}
	})
}

// Reports travel back and forth between instances for as long as a request is known.
// Guards against a quarantine that never ends since each report looks a little newer.
func TestReportsDoNotProlongQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := []*crash.Tracker{newTracker(9), newTracker(9)}
		for i := range 3 {
			loseRun(instances[0], fingerprint, i)
		}
		for range 12 * 60 * 4 {
			reports := [][]crash.Suspect{instances[0].Report(), instances[1].Report()}
			time.Sleep(250 * time.Millisecond) // on their way
			instances[0].Merge("second", reports[1])
			instances[1].Merge("first", reports[0])
		}
		for i, tracker := range instances {
			if isQuarantined(tracker, fingerprint) {
				t.Errorf("instance %d: quarantined for more than 12 minutes, want 10", i)
			}
		}
	})
}

// Guards against memory and heartbeats that grow with the requests that run at
// targets which crash.
func TestSuspectsAreBounded(t *testing.T) {
	tracker := newTracker(1)
	for i := range 5000 {
		tracker.Begin(features(crash.Fingerprint(i)), target(0)).End(crash.Lost)
	}
	tracker.RecordRefused(target(0))
	if count := len(tracker.Report()); count > 56 {
		t.Errorf("suspects in a report = %d, want at most 56", count)
	}
}

// Guards against a result that depends on which instance reports first.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hashes := rapid.SliceOfN(rapid.Uint64Range(1, 3), 0, 3)
		var reports []crash.Suspect
		for range rapid.IntRange(1, 5).Draw(rt, "reports") {
			reports = append(reports, crash.Suspect{
				Fingerprint: fingerprint, Clearings: rapid.Uint32Range(0, 2).Draw(rt, "clearings"), Crashed: hashes.Draw(rt, "crashed"),
				Answered: rapid.Bool().Draw(rt, "answered"),
			})
		}
		forward, backward := crash.New(), crash.New()
		for i := range reports {
			forward.Merge("peer", reports[i:i+1])
			backward.Merge("peer", reports[len(reports)-1-i:len(reports)-i])
		}
		if isQuarantined(forward, fingerprint) != isQuarantined(backward, fingerprint) {
			rt.Errorf("quarantined after reports %v: %t, in reverse order: %t", reports, isQuarantined(forward, fingerprint), isQuarantined(backward, fingerprint))
		}
	})
}

// Guards against a fingerprint that misses a repeated request, or that is shared by
// different ones.
func TestFingerprint(t *testing.T) {
	request := func() *site.Request {
		return &site.Request{AttemptID: "1", Method: "POST", Path: "/ask/7", URI: "/ask/7?page=1", Body: []byte("body"), Header: map[string][]string{"X": {"1"}}}
	}
	base := crash.RequestFeatures("press", request())
	repeated := request()
	repeated.AttemptID, repeated.URI, repeated.Header = "2", "/ask/7?page=2", nil
	if !shareFeature(crash.RequestFeatures("press", repeated), base) {
		t.Error("a repeated request shares no feature")
	}
	for name, change := range map[string]func(*site.Request){
		"method": func(request *site.Request) { request.Method = "GET" },
		"path":   func(request *site.Request) { request.Path, request.URI = "/ask/8", "/ask/8?page=1" },
		"body":   func(request *site.Request) { request.Body = []byte("other") },
	} {
		other := request()
		change(other)
		if shareFeature(crash.RequestFeatures("press", other), base) {
			t.Errorf("a request with another %s shares a feature", name)
		}
	}
	if shareFeature(crash.RequestFeatures("council", request()), base) {
		t.Error("a request of another team shares a feature")
	}
}

func shareFeature(first, second []crash.Feature) bool {
	return slices.ContainsFunc(first, func(feature crash.Feature) bool { return slices.Contains(second, feature) })
}

// sendWaves has a request crash its targets as three instances see it: in each wave the
// caller reaches all of them within 0.2 s, before they can tell each other, and each
// runs the request at another one of the three targets. These are back 3 s later under
// new IDs. It returns the number of targets that crashed.
func sendWaves(t *testing.T, waves int, answered bool) (crashed int) {
	synctest.Test(t, func(t *testing.T) {
		instances := []*crash.Tracker{crash.New(), crash.New(), crash.New()}
		for wave := range waves {
			for _, tracker := range instances {
				tracker.SetTargets([]site.Target{target(3 * wave), target(3*wave + 1), target(3*wave + 2)})
				if answered && wave == 0 {
					tracker.Begin(features(fingerprint), target(0)).End(crash.Completed)
				}
			}
			var runs []*crash.Run
			for i, tracker := range instances {
				if !isQuarantined(tracker, fingerprint) {
					runs = append(runs, tracker.Begin(features(fingerprint), target(3*wave+i)))
				}
			}
			for i, run := range runs {
				time.Sleep(70 * time.Millisecond)
				if run.End(crash.Lost) {
					instances[i].RecordRefused(run.Target())
				}
			}
			crashed += len(runs)
			time.Sleep(100 * time.Millisecond)
			for _, from := range instances {
				for _, to := range instances {
					to.Merge("peer", from.Report())
				}
			}
			time.Sleep(4 * time.Second)
		}
	})
	return crashed
}

// Guards against losing all targets of a service again and again to a request that hits
// them at the same time.
func TestWavesThatHitAllTargets(t *testing.T) {
	if crashed := sendWaves(t, 4, false); crashed != 3 {
		t.Errorf("targets that crashed in four waves = %d, want 3", crashed)
	}
}

// Guards against counting each wave as one crash if the request has been answered
// before.
func TestWavesOfAnsweredRequest(t *testing.T) {
	if crashed := sendWaves(t, 4, true); crashed > 6 {
		t.Errorf("targets that crashed in four waves = %d, want at most 6", crashed)
	}
}

// Guards against refusing a read that most instances have not answered yet: the crash
// of a rack hits it at three targets, and only the fourth instance knows that targets
// answer it.
func TestAnswerKnownElsewhereSurvivesMassCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := []*crash.Tracker{newTracker(9), newTracker(9), newTracker(9), newTracker(9)}
		instances[3].Begin(features(fingerprint), target(8)).End(crash.Completed)
		for i, tracker := range instances[:3] {
			loseRun(tracker, fingerprint, i)
		}
		for _, from := range instances {
			for _, to := range instances {
				to.Merge("peer", from.Report())
			}
		}
		instances[0].Merge("peer", instances[3].Report())
		for i, tracker := range instances[1:] {
			tracker.Merge("peer", instances[0].Report())
			if isQuarantined(tracker, fingerprint) {
				t.Errorf("request is quarantined at instance %d after a mass crash", i+1)
			}
		}
	})
}

// Guards against an instance that has just started and refuses sound requests, or lets
// those run that crash their targets: it is told of suspects without those that explain
// their crashes.
func TestFirstReportConvictsTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for attempt := range 50 {
			engines := newEngines(t)
			again := &site.Request{Method: "POST", Path: "/ask/again"}
			for range 3 {
				engines.crash(engines.repeat(again, "other", "last"), engines.prompt("first", "deadly"))
			}
			engines.crash(engines.prompt("first", "deadly"))
			for i := range 60 {
				loseRun(engines.tracker, crash.Fingerprint(1000+i), 50+i%8)
			}
			time.Sleep(time.Minute)
			newcomer := newEngines(t)
			newcomer.tracker.Merge("peer", engines.tracker.Report())
			newcomer.expect(fmt.Sprint("attempt ", attempt), map[string]bool{"deadly": true, "first": false, "other": false})
			if _, quarantined := newcomer.tracker.Admit(newcomer.repeat(again, "last")).Quarantined(); quarantined {
				t.Errorf("attempt %d: a sound request is in quarantine", attempt)
			}
		}
	})
}
