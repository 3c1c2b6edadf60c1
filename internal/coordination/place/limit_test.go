package place_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
)

var limitedTarget = site.Target{ID: "s1", Service: "desk", Slots: 6, Started: time.UnixMilli(1_771_142_700_000)}

// limitFleet is a fleet of instances that all have requests for one target.
type limitFleet struct {
	names     []string
	instances []*place.Scheduler
	arrivals  []time.Time
}

func newLimitFleet(count int) *limitFleet {
	fleet := &limitFleet{}
	for i := range count {
		fleet.names = append(fleet.names, fmt.Sprintf("front-%03d", i))
		fleet.instances = append(fleet.instances, newScheduler(limitedTarget))
	}
	return fleet
}

// knowEachOther tells each instance the names of all that know of it.
func (fleet *limitFleet) knowEachOther(knows func(instance, other int) bool) {
	for i, scheduler := range fleet.instances {
		var members []string
		for j, name := range fleet.names {
			if knows(i, j) {
				members = append(members, name)
			}
		}
		scheduler.SetMembers(fleet.names[i], members)
	}
}

func everyone(int, int) bool { return true }

// nameLimit has all instances know of a limit.
func (fleet *limitFleet) nameLimit(perSecond float64) {
	for _, scheduler := range fleet.instances {
		scheduler.MarkLimited(limitedTarget.ID, perSecond)
	}
}

// run has each instance send all requests that it may for some time.
func (fleet *limitFleet) run(length time.Duration) {
	const step = 50 * time.Millisecond
	for range int(length / step) {
		for _, scheduler := range fleet.instances {
			for {
				assignment, _, ok := scheduler.AssignCall("desk", nil)
				if !ok {
					break
				}
				scheduler.Release(&assignment)
				fleet.arrivals = append(fleet.arrivals, time.Now())
			}
		}
		time.Sleep(step)
	}
}

// most returns the largest number of requests within 4 s.
func (fleet *limitFleet) most() int {
	most, first := 0, 0
	for last, arrival := range fleet.arrivals {
		for arrival.Sub(fleet.arrivals[first]) >= 4*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowedIn4s(perSecond float64) int { return int(math.Floor(1.5*4*perSecond + 5)) }

// Guards against a fleet whose instances together exceed the limit of a target, or that
// leaves much of it unused, for limits far below and above one request an instance.
func TestFleetSharesLimit(t *testing.T) {
	for _, count := range []int{1, 6, 195, 950} {
		for _, perSecond := range []float64{0, 0.2, 1, 1.8, 4.8, 50, 400} {
			t.Run(fmt.Sprintf("%d instances, %g a second", count, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newLimitFleet(count)
					fleet.knowEachOther(everyone)
					fleet.nameLimit(perSecond)
					fleet.run(20 * time.Second)
					if most := fleet.most(); most > allowedIn4s(perSecond) {
						t.Errorf("requests in 4 s = %d, want at most %d", most, allowedIn4s(perSecond))
					}
					if used := float64(len(fleet.arrivals)); used < 0.7*20*perSecond {
						t.Errorf("requests in 20 s = %g, want at least 0.7 of the limit, %g", used, 0.7*20*perSecond)
					}
				})
			})
		}
	}
}

// Instances learn at different times of one that joins or leaves. Guards against
// exceeding the limit while their views differ.
func TestFleetSharesLimitWhileViewsDiffer(t *testing.T) {
	for _, perSecond := range []float64{0.2, 1, 1.8, 4.8, 50} {
		for _, count := range []int{7, 195} {
			t.Run(fmt.Sprintf("%d instances, %g a second", count, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newLimitFleet(count)
					fleet.nameLimit(perSecond)
					newcomer := 3
					fleet.knowEachOther(func(i, j int) bool { return i != newcomer && j != newcomer })
					fleet.run(6 * time.Second)
					fleet.knowEachOther(func(i, j int) bool { return j != newcomer || i%2 == 1 })
					fleet.run(6 * time.Second)
					fleet.knowEachOther(everyone)
					fleet.run(6 * time.Second)
					fleet.knowEachOther(func(i, j int) bool { return j != newcomer || i%2 == 0 })
					fleet.run(6 * time.Second)
					if most := fleet.most(); most > allowedIn4s(perSecond) {
						t.Errorf("requests in 4 s = %d, want at most %d", most, allowedIn4s(perSecond))
					}
				})
			})
		}
	}
}

// Guards against refilling the shares with each change of the limit.
func TestLimitThatChangesEachSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newLimitFleet(6)
		fleet.knowEachOther(everyone)
		for _, perSecond := range []float64{4.8, 3, 1.8, 3, 1, 2, 1.8, 4, 3} {
			fleet.nameLimit(perSecond)
			fleet.run(time.Second)
		}
		if most := fleet.most(); most > allowedIn4s(2.2) {
			t.Errorf("requests in 4 s = %d, want at most %d, those of the least mean of 4 s", most, allowedIn4s(2.2))
		}
	})
}

// Guards against ending a limit by an answer that was on its way when it was named, and
// against keeping it when the target has ended it or was restarted.
func TestLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler, other := newScheduler(limitedTarget), newScheduler(limitedTarget)
		isLimited := func(scheduler *place.Scheduler) bool {
			scheduler.SetMembers("a", nil)
			_, _, ok := scheduler.AssignCall("desk", nil)
			return !ok
		}
		sentAt := time.Now()
		time.Sleep(time.Second)
		if !scheduler.MarkLimited("s1", 2) || scheduler.MarkLimited("s1", 2) {
			t.Error("MarkLimited() tells something else than that it is new the first time only")
		}
		if scheduler.MarkUnlimited("s1", sentAt) || !isLimited(scheduler) {
			t.Error("an answer to an earlier request ends the limit")
		}
		time.Sleep(time.Second)
		other.MergeLimits(scheduler.Limits())
		if !isLimited(other) {
			t.Error("another instance is not told of the limit")
		}
		if !scheduler.MarkUnlimited("s1", time.Now()) || isLimited(scheduler) {
			t.Error("an answer without a limit to a later request does not end it")
		}
		scheduler.MergeLimits(other.Limits()) // sent before the other one learns of it
		if isLimited(scheduler) {
			t.Error("an older report brings the limit back")
		}
		if changed := other.MergeLimits(scheduler.Limits()); len(changed) != 1 || !changed[0].Lifted || isLimited(other) {
			t.Errorf("MergeLimits() = %v, want the end of the limit", changed)
		}
		scheduler.MarkLimited("s1", 2)
		reports := scheduler.Limits()
		restarted := limitedTarget
		restarted.Started = restarted.Started.Add(time.Minute)
		scheduler.SetTargets([]site.Target{restarted}, services)
		if isLimited(scheduler) || len(scheduler.MergeLimits(reports)) != 0 || isLimited(scheduler) {
			t.Error("the limit of the last run of the target counts for the new one")
		}
	})
}

// The end of a limit may reach an instance neither by an answer nor by a report. Guards
// against leaving the target alone for good.
func TestInstanceWithoutShareAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newLimitFleet(1)
		fleet.nameLimit(2)
		fleet.run(10 * time.Minute)
		if count := len(fleet.arrivals); count < 2 || count > 10 {
			t.Errorf("requests in 10 minutes = %d, want one every one or two", count)
		}
	})
}

// Guards against refusing without the time until a share is free, when all targets
// name limits.
func TestQuietTimeOfLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newLimitFleet(1)
		fleet.knowEachOther(everyone)
		scheduler := fleet.instances[0]
		if _, quiet := scheduler.QuietTime("desk", site.NoStage); quiet {
			t.Error("QuietTime() without a limit = true, want false")
		}
		scheduler.MarkLimited("s1", 2)
		length, quiet := scheduler.QuietTime("desk", site.NoStage)
		if !quiet || length <= 0 || length > time.Second {
			t.Errorf("QuietTime() = %v, %t, want up to 1s, true", length, quiet)
		}
		time.Sleep(length + time.Millisecond)
		if _, _, ok := scheduler.AssignCall("desk", nil); !ok {
			t.Error("AssignCall() after that time finds no target")
		}
	})
}

// Guards against heartbeats that outgrow a datagram when many targets name limits.
func TestReportedLimitsAreBounded(t *testing.T) {
	var targets []site.Target
	for i := range 200 {
		targets = append(targets, site.Target{ID: fmt.Sprint("s", i), Service: "desk"})
	}
	scheduler := newScheduler(targets...)
	for _, target := range targets {
		scheduler.MarkLimited(target.ID, 1)
	}
	if count := len(scheduler.Limits()); count != 64 {
		t.Errorf("Limits() = %d targets, want 64", count)
	}
}
