// Package node assembles one entry instance of a site: it follows the manifest
// and the list of targets, exchanges heartbeats with the other instances,
// contests the lease of the duties, and serves callers.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/coordination/duty"
	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/coordination/health"
	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/coordination/tally"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/roster"
	"mangopier.example/mangopier/internal/state/table"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/front"
	"mangopier.example/mangopier/internal/transport/mesh"
	"mangopier.example/mangopier/internal/transport/mirror"
	"mangopier.example/mangopier/internal/transport/proxy"
)

// Store is the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
	Put(ctx context.Context, key string, value []byte) error
	Remove(ctx context.Context, keys ...string) error
	// Own returns the system's own rows whose keys begin with prefix.
	Own(ctx context.Context, prefix string) (table.Page, error)
	// Manifests and Targets are the tables that others write.
	Manifests() follow.Source
	Targets() follow.Source
	// Clock returns the newest reading of the store's clock, nil before the
	// first.
	Clock() *site.ClockReading
}

// Control sends duty calls and orders.
type Control interface {
	duty.Platform
	tally.Sender
}

// Wire translates what the platform sends.
type Wire interface {
	proxy.Wire
	NotRunHeader() string
	Manifest(value []byte) (*site.Manifest, error)
	Target(id string, value []byte) (site.Target, error)
	IsReadyCheck(r *http.Request) bool
}

const (
	// leaseDuty names the one lease, under which all duties lie.
	leaseDuty = "duties"
	// idleKept is how long an unused connection to a target is kept. Targets
	// close theirs after some seconds.
	idleKept = 4 * time.Second
	// bodyShare is the part of the memory that bodies on their way in may
	// take.
	bodyShare = 6
	// memberRead is the time between looks at the list of instances;
	// heartbeats make new ones known at once.
	memberRead = 30 * time.Second
	// memberRetry is the wait after a failed call for the list.
	memberRetry = 500 * time.Millisecond
	// leastOut is how long a stopping instance serves on: the balancer takes
	// it out after two checks, a second apart.
	leastOut = 3200 * time.Millisecond
	// endSlack is kept of the grace for the end of the process.
	endSlack = 700 * time.Millisecond
	// ejection and ramp are how long an unhealthy target gets nothing, and
	// how long its return takes; troubles on the sites last some 5 s.
	ejection = 1500 * time.Millisecond
	ramp     = 2 * time.Second
)

// Node is one entry instance.
type Node struct {
	settings site.Settings
	store    Store
	control  Control
	wire     Wire
	logger   zerolog.Logger
	registry *prometheus.Registry
	boot     uint64
	begun    time.Time

	client  *back.Client
	book    *place.Book
	tracker *health.Tracker
	meter   *tally.Meter
	proxy   *proxy.Proxy
	roster  *roster.Roster
	mesh    *mesh.Mesh
	mirror  *mirror.Mirror
	lease   *lease.Lease
	keeper  *duty.Keeper
	servers []*front.Server
	inner   []*http.Server    // metrics and mirror
	served  []<-chan struct{} // closed when these are no longer served

	targets  atomic.Pointer[[]site.Target]
	stopping atomic.Bool
	busy     atomic.Bool // a request has come, here or at another instance
	cancel   context.CancelFunc
	ended    []<-chan struct{}
	leased   <-chan error
	behind   chan ahead // instances that have a newer manifest
}

// New returns an instance that does nothing before Start.
func New(settings site.Settings, store Store, control Control, wire Wire, logger zerolog.Logger) *Node {
	node := &Node{
		settings: settings, store: store, control: control, wire: wire,
		logger:   logger,
		registry: prometheus.NewRegistry(),
		boot:     rand.Uint64(),
		begun:    time.Now(),
		behind:   make(chan ahead, 1),
		book:     place.New(place.WithDataCenter(settings.DataCenter)),
		tracker:  health.New(health.WithEjection(ejection, ramp)),
		meter:    tally.New(settings.Bounds.UsageWindow),
	}
	node.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	node.client = back.New(
		back.WithHeaders(wire.AttemptHeader(), wire.NotRunHeader()),
		back.WithIdleTimeout(idleKept))
	node.proxy = proxy.New(wire, node.client, node.book, node.tracker, node,
		proxy.WithLogger(logger), proxy.WithRegisterer(node.registry), proxy.WithBounds(settings.Bounds),
		proxy.WithMembers(node.sharers))
	node.roster = roster.New(wire.Target, node.setTargets, logger)
	node.mesh = mesh.New(
		mesh.Member{Instance: settings.Instance, DataCenter: settings.DataCenter},
		mesh.Callbacks{Compose: node.compose, Receive: node.receive, Left: node.book.Forget}, logger)
	node.mirror = mirror.New()
	node.lease = lease.New(store, leaseDuty, settings.Instance,
		lease.WithTerm(settings.Bounds.Lease), lease.WithLogger(logger),
		lease.WithRegisterer(node.registry), lease.WithStandby(node.standby))
	node.keeper = duty.New(duty.Config{
		Instance: node.settings.Instance, Lease: node.lease, Platform: node.control,
		Reporter: tally.NewReporter(node.meter, node.store, node.control, node.settings.Instance,
			node.settings.Bounds.UsageLate, node.mesh.Longest, node.logger),
		Situation: node.situation, Duties: node.settings.Duties, Term: node.settings.Bounds.Lease, Logger: node.logger,
	})
	return node
}

// Start listens and begins to follow, and returns once that is under way.
func (node *Node) Start(ctx context.Context) error {
	ctx, node.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := node.listen(ctx); err != nil {
		node.cancel()
		return err
	}
	client := mirror.NewClient()
	manifests := node.follow(manifestTable, node.store.Manifests(), manifestCopy{node}, client)
	targets := node.follow(targetTable, node.store.Targets(), node.roster, client)
	node.ended = append(node.ended, manifests.Start(ctx), targets.Start(ctx), node.keepMembers(ctx), node.keepUp(ctx, client), node.keeper.Start(ctx))
	node.leased = node.lease.Start(ctx)
	return nil
}

// follow returns the follower of a table that comes from the store or from the
// mirror of another instance, and is served to others in turn.
func (node *Node) follow(name string, store follow.Source, target follow.Copy, client *mirror.Client) *follow.Follower {
	source := mirror.NewSource(name, store, client, node.chooseMirror)
	return follow.New(name, source, node.mirror.Tee(name, target, source.Heard), node.logger)
}

func (node *Node) listen(ctx context.Context) error {
	limits := front.DefaultLimits()
	limits.AllBodiesBytes = node.settings.Memory / bodyShare
	report := front.WithPanicReport(func(cause any) {
		node.logger.Error().Str("part", "front").Str("cause", fmt.Sprint(cause)).Msg("a handler panicked")
	})
	node.servers = []*front.Server{
		front.New(node.settings.FrontAddress, node.proxy, front.WithLimits(limits), report),
		front.New(node.settings.ReadyAddress, http.HandlerFunc(node.serveReady), report),
	}
	for _, server := range node.servers {
		if err := server.Start(); err != nil {
			return code.Wrap(err, code.SettingsInvalid, "listen")
		}
	}
	address, err := netip.ParseAddr(node.settings.Address)
	if err != nil {
		return code.Wrap(err, code.SettingsInvalid, "own address")
	}
	done, err := node.mesh.Start(ctx, netip.AddrPortFrom(address, uint16(node.settings.PeerPort)))
	if err != nil {
		return code.Wrap(err, code.SettingsInvalid, "peer port")
	}
	node.ended = append(node.ended, done)
	return node.serveInner()
}

// Ready reports whether the instance may take callers.
func (node *Node) Ready() bool {
	return !node.stopping.Load() && node.proxy.Manifest() != nil && node.roster.Listed()
}

func (node *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusServiceUnavailable
	switch {
	case !node.wire.IsReadyCheck(r):
		status = http.StatusNotFound
	case node.Ready():
		status = http.StatusOK
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// Began counts a request that began to run.
func (node *Node) Began(team string) {
	node.busy.Store(true)
	node.meter.Count(team, node.now())
}

func (node *Node) situation() duty.Situation {
	situation := duty.Situation{Manifest: node.proxy.Manifest()}
	if targets := node.targets.Load(); targets != nil {
		situation.Targets = *targets
	}
	situation.Idle = !node.busy.Load()
	situation.Now, situation.Timely = node.trueTime()
	return situation
}

func (node *Node) setTargets(targets []site.Target) {
	node.targets.Store(&targets)
	node.updateBook()
}

func (node *Node) updateBook() {
	manifest, targets := node.proxy.Manifest(), node.targets.Load()
	if manifest == nil || targets == nil {
		return
	}
	node.book.SetTargets(*targets, manifest.Services)
	members := make([]health.Member, 0, len(*targets))
	for _, target := range *targets {
		members = append(members, health.Member{Target: target.ID, Group: target.Service + "/" + target.Stage.String()})
	}
	node.tracker.SetMembers(members)
	node.book.SetWeights(node.tracker.Weights())
}

// manifestCopy takes the manifest's row.
type manifestCopy struct{ node *Node }

// Apply takes a changed row.
func (manifestCopy manifestCopy) Apply(changes []table.Change) {
	node := manifestCopy.node
	for _, change := range changes {
		if change.Deleted {
			continue
		}
		manifest, err := node.wire.Manifest(change.Value)
		if err != nil {
			node.logger.Error().Str("part", "node").Err(err).Uint64("row-version", change.Version).Msg("manifest cannot be read")
			continue
		}
		if node.proxy.SetManifest(manifest) {
			node.logger.Info().Str("part", "node").Int64("manifest", manifest.Version).Int("routes", len(manifest.Routes)).
				Int("keys", len(manifest.Teams)).Uint64("row-version", change.Version).Msg("manifest in force")
			node.updateBook()
		}
	}
}

// Names of the tables among the instances.
const (
	manifestTable = "manifest"
	targetTable   = "targets"
)
