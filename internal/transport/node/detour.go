package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/reach"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/detour"
	"mangopier.example/mangopier/internal/transport/mesh"
)

// detours forwards requests to other instances while targets are out of reach. It
// implements proxy.Peers.
type detours struct {
	mesh   *mesh.Mesh
	client *detour.Client

	mutex       sync.Mutex
	peers       map[string]peerReach // by instance
	forwardedAt map[string]time.Time // time of the last forwarded request, by service
}

// peerReach is what another instance told of itself in its last heartbeat.
type peerReach struct {
	accepts bool // runs forwarded requests
	// keepsVersions states that the instance has streams go on at a software version only.
	keepsVersions bool
	services      []string // that it does not reach, or only with difficulty
}

// update replaces what is known of an instance.
func (detours *detours) update(instance string, peer peerReach) {
	detours.mutex.Lock()
	defer detours.mutex.Unlock()
	detours.peers[instance] = peer
}

// Choose returns a random live instance that reaches a service. With resuming, it has
// streams go on at a software version only. Choose returns false if there is none that
// is not in except.
func (detours *detours) Choose(service string, resuming bool, except []string) (string, bool) {
	live := detours.mesh.LiveMembers()
	detours.mutex.Lock()
	defer detours.mutex.Unlock()
	var able []string
	for _, member := range live {
		peer := detours.peers[member.Instance]
		if peer.accepts && (peer.keepsVersions || !resuming) && !slices.Contains(peer.services, service) && !slices.Contains(except, member.Instance) {
			able = append(able, member.Instance)
		}
	}
	if len(able) == 0 {
		return "", false
	}
	return able[rand.IntN(len(able))], true
}

// forwardMemory is how long after a forwarded request this instance does not offer
// to run requests of others for the same service.
const forwardMemory = time.Second

// needed returns the services for which requests were forwarded a moment ago.
func (detours *detours) needed() []string {
	detours.mutex.Lock()
	defer detours.mutex.Unlock()
	var services []string
	for service, at := range detours.forwardedAt {
		if time.Since(at) < forwardMemory {
			services = append(services, service)
		}
	}
	return services
}

// Do has an instance run a request. Errors are of type *back.CallError.
func (detours *detours) Do(ctx context.Context, instance string, request *site.ForwardedRequest) (*back.Response, error) {
	detours.mutex.Lock()
	detours.forwardedAt[request.Service] = time.Now()
	detours.mutex.Unlock()
	for _, member := range detours.mesh.LiveMembers() {
		if member.Instance == instance {
			return detours.client.Do(ctx, member.Address.String(), request)
		}
	}
	return nil, &back.CallError{State: back.NotSent, Err: code.Errorf(code.PeerUnreachable, "instance %s is down", instance)}
}

// unreachedServices returns the services for which this instance cannot run requests
// of others.
func (node *Node) unreachedServices() []string {
	services := append(node.reach.LostServices(), node.detours.needed()...)
	slices.Sort(services)
	return slices.Compact(services)
}

// newDetourServer returns the server of requests that other instances forward.
func (node *Node) newDetourServer() *detour.Server {
	return detour.NewServer(node.proxy.ServeForwarded,
		detour.WithAllowed(node.isMemberAddress),
		detour.WithPanicHandler(func(cause any) {
			node.logger.Error().Str("part", "node").Str("cause", fmt.Sprint(cause)).Msg("handler of a forwarded request panicked")
		}))
}

// isMemberAddress reports whether an instance is known to have an IP address.
func (node *Node) isMemberAddress(address netip.Addr) bool {
	if node.mesh.HasAddress(address) {
		return true
	}
	node.logger.Warn().Str("part", "node").Stringer("from", address).Msg("forwarded request refused: not the address of an instance")
	return false
}

const (
	// probeInterval is the time between two looks for services that may be out of
	// reach.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a connect by which a target is probed.
	probeTimeout = 500 * time.Millisecond
)

// probeTargets probes the targets of services that may be out of reach, until ctx
// ends.
func (node *Node) probeTargets(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var probes sync.WaitGroup
		defer probes.Wait()
		var lost []string
		for pause.For(ctx, probeInterval) {
			for _, probe := range node.reach.NextProbes() {
				probes.Go(func() { node.probe(ctx, probe) })
			}
			lost = node.applyLostServices(lost)
		}
	}()
	return done
}

func (node *Node) probe(ctx context.Context, probe reach.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := node.client.Connect(ctx, probe.Address)
	node.reach.RecordProbe(probe, err == nil)
	node.logger.Debug().Str("part", "node").Str("service", probe.Service).Str("target", probe.Target).Err(err).Msg("target probed")
}

// applyLostServices closes the connections to targets that got out of reach, since
// they may stay silent for good, and ends the backoff of targets that are within
// reach again. It returns the lost services.
func (node *Node) applyLostServices(before []string) []string {
	lost := node.reach.LostServices()
	targets := node.targets.Load()
	if targets == nil || slices.Equal(before, lost) {
		return lost
	}
	for _, target := range *targets {
		was, is := slices.Contains(before, target.Service), slices.Contains(lost, target.Service)
		switch {
		case is && !was:
			node.client.DropConnections(target.Address)
		case was && !is:
			node.scheduler.EndBackoff(target.ID)
		}
	}
	return lost
}

// newDetours returns the other instances of mesh, which are called from an address.
func newDetours(mesh *mesh.Mesh, local netip.Addr) *detours {
	return &detours{mesh: mesh, client: detour.NewClient(detour.WithLocalAddress(local)), peers: map[string]peerReach{}, forwardedAt: map[string]time.Time{}}
}
