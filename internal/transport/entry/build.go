package entry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mangopier.example/mangopier/internal/coordination/admit"
	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/once"
	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/coordination/retry"
	"mangopier.example/mangopier/internal/coordination/route"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/front"
	"mangopier.example/mangopier/internal/transport/peer"
	"mangopier.example/mangopier/internal/transport/plat"
	"mangopier.example/mangopier/internal/transport/relay"
)

const (
	serviceBacklogCalls = 64.0 // calls in flight per plain service
	tableCopyInterval   = time.Second
	innerBodyBytes      = 64 << 20
)

// queues are the admission of requests for engines and for services.
type queues struct {
	engines  admit.Admitter
	services admit.Admitter
}

func (instance *Instance) build() {
	settings := instance.settings
	instance.platform = plat.New(settings.Platform)
	instance.peers = peer.NewClient()
	instance.client = back.New(back.WithDialTimeout(conf.Milliseconds(settings.Timeouts.DialMS)))
	instance.buildMembers()
	instance.buildUsage()
	instance.buildRelay()
	instance.watcher = newWatcher(instance)
	instance.control = newControl(instance)
	instance.buildServers()
}

func (instance *Instance) buildMembers() {
	settings := instance.settings
	self := gossip.Instance{ID: settings.Instance, DataCenter: settings.DataCenter, Address: settings.PeerListen}
	instance.members = gossip.New(self, lister{instance.platform}, instance.peers,
		gossip.WithLogger(instance.logger), gossip.WithRegisterer(instance.registry))
	instance.feed = feed.New(instance.platform,
		feed.WithPeers(instance.members), feed.WithLogger(instance.logger), feed.WithRegisterer(instance.registry))
	instance.members.Follow(instance.feed)
}

func (instance *Instance) buildUsage() {
	settings := instance.settings
	opts := []usage.Option{
		usage.WithLogger(instance.logger),
		usage.WithWindowLength(conf.Milliseconds(settings.Usage.WindowMS)),
		usage.WithHeartbeatInterval(copyHeartbeat),
		usage.WithCopyTimeout(conf.Milliseconds(settings.Usage.CopyMS)),
	}
	instance.holder = usage.NewReplicaStore(settings.Instance, append(opts, usage.WithRegisterer(instance.registry))...)
	distant := &replica{instance: instance, distant: true}
	near := &replica{instance: instance}
	inTable := usage.NewTableReplica(instance.platform, tableCopyInterval)
	instance.meter = usage.NewMeter(settings.Instance, distant,
		append(opts, usage.WithFallbackReplicas(near, inTable), usage.WithReplicaStore(instance.holder),
			usage.WithRegisterer(instance.registry))...)
}

func (instance *Instance) buildRelay() {
	settings := instance.settings
	distances := map[string]time.Duration{}
	for name, delay := range settings.DistancesMS {
		distances[name] = time.Duration(delay * float64(time.Millisecond))
	}
	instance.targets = route.NewTable(route.WithInstance(settings.Instance), route.WithDistances(distances))
	silence := conf.Milliseconds(settings.Timeouts.SilenceMS)
	instance.health = health.New(health.WithSilenceTimeout(silence, time.Second))
	instance.poison = poison.New()
	instance.guard = once.New(instance.platform, once.WithObjects(instance.platform),
		once.WithLogger(instance.logger), once.WithRegisterer(instance.registry))
	instance.queues = queues{
		engines:  instance.admitter(settings.Limits.QueueSeconds),
		services: instance.admitter(float64(settings.Limits.QueueRequests)),
	}
	instance.relay = relay.New(settings.Instance, instance.feed, instance.targets, instance.client,
		relay.WithPicker(pickerFor(settings.Policy.Routing)),
		relay.WithAdmission(instance.queues.engines, instance.queues.services),
		relay.WithPolicy(retriesFor(settings)),
		relay.WithHealth(instance.health),
		relay.WithPoison(instance.poison),
		relay.WithGuard(instance.guard),
		relay.WithMeter(instance.meter),
		relay.WithTimeout(conf.Milliseconds(settings.Timeouts.RequestMS)),
		relay.WithLogger(instance.logger),
		relay.WithTracer(instance.tracer),
		relay.WithRegisterer(instance.registry),
	)
}

func pickerFor(policy string) route.Picker {
	switch policy {
	case "round-robin":
		return &route.RoundRobin{}
	case "random":
		return &route.Random{}
	case "least-outstanding":
		return &route.LeastOutstanding{}
	default:
		return route.New()
	}
}

func retriesFor(settings conf.Settings) *retry.Policy {
	switch settings.Policy.Retries {
	case "none":
		return retry.New(retry.WithMaxAttempts(1))
	case "unbounded":
		return retry.New(retry.WithMaxAttempts(unboundedTries), retry.WithBudget(retry.NewBudget(unboundedTries, 1e9, 1e9)))
	default:
		return retry.New(retry.WithMaxAttempts(settings.Limits.Attempts))
	}
}

// unboundedTries is far more than there are targets for a request.
const unboundedTries = 100

// bucketRate is the rate of the token bucket for each team, in seconds of an
// engine per second.
const bucketRate = 2.0

// admitter returns the admission by the settings, in which so many cost units
// of a team may wait.
func (instance *Instance) admitter(units float64) admit.Admitter {
	limits := instance.settings.Limits
	queue := admit.WithQueueLimits(limits.QueueRequests, units)
	switch instance.settings.Policy.Admission {
	case "first-come":
		return admit.NewFIFO(queue)
	case "token-bucket":
		return admit.NewTokenBucket(bucketRate, bucketRate)
	default:
		return admit.New(queue)
	}
}

func (instance *Instance) buildServers() {
	settings := instance.settings
	limits := front.DefaultLimits()
	limits.BodyBytes = settings.Limits.BodyBytes
	limits.TotalBodyBytes = settings.Limits.AllBodiesBytes
	limits.HeaderBytes = settings.Limits.HeaderBytes
	limits.Connections = settings.Limits.Connections
	limits.RequestTimeout = conf.Milliseconds(settings.Timeouts.ArrivalMS)
	instance.callers = front.New(settings.Listen, instance.relay, front.WithLimits(limits))

	inner := front.DefaultLimits()
	inner.BodyBytes, inner.TotalBodyBytes, inner.WriteBufferBytes = innerBodyBytes, 2*innerBodyBytes, 2*innerBodyBytes
	instance.inner = front.New(settings.PeerListen, instance.innerHandler(), front.WithLimits(inner))
}

func (instance *Instance) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(peer.Handlers{
		Exchanger: instance.members,
		Reporter:  instance,
		Copier:    &copier{instance: instance},
		Collector: &copier{instance: instance},
		Dropper:   instance,
		Notes:     instance.feed,
	}))
	mux.Handle("GET /metrics", promhttp.HandlerFor(instance.registry, promhttp.HandlerOpts{}))
	return mux
}
