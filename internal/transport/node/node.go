// Package node assembles one entry instance of a site. The instance follows the
// manifest and the list of targets, exchanges heartbeats with its peers,
// competes for the lease under which one instance carries out the site's
// duties, and serves callers.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/boots"
	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/coordination/duty"
	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/origin"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/coordination/reach"
	"mangopier.example/mangopier/internal/coordination/tally"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/roster"
	"mangopier.example/mangopier/internal/state/table"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/detour"
	"mangopier.example/mangopier/internal/transport/front"
	"mangopier.example/mangopier/internal/transport/mesh"
	"mangopier.example/mangopier/internal/transport/mirror"
	"mangopier.example/mangopier/internal/transport/proxy"
)

// Store is the platform's store of versioned rows.
type Store interface {
	// Era returns the number of the store's history. It rises when the store is
	// restored from a copy, which takes back what was written since.
	Era() uint64
	// EraSeen returns the era, and when a response first named it.
	EraSeen() (uint64, time.Time)
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
	Put(ctx context.Context, key string, value []byte) error
	Remove(ctx context.Context, keys ...string) error
	// ListOwned returns the rows of the system's own table whose keys begin
	// with prefix.
	ListOwned(ctx context.Context, prefix string) (table.Page, error)
	// ManifestSource returns the table in which the operator publishes the
	// manifest.
	ManifestSource() follow.Source
	// TargetSource returns the table in which targets register.
	TargetSource() follow.Source
	// Clock returns the newest reading of the store's clock, nil before the
	// first.
	Clock() *site.ClockReading
}

// Control sends usage reports and orders to the platform.
type Control interface {
	duty.Platform
	tally.Sender
}

// Codec translates between the platform's formats and package site.
type Codec interface {
	proxy.Codec
	// NotRunHeader returns the name of the header by which a target states that
	// it did not run a request.
	NotRunHeader() string
	// DecodeManifest decodes the row of the manifest.
	DecodeManifest(value []byte) (*site.Manifest, error)
	// DecodeTarget decodes the row of the target with the given ID.
	DecodeTarget(id string, value []byte) (site.Target, error)
	// IsReadinessCheck reports whether a request is the load balancer's
	// readiness check.
	IsReadinessCheck(r *http.Request) bool
}

const (
	// leaseName names the one lease under which all duties are carried out.
	leaseName = "duties"
	// targetIdleTimeout is how long an unused connection to a target is kept.
	// Targets close theirs after some seconds.
	targetIdleTimeout = 4 * time.Second
	// bodyMemoryDivisor limits the request bodies being received, and the responses
	// being buffered, to the memory of the instance divided by it.
	bodyMemoryDivisor = 6
	// memberReadInterval is the time between reads of the member rows. New
	// instances become known sooner by their heartbeats.
	memberReadInterval = 30 * time.Second
	// memberRetryDelay is the wait after a failed read or write of member rows.
	memberRetryDelay = 500 * time.Millisecond
	// responseLimitPercent is the part of the contact time within which a watch of a
	// table has to return. The rest is for the list that follows.
	responseLimitPercent = 80
	// ejectionTime is how long an unhealthy target gets no requests, and
	// rampTime how long its share then takes to return to normal. Faults on
	// the sites last some 5 s.
	ejectionTime = 1500 * time.Millisecond
	rampTime     = 2 * time.Second
)

// Node is one entry instance.
type Node struct {
	settings  site.Settings
	store     Store
	control   Control
	codec     Codec
	logger    zerolog.Logger
	registry  *prometheus.Registry
	bootID    uint64 // distinguishes runs of the instance
	build     string // name of this build
	builds    *memberBuilds
	startTime time.Time

	client          *back.Client
	scheduler       *place.Scheduler
	health          *health.Tracker
	meter           *tally.Meter
	proxy           *proxy.Proxy
	roster          *roster.Roster
	mesh            *mesh.Mesh
	reach           *reach.Tracker
	targetSource    *mirror.Source
	manifestSource  *mirror.Source
	manifestFaults  *manifestFaults
	manifestSince   atomic.Int64 // when the manifest was put in force, in nanoseconds since the start
	storeContacts   storeContacts
	crashes         *crash.Tracker
	origins         *origin.Tracker
	keepers         atomic.Pointer[keepers]
	boots           *boots.Checker
	memberBoots     memberBoots
	detours         *detours
	detourServer    *detour.Server
	mirror          *mirror.Mirror
	mirrorClient    *mirror.Client
	lease           *lease.Lease
	duties          *duty.Runner
	servers         []*front.Server // callers, then readiness check
	refusals        *refusals
	internalServers []*http.Server    // metrics and mirror
	internalDone    []<-chan struct{} // closed when the internal servers have ended

	manifestMutex   sync.Mutex     // held while a manifest is put in force
	manifestInForce follow.Applier // gives the row of the manifest in force to peers

	updateMutex    sync.Mutex // held while a pair of manifest and targets is applied
	targets        atomic.Pointer[[]site.Target]
	stopping       atomic.Bool
	requestSeen    atomic.Bool // a request has begun, here or at a peer
	cancel         context.CancelFunc
	loopsDone      []<-chan struct{}
	leaseDone      <-chan error
	announcements  announcements // used on the goroutine that composes heartbeats
	listRequests   chan chan<- []site.Target
	newerManifests chan peerManifest // manifests of peers that are newer than the one in force
}

// New returns an instance that does nothing before Start.
func New(settings site.Settings, store Store, control Control, codec Codec, logger zerolog.Logger, opts ...Option) *Node {
	node := &Node{
		settings: settings, store: store, control: control, codec: codec,
		logger:         logger,
		registry:       prometheus.NewRegistry(),
		bootID:         rand.Uint64(),
		startTime:      time.Now(),
		newerManifests: make(chan peerManifest, 1),
		listRequests:   make(chan chan<- []site.Target),
		scheduler:      place.New(place.WithDataCenter(settings.DataCenter)),
		health:         health.New(health.WithEjection(ejectionTime, rampTime)),
		meter:          tally.New(settings.Bounds.UsageWindow),
	}
	for _, opt := range opts {
		opt(node)
	}
	node.builds = newMemberBuilds(node.registry, logger)
	node.manifestFaults = newManifestFaults(node.registry, logger)
	node.refusals = newRefusals(node.registry, logger)
	node.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	node.client = back.New(
		back.WithHeaderNames(codec.AttemptHeader(), codec.NotRunHeader()),
		back.WithIdleTimeout(targetIdleTimeout))
	node.mesh = mesh.New(
		mesh.Member{Instance: settings.Instance, DataCenter: settings.DataCenter},
		mesh.Callbacks{Compose: node.composeHeartbeat, Receive: node.receiveHeartbeat, MemberDown: node.forgetMember}, logger)
	node.reach = reach.New(reach.WithLogger(logger))
	node.crashes = crash.New(crash.WithLogger(logger), crash.WithInstances(settings.Instance, node.mesh.LiveNames))
	originOptions := []origin.Option{origin.WithCurrentTargets(node.currentTargets), origin.WithPeers(settings.Instance, originPeers{node})}
	if settings.Bootstrap {
		originOptions = append(originOptions, origin.WithFirstStart())
	}
	node.origins = origin.New(originOptions...)
	node.boots = boots.New(node.fetchStart)
	local, _ := netip.ParseAddr(settings.IP) // Start rejects one that is not valid
	node.detours = newDetours(node.mesh, local)
	node.proxy = proxy.New(codec, node.client, node.scheduler, node.health, node,
		proxy.WithLogger(logger), proxy.WithRegisterer(node.registry), proxy.WithBounds(settings.Bounds),
		proxy.WithInstanceCount(node.retryInstanceCount), proxy.WithPeers(node.detours, node.reach),
		proxy.WithCrashTracker(node.crashes), proxy.WithOrigins(node.origins), proxy.WithBoots(node.boots), proxy.WithManifestAge(node.manifestAge), proxy.WithResponseMemory(settings.MemoryBytes/bodyMemoryDivisor))
	node.detourServer = node.newDetourServer()
	node.roster = roster.New(codec.DecodeTarget, node.setTargets, logger)
	node.mirror = mirror.New()
	node.manifestInForce = node.mirror.Tee(manifestInForceTable, noApplier{}, time.Now)
	node.mirrorClient = mirror.NewClient()
	node.manifestSource = mirror.NewSource(manifestTable, store.ManifestSource(), node.mirrorClient, node.chooseMirror, mirror.WithMaxWait(node.maxStoreWait))
	node.targetSource = mirror.NewSource(targetTable, store.TargetSource(), node.mirrorClient, node.chooseMirror, mirror.WithMaxWait(node.maxStoreWait))
	node.lease = lease.New(store, leaseName, settings.Instance,
		lease.WithDuration(settings.Bounds.LeaseDuration), lease.WithLogger(logger),
		lease.WithRegisterer(node.registry), lease.WithStandby(node.isStandby),
		lease.WithEra(store.Era), lease.WithFirstStart(settings.Bootstrap))
	node.duties = duty.New(duty.Config{
		Instance: node.settings.Instance, Lease: node.lease, Platform: node.control,
		Reporter: tally.NewReporter(node.meter, node.store, node.control, node, node.settings.Instance,
			node.settings.Bounds.UsageReportDeadline, node.logger, tally.WithEra(store.EraSeen)),
		Snapshot: node.snapshot, Duties: node.settings.Duties, AlternationPeriod: node.settings.Bounds.LeaseDuration, Logger: node.logger,
	})
	return node
}

// forgetMember drops what an instance told that is down now.
func (node *Node) forgetMember(instance string) {
	node.scheduler.RemoveReport(instance)
	node.builds.remove(instance)
	node.storeContacts.remove(instance)
}

// Start listens, starts the background loops and returns. They run until Stop,
// also if ctx ends before. Errors have code.SettingsInvalid.
func (node *Node) Start(ctx context.Context) error {
	ctx, node.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := node.listen(ctx); err != nil {
		node.cancel()
		return err
	}
	manifests := node.follow(manifestTable, node.manifestSource, manifestApplier{node})
	targets := node.follow(targetTable, node.targetSource, node.roster)
	node.loopsDone = append(node.loopsDone, manifests.Start(ctx), targets.Start(ctx), node.syncMembers(ctx), node.fetchNewerManifests(ctx, node.mirrorClient), node.probeTargets(ctx), node.keepVersions(ctx), node.serveListRequests(ctx), node.duties.Start(ctx))
	node.leaseDone = node.lease.Start(ctx)
	return nil
}

// follow returns the follower of a table that is read from the store or from
// the mirror of a peer, and is in turn served to peers.
func (node *Node) follow(name string, source *mirror.Source, applier follow.Applier) *follow.Follower {
	opts := []follow.Option{follow.WithStoreServed(node.storeContacts.servedSince)}
	if expiry := node.settings.Bounds.TargetRowExpiry; expiry > 0 {
		opts = append(opts, follow.WithRowExpiry(expiry))
	}
	if contactTime := node.settings.Bounds.ContactTime; contactTime > 0 {
		opts = append(opts, follow.WithResponseLimit(contactTime*responseLimitPercent/100))
	}
	return follow.New(name, source, node.mirror.Tee(name, applier, source.LastContact, mirror.WithTurnedAway(source.TurnedAway)), node.logger, opts...)
}

func (node *Node) listen(ctx context.Context) error {
	limits := front.DefaultLimits()
	limits.TotalBodyBytes = node.settings.MemoryBytes / bodyMemoryDivisor
	panicHandler := front.WithPanicHandler(func(cause any) {
		node.logger.Error().Str("part", "front").Str("cause", fmt.Sprint(cause)).Msg("handler panicked")
	})
	refusalHandler, idHeader := front.WithRefusalHandler(node.refusals.handle), front.WithIDHeader(node.codec.AttemptHeader())
	node.servers = []*front.Server{
		front.New(node.settings.ListenAddress, node.proxy, front.WithLimits(limits), panicHandler, refusalHandler, idHeader),
		front.New(node.settings.ReadinessAddress, http.HandlerFunc(node.serveReadinessCheck), panicHandler, refusalHandler, idHeader),
	}
	for _, server := range node.servers {
		if err := server.Start(); err != nil {
			return code.Wrap(err, code.SettingsInvalid, "listen for callers and readiness checks")
		}
	}
	address, err := netip.ParseAddr(node.settings.IP)
	if err != nil {
		return code.Wrap(err, code.SettingsInvalid, "parse the address of this instance")
	}
	done, err := node.mesh.Start(ctx, netip.AddrPortFrom(address, uint16(node.settings.PeerPort)))
	if err != nil {
		return code.Wrap(err, code.SettingsInvalid, "listen on peer port")
	}
	node.loopsDone = append(node.loopsDone, done)
	return node.startInternalServers()
}

// Ready reports whether the instance can serve callers: it has a manifest and
// a list of targets, and is not stopping.
func (node *Node) Ready() bool {
	return !node.stopping.Load() && node.proxy.Manifest() != nil && node.roster.Loaded()
}

func (node *Node) serveReadinessCheck(w http.ResponseWriter, r *http.Request) {
	status := http.StatusServiceUnavailable
	switch {
	case !node.codec.IsReadinessCheck(r):
		status = http.StatusNotFound
	case node.Ready():
		status = http.StatusOK
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// CountRequest counts a request that a target may have run for its team's
// usage.
func (node *Node) CountRequest(team string) {
	node.requestSeen.Store(true)
	node.meter.CountRequest(team, node.now())
}

func (node *Node) snapshot() duty.Snapshot {
	snapshot := duty.Snapshot{Manifest: node.proxy.Manifest()}
	if targets := node.targets.Load(); targets != nil {
		snapshot.Targets = *targets
	}
	if snapshot.Manifest != nil {
		snapshot.DecodeDemand = make(map[string]float64, len(snapshot.Manifest.Services))
		for name, service := range snapshot.Manifest.Services {
			snapshot.DecodeDemand[name] = node.scheduler.DecodeDemand(service)
		}
	}
	snapshot.NoRequestsYet = !node.requestSeen.Load()
	snapshot.TrueTime, snapshot.TrueTimeKnown = node.trueTime()
	return snapshot
}

func (node *Node) setTargets(targets []site.Target) {
	node.targets.Store(&targets)
	node.reach.SetTargets(targets)
	node.crashes.SetTargets(targets)
	node.origins.SetTargets(targets)
	node.boots.SetTargets(targets)
	node.updateTargets()
}

// fetchStart asks a target when it was started.
func (node *Node) fetchStart(ctx context.Context, target site.Target) (time.Time, error) {
	status, err := node.control.FetchEngineStatus(ctx, target)
	return status.Started, err
}

// updateTargets applies the manifest and the list of targets. Both change on
// goroutines of their own.
func (node *Node) updateTargets() {
	node.updateMutex.Lock()
	defer node.updateMutex.Unlock()
	manifest, targets := node.proxy.Manifest(), node.targets.Load()
	if manifest == nil || targets == nil {
		return
	}
	node.scheduler.SetTargets(*targets, manifest.Services)
	members := make([]health.Member, 0, len(*targets))
	for _, target := range *targets {
		members = append(members, health.Member{Target: target.ID, Group: target.Service + "/" + target.Stage.String()})
	}
	node.health.SetMembers(members)
	node.scheduler.SetWeights(node.health.Weights())
}

// manifestApplier puts changed manifests in force.
type manifestApplier struct{ node *Node }

// Apply decodes the changed rows and puts those in force that are newer, without the
// entries that cannot be decoded. The manifest in force stays when its row is deleted or
// cannot be decoded at all.
func (applier manifestApplier) Apply(changes []table.Change) {
	node := applier.node
	for _, change := range changes {
		if change.Deleted {
			continue
		}
		manifest, err := node.codec.DecodeManifest(change.Value)
		if err != nil {
			node.logger.Error().Str("part", "node").Err(err).Uint64("row-version", change.Version).Msg("manifest row cannot be decoded; row ignored")
			continue
		}
		if node.putInForce(manifest, change) {
			node.manifestFaults.report(manifest)
			node.logger.Info().Str("part", "node").Int64("manifest", manifest.Version).Int("routes", len(manifest.Routes)).
				Int("keys", len(manifest.Teams)).Uint64("row-version", change.Version).Msg("manifest in force")
			node.updateTargets()
		}
	}
}

// putInForce puts a manifest in force if it is newer, and hands its row to peers that ask
// for it. It reports whether it was newer.
func (node *Node) putInForce(manifest *site.Manifest, row table.Change) bool {
	node.manifestMutex.Lock()
	defer node.manifestMutex.Unlock()
	if current := node.proxy.Manifest(); current != nil && current.Version >= manifest.Version {
		return false
	}
	node.origins.SetManifest(manifest)
	node.proxy.SetManifest(manifest)
	node.manifestSince.Store(int64(time.Since(node.startTime)))
	node.manifestInForce.Apply([]table.Change{row})
	return true
}

// noApplier drops changes.
type noApplier struct{}

// Apply does nothing.
func (noApplier) Apply([]table.Change) {}

// manifestAge returns how long the manifest has been in force, and how long ago the store was
// last heard for its table.
func (node *Node) manifestAge() (inForce, sinceContact time.Duration) {
	inForce = time.Since(node.startTime) - time.Duration(node.manifestSince.Load())
	return inForce, time.Since(node.manifestSource.LastContact())
}

// Names of the tables in requests to mirrors.
const (
	manifestTable = "manifest"
	// manifestInForceTable holds the row of the manifest in force, which the manifest's
	// table lacks if the row came from a peer. Earlier builds do not have it.
	manifestInForceTable = "manifest-in-force"
	targetTable          = "targets"
)
