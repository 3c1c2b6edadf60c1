package reach

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// service is what is known of one service. Times are since the start of the
// tracker.
type service struct {
	name string

	// Written on the path of requests.
	phase      atomic.Int32
	targets    atomic.Pointer[map[string]*target] // by ID, replaced as a whole
	numbers    atomic.Uint64                      // calls and unreachable records so far
	signsAfter atomic.Uint64                      // signs count if their number is above
	received   atomic.Uint64                      // calls of RecordReceived
	receivedAt atomic.Int64                       // newest byte; before any, when the service was listed

	lostSignal atomic.Pointer[chan struct{}]

	// Guarded by the tracker's mutex.
	troubled         []string      // IDs of the targets that made the service suspected, sorted
	receivedBefore   uint64        // received when the service was suspected
	round            []string      // IDs of the targets that the suspected service is probed at
	pending          []string      // those of round without a result
	probedAt         time.Duration // start of the newest probes
	lostAt           time.Duration
	lastProbedTarget string
}

func newService(name string, now time.Duration) *service {
	service := &service{name: name}
	service.targets.Store(&map[string]*target{})
	service.receivedAt.Store(int64(now))
	service.renewLostSignal()
	return service
}

func (service *service) renewLostSignal() {
	signal := make(chan struct{})
	service.lostSignal.Store(&signal)
}

func (service *service) currentPhase() phase {
	return phase(service.phase.Load())
}

func (service *service) target(id string) (*target, bool) {
	target, ok := (*service.targets.Load())[id]
	return target, ok
}

// dropSigns makes all signs of trouble so far count no more.
func (service *service) dropSigns() {
	service.signsAfter.Store(service.numbers.Load())
}

func (service *service) silence(now time.Duration) time.Duration {
	return now - time.Duration(service.receivedAt.Load())
}

// troubledTargets returns the sorted IDs of the targets with signs of trouble.
func (service *service) troubledTargets(now time.Duration) []string {
	after := service.signsAfter.Load()
	var troubled []string
	for id, target := range *service.targets.Load() {
		if target.isTroubled(after, now) {
			troubled = append(troubled, id)
		}
	}
	slices.Sort(troubled)
	return troubled
}

// isEnough returns true if so many targets with trouble make the service suspected.
func (service *service) isEnough(troubled int) bool {
	return troubled > 0 && troubled >= min(minTroubled, len(*service.targets.Load()))
}

// setTargets replaces the targets. Those that were listed before keep their state.
func (service *service) setTargets(addresses map[string]string) {
	targets := make(map[string]*target, len(addresses))
	for id, address := range addresses {
		target, ok := service.target(id)
		if !ok {
			target = newTarget()
		}
		target.address = address
		targets[id] = target
	}
	service.targets.Store(&targets)
	isUnlisted := func(id string) bool { return targets[id] == nil }
	service.troubled = slices.DeleteFunc(service.troubled, isUnlisted)
	service.round = slices.DeleteFunc(service.round, isUnlisted)
	service.pending = slices.DeleteFunc(service.pending, isUnlisted)
}

// startRound returns the probes of a suspected service.
func (service *service) startRound(now time.Duration) []Probe {
	probes := service.nextProbes(probesPerRound, now)
	service.round, service.pending = nil, nil
	for _, probe := range probes {
		service.round = append(service.round, probe.Target)
		service.pending = append(service.pending, probe.Target)
	}
	return probes
}

// isRoundShort returns true if no round has begun, or targets of it were unlisted
// although others could be probed.
func (service *service) isRoundShort() bool {
	return len(service.round) < min(probesPerRound, len(*service.targets.Load()))
}

// nextProbes returns probes of up to count distinct targets, in turn.
func (service *service) nextProbes(count int, now time.Duration) []Probe {
	service.probedAt = now
	targets := *service.targets.Load()
	ids := slices.Sorted(maps.Keys(targets))
	var probes []Probe
	for range min(count, len(ids)) {
		id := following(ids, service.lastProbedTarget)
		service.lastProbedTarget = id
		probes = append(probes, Probe{Service: service.name, Target: id, Address: targets[id].address})
	}
	return probes
}

// following returns the first of the sorted IDs after id, or the first of all.
func following(ids []string, id string) string {
	index, found := slices.BinarySearch(ids, id)
	if found {
		index++
	}
	return ids[index%len(ids)]
}
