package place

import (
	"slices"
	"time"
)

// LoadReport is the report of an instance to the others about its work in flight.
type LoadReport struct {
	Loads    []TargetLoad    `cbor:"1,keyasint,omitempty"`
	Prefills []PrefillNotice `cbor:"2,keyasint,omitempty"` // begun since the last report to the same instances
}

// TargetLoad is the work of one instance at a target.
type TargetLoad struct {
	Target    string             `cbor:"1,keyasint"`
	PrefillMS [tierCount]float32 `cbor:"2,keyasint"` // by urgency tier
	InFlight  int                `cbor:"3,keyasint"`
	KVTokens  int                `cbor:"4,keyasint"`
}

// PrefillNotice announces that the prefill of a prompt with these parts was
// begun at an engine.
type PrefillNotice struct {
	Target string       `cbor:"1,keyasint"`
	Parts  []hashedPart `cbor:"2,keyasint"`
	// ExpectedMS is the expected time until the prefill is complete.
	ExpectedMS float32 `cbor:"3,keyasint"`
}

// peer is the latest report of another instance.
type peer struct {
	report     LoadReport
	current    []TargetLoad // the loads that still count
	receivedAt time.Time
}

const (
	// workDecayDelay is how long reported prefill work counts in full: the
	// interval between two reports of a nearby instance.
	workDecayDelay = 250 * time.Millisecond
	// inFlightTTL is how long reported requests and calls count: about the
	// duration of one.
	inFlightTTL = 3 * time.Second
)

// decay computes from the report the loads that can still be in flight. Engines
// keep working off their queues while no newer report arrives.
func (peer *peer) decay(now time.Time) {
	age := now.Sub(peer.receivedAt)
	doneMS := float32(max(0, age-workDecayDelay)) / float32(time.Millisecond)
	peer.current = peer.current[:0]
	for _, load := range peer.report.Loads {
		for tier := range load.PrefillMS {
			load.PrefillMS[tier] = max(0, load.PrefillMS[tier]-doneMS)
		}
		if age > inFlightTTL {
			load.InFlight, load.KVTokens = 0, 0
		}
		peer.current = append(peer.current, load)
	}
}

// reportTTL is how long a report counts at most. Reports of instances that
// stopped sending heartbeats are removed earlier.
const reportTTL = 20 * time.Second

// maxNotices limits the prefill notices of one report. It covers ten seconds at
// ten requests a second.
const maxNotices = 100

// BuildReport returns the report of this instance with the prefills that it began in
// the last rounds. Instances that get a report in every round need rounds = 1.
func (scheduler *Scheduler) BuildReport(rounds int) LoadReport {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.recomputePeerLoads(time.Now())
	var report LoadReport
	for id, state := range scheduler.targets {
		if state.ownLoad == (Load{}) {
			continue
		}
		load := TargetLoad{Target: id, InFlight: state.ownLoad.InFlight, KVTokens: state.ownLoad.KVTokens}
		for tier, work := range state.ownLoad.PrefillMS {
			load.PrefillMS[tier] = float32(work)
		}
		report.Loads = append(report.Loads, load)
	}
	report.Prefills = scheduler.recentNotices(rounds)
	return report
}

// EndReportRound ends the current round of reports. Prefills that are older than
// maxRounds rounds are dropped.
func (scheduler *Scheduler) EndReportRound() {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.round++
	scheduler.recentPrefills = slices.DeleteFunc(scheduler.recentPrefills, func(notice roundNotice) bool { return notice.round <= scheduler.round-maxRounds })
}

// maxRounds is the number of rounds that one report can cover.
const maxRounds = 32

// roundNotice is a prefill notice with the round in which the prefill began.
type roundNotice struct {
	PrefillNotice

	round int
}

// recordPrefill keeps a notice for the next reports, without the last part of
// the prompt, which no other prompt shares.
func (scheduler *Scheduler) recordPrefill(notice PrefillNotice) {
	if len(notice.Parts) > 1 {
		notice.Parts = notice.Parts[:len(notice.Parts)-1]
	}
	if len(scheduler.recentPrefills) == maxRounds*maxNotices {
		scheduler.recentPrefills = slices.Delete(scheduler.recentPrefills, 0, 1)
	}
	scheduler.recentPrefills = append(scheduler.recentPrefills, roundNotice{notice, scheduler.round})
}

// recentNotices returns the newest notices of the last rounds, at most
// maxNotices.
func (scheduler *Scheduler) recentNotices(rounds int) []PrefillNotice {
	var notices []PrefillNotice
	for _, notice := range scheduler.recentPrefills {
		if notice.round > scheduler.round-rounds {
			notices = append(notices, notice.PrefillNotice)
		}
	}
	return notices[max(0, len(notices)-maxNotices):]
}

// MergeReport replaces the last report of another instance by a newer one.
func (scheduler *Scheduler) MergeReport(instance string, report LoadReport) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	for _, notice := range report.Prefills {
		if state, ok := scheduler.targets[notice.Target]; ok && state.cache != nil {
			expected := time.Duration(notice.ExpectedMS * float32(time.Millisecond))
			state.cache.add(notice.Parts, now.Add(expected))
		}
	}
	report.Prefills = nil
	if previous, ok := scheduler.peers[instance]; ok {
		scheduler.addPeerLoads(previous.current, -1)
	}
	added := &peer{report: report, receivedAt: now}
	added.decay(now)
	scheduler.peers[instance] = added
	scheduler.addPeerLoads(added.current, 1)
}

// RemoveReport removes the report of an instance that stopped sending heartbeats.
func (scheduler *Scheduler) RemoveReport(instance string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	delete(scheduler.peers, instance)
	scheduler.recomputePeerLoads(time.Now())
}

// recomputePeerLoads sums the loads that the peers' reports still count for and
// removes expired reports.
func (scheduler *Scheduler) recomputePeerLoads(now time.Time) {
	for _, state := range scheduler.targets {
		state.peerLoad = Load{}
	}
	for instance, peer := range scheduler.peers {
		if now.Sub(peer.receivedAt) > reportTTL {
			delete(scheduler.peers, instance)
			continue
		}
		peer.decay(now)
		scheduler.addPeerLoads(peer.current, 1)
	}
}

// addPeerLoads adds the loads of a peer, or subtracts them if sign is -1.
func (scheduler *Scheduler) addPeerLoads(loads []TargetLoad, sign float64) {
	for i := range loads {
		scheduler.addPeerLoad(&loads[i], sign)
	}
}

func (scheduler *Scheduler) addPeerLoad(reported *TargetLoad, sign float64) {
	state, ok := scheduler.targets[reported.Target]
	if !ok {
		return
	}
	load := Load{InFlight: reported.InFlight, KVTokens: reported.KVTokens}
	for tier, work := range reported.PrefillMS {
		load.PrefillMS[tier] = float64(work)
	}
	state.peerLoad.add(&load, sign)
}
