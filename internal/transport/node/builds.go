package node

import (
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Abilities of this build that decisions of several instances rely on. Instances tell
// theirs in heartbeats; those of builds without the field have none.
const (
	abilitySuspects = "suspects"          // counts crashes against requests and refuses those in quarantine
	abilityParts    = "prompt-parts"      // counts crashes against parts of prompts and refuses those in quarantine
	abilityLimits   = "limits"            // keeps to its share of the limits that targets name
	abilityVersions = "software-versions" // has streams go on at the software version that began them
	abilityKeeps    = "stream-origins"    // keeps the software versions of streams that begin at other instances
)

// Abilities returns the abilities of this build, sorted.
func Abilities() []string {
	return []string{abilityLimits, abilityParts, abilityVersions, abilityKeeps, abilitySuspects}
}

// Option configures a Node.
type Option func(*Node)

// WithBuild sets the name of this build, which the other instances are told.
func WithBuild(name string) Option {
	return func(node *Node) { node.build = name }
}

// WithCollector adds metrics to those that the instance serves.
func WithCollector(collector prometheus.Collector) Option {
	return func(node *Node) { node.registry.MustRegister(collector) }
}

// memberBuild is what another instance tells of its build.
type memberBuild struct {
	build     string
	abilities []string
}

// memberBuilds keeps the builds of the other instances.
type memberBuilds struct {
	logger zerolog.Logger
	gauge  *prometheus.GaugeVec // live instances that are known to have an ability

	mutex   sync.Mutex
	members map[string]memberBuild // by instance
}

func newMemberBuilds(registerer prometheus.Registerer, logger zerolog.Logger) *memberBuilds {
	builds := &memberBuilds{
		logger:  logger.With().Str("part", "node").Logger(),
		gauge:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "mangopier_instances_able", Help: "Other live instances by ability of their build."}, []string{"ability"}),
		members: map[string]memberBuild{},
	}
	registerer.MustRegister(builds.gauge)
	for _, ability := range Abilities() {
		builds.gauge.WithLabelValues(ability).Set(0)
	}
	return builds
}

// update replaces what is known of an instance.
func (builds *memberBuilds) update(instance, build string, abilities []string) {
	builds.mutex.Lock()
	defer builds.mutex.Unlock()
	known, ok := builds.members[instance]
	if ok && known.build == build && slices.Equal(known.abilities, abilities) {
		return
	}
	builds.members[instance] = memberBuild{build, abilities}
	builds.logger.Info().Str("peer", instance).Str("build", build).Strs("abilities", abilities).Msg("build of another instance")
	builds.count()
}

// remove forgets an instance that is down.
func (builds *memberBuilds) remove(instance string) {
	builds.mutex.Lock()
	defer builds.mutex.Unlock()
	delete(builds.members, instance)
	builds.count()
}

// isAble reports whether an instance has told that it has an ability.
func (builds *memberBuilds) isAble(instance, ability string) bool {
	builds.mutex.Lock()
	defer builds.mutex.Unlock()
	return slices.Contains(builds.members[instance].abilities, ability)
}

func (builds *memberBuilds) count() {
	for _, ability := range Abilities() {
		able := 0
		for _, member := range builds.members {
			if slices.Contains(member.abilities, ability) {
				able++
			}
		}
		builds.gauge.WithLabelValues(ability).Set(float64(able))
	}
}
