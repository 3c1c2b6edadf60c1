package reach

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Tracker tells which services are out of reach of this instance. It is safe for
// concurrent use.
type Tracker struct {
	logger    zerolog.Logger
	startedAt time.Time
	services  atomic.Pointer[map[string]*service] // by name, replaced as a whole
	mutex     sync.Mutex                          // held while lists and phases change
}

// New returns a tracker without targets.
func New(opts ...Option) *Tracker {
	tracker := &Tracker{logger: zerolog.Nop(), startedAt: time.Now()}
	tracker.services.Store(&map[string]*service{})
	for _, opt := range opts {
		opt(tracker)
	}
	return tracker
}

// SetTargets replaces the listed targets. Services and targets that were listed
// before keep their state. A service without targets is not lost.
func (tracker *Tracker) SetTargets(targets []site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	addresses := map[string]map[string]string{}
	for _, target := range targets {
		if addresses[target.Service] == nil {
			addresses[target.Service] = map[string]string{}
		}
		addresses[target.Service][target.ID] = target.Address
	}
	for name := range addresses {
		tracker.ensure(name)
	}
	now := tracker.now()
	for name, service := range *tracker.services.Load() {
		if len(*service.targets.Load()) == 0 {
			service.receivedAt.Store(int64(now))
		}
		service.setTargets(addresses[name])
		tracker.withdraw(service, now)
	}
}

// withdraw makes a service reachable that has no targets any more, or is
// suspected because of targets that are not listed any more.
func (tracker *Tracker) withdraw(service *service, now time.Duration) {
	switch {
	case len(*service.targets.Load()) == 0:
		tracker.restore(service, "no targets", now)
	case service.currentPhase() == suspected && !service.isEnough(len(service.troubled)):
		service.phase.Store(int32(reachable))
		tracker.logger.Debug().Str("service", service.name).Msg("service not suspected any more; targets with trouble were unlisted")
	}
}

// RecordSent records that a call was sent to a target. Ended has to be called
// when the call is over, successfully or not. Unknown targets are ignored.
func (tracker *Tracker) RecordSent(service, target string) (ended func()) {
	if known, ok := tracker.service(service); ok {
		if sentTo, ok := known.target(target); ok {
			return sentTo.begin(known.numbers.Add(1), tracker.now())
		}
	}
	return func() {}
}

// RecordReceived records that a byte was received from a target of the service,
// which makes the service reachable. Unknown services are ignored.
func (tracker *Tracker) RecordReceived(service string) {
	known, ok := tracker.service(service)
	if !ok {
		return
	}
	now := tracker.now()
	known.receivedAt.Store(int64(now))
	known.dropSigns()
	known.received.Add(1)
	if known.currentPhase() != reachable {
		tracker.mutex.Lock()
		defer tracker.mutex.Unlock()
		tracker.restore(known, "byte received", now)
	}
}

// RecordUnreachable records that no connection to a target could be made. Unknown
// targets are ignored.
func (tracker *Tracker) RecordUnreachable(service, target string) {
	if known, ok := tracker.service(service); ok {
		if unreachable, ok := known.target(target); ok {
			unreachable.unreachable.Store(known.numbers.Add(1))
		}
	}
}

// RecordProbe records the result of a probe. A probe that connected makes its
// service reachable, also if it took longer than its timeout.
func (tracker *Tracker) RecordProbe(probe Probe, connected bool) {
	service, ok := tracker.service(probe.Service)
	if !ok {
		return
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if connected {
		tracker.restore(service, "probe connected", tracker.now())
		return
	}
	isProbed := func(id string) bool { return id == probe.Target }
	service.pending = slices.DeleteFunc(service.pending, isProbed)
	tracker.finishRound(service, tracker.now())
}

// NextProbes returns the connects to make now; RecordProbe takes their results. It
// has to be called every 100 ms.
func (tracker *Tracker) NextProbes() []Probe {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := tracker.now()
	services := *tracker.services.Load()
	var probes []Probe
	for _, name := range slices.Sorted(maps.Keys(services)) {
		probes = append(probes, tracker.serviceProbes(services[name], now)...)
	}
	return probes
}

func (tracker *Tracker) serviceProbes(service *service, now time.Duration) []Probe {
	if service.currentPhase() == reachable {
		tracker.suspect(service, now)
	}
	if service.currentPhase() == suspected {
		if service.isRoundShort() {
			return service.startRound(now)
		}
		if now-service.probedAt >= probeTimeout {
			service.pending = nil
		}
		tracker.finishRound(service, now)
	}
	if service.currentPhase() == lost && now-service.probedAt >= lostProbeInterval {
		return service.nextProbes(1, now)
	}
	return nil
}

// suspect makes a silent service suspected if enough of its targets have trouble.
func (tracker *Tracker) suspect(service *service, now time.Duration) {
	receivedBefore := service.received.Load()
	if service.silence(now) < silenceTimeout {
		return
	}
	troubled := service.troubledTargets(now)
	if !service.isEnough(len(troubled)) {
		return
	}
	service.troubled, service.receivedBefore = troubled, receivedBefore
	service.round, service.pending = nil, nil
	service.phase.Store(int32(suspected))
	tracker.logTrouble(tracker.logger.Debug(), service, now).Msg("service suspected; probing targets")
}

// finishRound makes a suspected service lost if all probes of its round failed.
// A byte may be received at the same time: RecordReceived counts it before it
// reads the phase, so that either of the two sees the other.
func (tracker *Tracker) finishRound(service *service, now time.Duration) {
	if service.currentPhase() != suspected || service.isRoundShort() || len(service.pending) > 0 {
		return
	}
	service.phase.Store(int32(lost))
	service.lostAt = now
	if service.received.Load() != service.receivedBefore {
		service.phase.Store(int32(suspected)) // not announced as lost yet
		tracker.restore(service, "byte received", now)
		return
	}
	close(*service.lostSignal.Load())
	tracker.logTrouble(tracker.logger.Warn(), service, now).Msg("service lost; all probes failed")
}

// restore makes a service reachable, and all signs of trouble so far count no
// more.
func (tracker *Tracker) restore(service *service, reason string, now time.Duration) {
	service.dropSigns()
	switch phase(service.phase.Swap(int32(reachable))) {
	case reachable:
	case suspected:
		tracker.logger.Debug().Str("service", service.name).Str("reason", reason).Msg("service not suspected any more")
	case lost:
		service.renewLostSignal()
		tracker.logger.Info().Str("service", service.name).Str("reason", reason).
			Int64("lost-ms", (now - service.lostAt).Milliseconds()).Msg("service reachable again")
	}
}

func (tracker *Tracker) logTrouble(event *zerolog.Event, service *service, now time.Duration) *zerolog.Event {
	return event.Str("service", service.name).
		Int64("silence-ms", service.silence(now).Milliseconds()).
		Strs("targets", service.troubled)
}

// Lost returns true if the service is out of reach now.
func (tracker *Tracker) Lost(service string) bool {
	known, ok := tracker.service(service)
	return ok && known.currentPhase() == lost
}

// LostServices returns the sorted names of the services that are out of reach now.
func (tracker *Tracker) LostServices() []string {
	var names []string
	for name, service := range *tracker.services.Load() {
		if service.currentPhase() == lost {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LostSignal returns a channel that is closed if the service is lost now, or else
// will be closed when it is next lost. A channel stays closed when the service is
// reachable again; the next call then returns another one.
func (tracker *Tracker) LostSignal(service string) <-chan struct{} {
	known, ok := tracker.service(service)
	if !ok {
		tracker.mutex.Lock()
		defer tracker.mutex.Unlock()
		known = tracker.ensure(service)
	}
	return *known.lostSignal.Load()
}

func (tracker *Tracker) service(name string) (*service, bool) {
	service, ok := (*tracker.services.Load())[name]
	return service, ok
}

// ensure returns the service of that name, and adds it without targets if it is
// unknown. Services are kept when their targets are unlisted, since callers may
// wait for their signals.
func (tracker *Tracker) ensure(name string) *service {
	if service, ok := tracker.service(name); ok {
		return service
	}
	services := maps.Clone(*tracker.services.Load())
	services[name] = newService(name, tracker.now())
	tracker.services.Store(&services)
	return services[name]
}

func (tracker *Tracker) now() time.Duration {
	return time.Since(tracker.startedAt)
}
