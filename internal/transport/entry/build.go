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
	serviceCapacityCalls = 64.0 // capacity of a plain service, in calls in flight
	tableReplicaInterval = time.Second
	peerBodyBytes        = 64 << 20
)

// admitters hold the admission control for requests to engines and to services.
type admitters struct {
	engines  admit.Admitter
	services admit.Admitter
}

func (instance *Instance) build() {
	settings := instance.settings
	instance.platform = plat.NewClient(settings.PlatformAddress)
	instance.peerClient = peer.NewClient()
	instance.targetClient = back.New(back.WithDialTimeout(conf.Milliseconds(settings.Timeouts.DialMS)))
	instance.buildMembers()
	instance.buildUsage()
	instance.buildRequestPath()
	instance.watcher = newTargetWatcher(instance)
	instance.coordinator = newCoordinator(instance)
	instance.buildServers()
}

func (instance *Instance) buildMembers() {
	settings := instance.settings
	self := gossip.Instance{ID: settings.Instance, DataCenter: settings.DataCenter, PeerAddress: settings.PeerListenAddress}
	instance.members = gossip.New(self, instanceLister{instance.platform}, instance.peerClient,
		gossip.WithLogger(instance.logger), gossip.WithRegisterer(instance.registry))
	instance.noteFeed = feed.New(instance.platform,
		feed.WithPeers(instance.members), feed.WithLogger(instance.logger), feed.WithRegisterer(instance.registry))
	instance.members.SetNoteFeed(instance.noteFeed)
}

func (instance *Instance) buildUsage() {
	settings := instance.settings
	opts := []usage.Option{
		usage.WithLogger(instance.logger),
		usage.WithWindowLength(conf.Milliseconds(settings.Usage.WindowMS)),
		usage.WithHeartbeatInterval(copyHeartbeatInterval),
		usage.WithCopyTimeout(conf.Milliseconds(settings.Usage.CopyMS)),
	}
	instance.replicaStore = usage.NewReplicaStore(settings.Instance, append(opts, usage.WithRegisterer(instance.registry))...)
	remoteReplica := &peerReplica{instance: instance, otherDataCenter: true}
	anyReplica := &peerReplica{instance: instance}
	tableReplica := usage.NewTableReplica(instance.platform, tableReplicaInterval)
	instance.meter = usage.NewMeter(settings.Instance, remoteReplica,
		append(opts, usage.WithFallbackReplicas(anyReplica, tableReplica), usage.WithReplicaStore(instance.replicaStore),
			usage.WithRegisterer(instance.registry))...)
}

func (instance *Instance) buildRequestPath() {
	settings := instance.settings
	delays := map[string]time.Duration{}
	for name, delay := range settings.DataCenterDelaysMS {
		delays[name] = time.Duration(delay * float64(time.Millisecond))
	}
	instance.routingTable = route.NewTable(route.WithInstance(settings.Instance), route.WithDataCenterDelays(delays))
	silenceTimeout := conf.Milliseconds(settings.Timeouts.SilenceMS)
	instance.healthTracker = health.New(health.WithSilenceTimeout(silenceTimeout, time.Second))
	instance.poisonTracker = poison.New()
	instance.deduplicator = once.New(instance.platform, once.WithObjectStore(instance.platform),
		once.WithLogger(instance.logger), once.WithRegisterer(instance.registry))
	instance.admitters = admitters{
		engines:  instance.newAdmitter(settings.Limits.QueueSeconds),
		services: instance.newAdmitter(float64(settings.Limits.QueueRequests)),
	}
	instance.relay = relay.New(settings.Instance, instance.noteFeed, instance.routingTable, instance.targetClient,
		relay.WithPicker(newPicker(settings.Policy.Routing)),
		relay.WithAdmission(instance.admitters.engines, instance.admitters.services),
		relay.WithRetryPolicy(newRetryPolicy(settings)),
		relay.WithHealthTracker(instance.healthTracker),
		relay.WithPoisonTracker(instance.poisonTracker),
		relay.WithDeduplicator(instance.deduplicator),
		relay.WithUsageRecorder(instance.meter),
		relay.WithRequestTimeout(conf.Milliseconds(settings.Timeouts.RequestMS)),
		relay.WithLogger(instance.logger),
		relay.WithTracer(instance.tracer),
		relay.WithRegisterer(instance.registry),
	)
}

func newPicker(policy string) route.Picker {
	switch policy {
	case "round-robin":
		return &route.RoundRobin{}
	case "random":
		return &route.Random{}
	case "least-outstanding":
		return &route.LeastOutstanding{}
	default:
		return route.NewCostPicker()
	}
}

func newRetryPolicy(settings conf.Settings) *retry.Policy {
	switch settings.Policy.Retries {
	case "none":
		return retry.New(retry.WithMaxAttempts(1))
	case "unbounded":
		return retry.New(retry.WithMaxAttempts(unboundedMaxAttempts), retry.WithBudget(retry.NewBudget(unboundedMaxAttempts, 1e9, 1e9)))
	default:
		return retry.New(retry.WithMaxAttempts(settings.Limits.MaxAttempts))
	}
}

// unboundedMaxAttempts exceeds the number of targets that a request can be sent to
// by far, so the number of attempts is never the limit.
const unboundedMaxAttempts = 100

// tokenBucketRate is the refill rate and the burst of each team's token bucket,
// in engine-seconds per second and engine-seconds.
const tokenBucketRate = 2.0

// newAdmitter returns the admission policy that the settings name. At most
// queuedCost cost units of one team may wait in its queue.
func (instance *Instance) newAdmitter(queuedCost float64) admit.Admitter {
	limits := instance.settings.Limits
	queue := admit.WithQueueLimits(limits.QueueRequests, queuedCost)
	switch instance.settings.Policy.Admission {
	case "first-come":
		return admit.NewFIFO(queue)
	case "token-bucket":
		return admit.NewTokenBucket(tokenBucketRate, tokenBucketRate)
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
	instance.callerServer = front.New(settings.ListenAddress, instance.relay, front.WithLimits(limits))

	peerLimits := front.DefaultLimits()
	peerLimits.BodyBytes, peerLimits.TotalBodyBytes, peerLimits.WriteBufferBytes = peerBodyBytes, 2*peerBodyBytes, 2*peerBodyBytes
	instance.peerServer = front.New(settings.PeerListenAddress, instance.peerHandler(), front.WithLimits(peerLimits))
}

func (instance *Instance) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(peer.Handlers{
		Exchanger:      instance.members,
		StatusReporter: instance,
		UsageCopier:    &usageHandler{instance: instance},
		UsageCollector: &usageHandler{instance: instance},
		TicketDropper:  instance,
		NoteFetcher:    instance.noteFeed,
	}))
	mux.Handle("GET /metrics", promhttp.HandlerFor(instance.registry, promhttp.HandlerOpts{}))
	return mux
}
