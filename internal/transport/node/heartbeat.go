package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mangopier.example/mangopier/internal/coordination/crash"
	"mangopier.example/mangopier/internal/coordination/origin"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/coordination/tally"
	"mangopier.example/mangopier/internal/transport/mesh"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// heartbeat is the message that an instance sends to its peers several times a
// second.
type heartbeat struct {
	Instance        string               `cbor:"1,keyasint"`
	DataCenter      string               `cbor:"8,keyasint"`
	BootID          uint64               `cbor:"2,keyasint"`
	ManifestVersion int64                `cbor:"3,keyasint"` // version in force
	LoadReport      place.LoadReport     `cbor:"4,keyasint"`
	Usage           []tally.WindowCounts `cbor:"5,keyasint,omitempty"`
	StageChangesMS  map[string]int64     `cbor:"7,keyasint,omitempty"` // remaining time without requests, by ID of the engine that changes its stage
	ClockOffsetNS   int64                `cbor:"6,keyasint,omitempty"` // from the store's monotonic clock to the time of day, 0 if unknown

	// AcceptsForwarded states that the instance runs requests that others forward.
	AcceptsForwarded bool     `cbor:"12,keyasint,omitempty"`
	LostServices     []string `cbor:"11,keyasint,omitempty"` // that the instance does not reach, or only with difficulty

	// Leaving holds the targets that the instance knows to leave.
	Leaving []place.LeavingTarget `cbor:"14,keyasint,omitempty"`

	// Suspects holds the requests that may crash targets.
	Suspects []crash.Suspect `cbor:"15,keyasint,omitempty"`

	// Limits holds the limits that targets name.
	Limits []place.TargetLimit `cbor:"16,keyasint,omitempty"`

	// Build and Abilities tell which build the instance runs.
	Build     string   `cbor:"17,keyasint,omitempty"`
	Abilities []string `cbor:"18,keyasint,omitempty"`

	// Origins holds the software versions in service and at which streams began.
	Origins origin.Report `cbor:"19,keyasint,omitzero"`

	// StoreSteadyMS is for how long the store has served the instance without a break, 0 if
	// it does not.
	StoreSteadyMS int64 `cbor:"20,keyasint,omitempty"`

	// A message with one of these is no heartbeat.
	UsageQuery  *usageQuery  `cbor:"9,keyasint,omitempty"`
	UsageAnswer *usageAnswer `cbor:"10,keyasint,omitempty"`
	// AllOrigins holds all origins of streams, for an instance that has just started.
	AllOrigins *origin.Report `cbor:"21,keyasint,omitempty"`
	// KeptOrigins holds origins of streams for the recipient to keep, or for which it asked.
	KeptOrigins []origin.Streams `cbor:"22,keyasint,omitempty"`
	// OriginQuery asks for the origins of streams, by hash.
	OriginQuery []uint64 `cbor:"23,keyasint,omitempty"`
}

func (node *Node) instanceRun() tally.InstanceRun {
	return tally.InstanceRun{Instance: node.settings.Instance, BootID: node.bootID}
}

// composeHeartbeat returns the next heartbeat, nil if it cannot be encoded. Its
// recipients get one heartbeat in the given number of rounds.
func (node *Node) composeHeartbeat(rounds int) []byte {
	message := heartbeat{
		Instance: node.settings.Instance, BootID: node.bootID, DataCenter: node.settings.DataCenter,
		LoadReport: node.scheduler.BuildReport(rounds), Usage: node.meter.Snapshot(),
		AcceptsForwarded: !node.stopping.Load(), LostServices: node.unreachedServices(),
		Leaving: node.scheduler.LeavingTargets(), Suspects: node.crashes.Report(),
		Limits: node.scheduler.Limits(), Build: node.build, Abilities: Abilities(),
		Origins: node.origins.Report(rounds),
	}
	if since, ok := node.targetSource.SteadySince(); ok {
		message.StoreSteadyMS = time.Since(since).Milliseconds()
	}
	node.scheduler.SetMembers(node.settings.Instance, node.limitMembers())
	if node.crashes.TakeNews() {
		node.mesh.BroadcastNext()
	}
	if rounds == 1 { // the last heartbeat of this round
		node.scheduler.EndReportRound()
		node.origins.EndRound()
		node.updateKeepers()
	}
	changing := node.duties.PendingStageChanges()
	if rounds == 1 && node.announcements.next(changing) {
		node.mesh.BroadcastNext()
	}
	for id, remaining := range changing {
		if message.StageChangesMS == nil {
			message.StageChangesMS = map[string]int64{}
		}
		message.StageChangesMS[id] = remaining.Milliseconds()
	}
	node.pauseEngines(message.StageChangesMS)
	if manifest := node.proxy.Manifest(); manifest != nil {
		message.ManifestVersion = manifest.Version
	}
	if monotonic, ok := node.storeClock(); ok {
		offset := time.Duration(time.Now().UnixNano()) - monotonic
		node.meter.SetClockOffset(node.instanceRun(), offset)
		message.ClockOffsetNS = int64(offset)
	}
	node.scheduler.SetInstanceCount(len(node.mesh.LiveMembers()) + 1)
	data, err := cbor.Marshal(message)
	if err != nil {
		node.logger.Error().Str("part", "node").Err(err).Msg("heartbeat cannot be encoded")
		return nil
	}
	return data
}

// receiveHeartbeat merges the heartbeat of a peer into the local state.
func (node *Node) receiveHeartbeat(datagram []byte, from netip.AddrPort) {
	var message heartbeat
	if err := cbor.Unmarshal(datagram, &message); err != nil || message.Instance == "" {
		node.logger.Warn().Str("part", "node").Err(err).Stringer("from", from).Msg("malformed heartbeat datagram ignored")
		return
	}
	if message.Instance == node.settings.Instance {
		return
	}
	if message.UsageQuery != nil {
		node.answerUsageQuery(message.UsageQuery, from)
		return
	}
	if message.UsageAnswer != nil {
		node.meter.MergeCollected(message.Instance, message.UsageAnswer.Window, message.UsageAnswer.Counts)
		return
	}
	if message.AllOrigins != nil {
		node.origins.Merge(*message.AllOrigins)
		return
	}
	if message.KeptOrigins != nil {
		node.origins.Keep(message.KeptOrigins...)
		return
	}
	if message.OriginQuery != nil {
		node.answerOriginQuery(message.OriginQuery, from)
		return
	}
	node.mesh.Add(mesh.Member{Instance: message.Instance, DataCenter: message.DataCenter, Address: from})
	node.mesh.RecordHeartbeat(message.Instance)
	node.detours.update(message.Instance, peerReach{
		accepts: message.AcceptsForwarded, services: message.LostServices,
		keepsVersions: slices.Contains(message.Abilities, abilityVersions),
	})
	node.storeContacts.update(message.Instance, time.Duration(message.StoreSteadyMS)*time.Millisecond)
	node.origins.Merge(message.Origins)
	if node.memberBoots.isNew(message.Instance, message.BootID) && slices.Contains(message.Abilities, abilityVersions) {
		node.tellOrigins(message.Instance, from)
	}
	node.builds.update(message.Instance, message.Build, message.Abilities)
	node.pauseEngines(message.StageChangesMS)
	node.markLeaving(message.Instance, message.Leaving)
	node.crashes.Merge(message.Instance, message.Suspects)
	node.mergeLimits(message.Instance, message.Limits)
	node.scheduler.MergeReport(message.Instance, message.LoadReport)
	if manifest := node.proxy.Manifest(); manifest == nil || manifest.Version < message.ManifestVersion {
		select {
		case node.newerManifests <- peerManifest{address: from.String(), version: message.ManifestVersion}:
		default: // a fetch from another peer is pending
		}
	}
	run := tally.InstanceRun{Instance: message.Instance, BootID: message.BootID}
	node.meter.Merge(run, message.Usage)
	if len(message.Usage) > 0 {
		node.requestSeen.Store(true)
	}
	if message.ClockOffsetNS != 0 {
		node.meter.SetClockOffset(run, time.Duration(message.ClockOffsetNS))
	}
}

// retryInstanceCount returns the number of instances among which the extra
// retries of the retry budget are divided. It counts all known instances, since
// those that are unreachable may still serve on the other side of a network
// partition. It is 0 during the first window after the start, since the amount
// that an earlier run of this instance has spent is not known.
func (node *Node) retryInstanceCount() int {
	if time.Since(node.startTime) < node.settings.Bounds.RetryWindow {
		return 0
	}
	return node.mesh.KnownCount()
}

// pauseEngines keeps requests from engines that change their stage, until the
// list of targets shows the new stage.
func (node *Node) pauseEngines(remainingMS map[string]int64) {
	for id, remaining := range remainingMS {
		node.scheduler.MarkStageChange(id, time.Duration(remaining)*time.Millisecond)
	}
}

// markLeaving keeps requests from targets that a peer knows to leave.
func (node *Node) markLeaving(instance string, targets []place.LeavingTarget) {
	for _, target := range targets {
		node.crashes.MarkLeaving(target.ID, target.StartedMS)
		if node.scheduler.MarkLeaving(target) {
			node.logger.Info().Str("part", "node").Str("target", target.ID).Str("from", instance).Msg("target leaves; it gets no new requests")
		}
	}
}

// mergeLimits applies the limits of targets that a peer knows.
func (node *Node) mergeLimits(instance string, limits []place.TargetLimit) {
	for _, limit := range node.scheduler.MergeLimits(limits) {
		node.logger.Info().Str("part", "node").Str("target", limit.ID).Str("from", instance).Float64("per-second", limit.PerSecond).
			Bool("lifted", limit.Lifted).Int64("age-ms", limit.AgeMS).Msg("limit of a target changed")
	}
}

// limitSettleTime is how long after its start an instance takes no share of the limits
// of targets, since it does not know the other instances yet.
const limitSettleTime = 2 * time.Second

// limitMembers returns the instances among which the limits of targets are divided.
// Those that went down a moment ago count, since they may still send requests.
func (node *Node) limitMembers() []string {
	if time.Since(node.startTime) < limitSettleTime {
		return nil
	}
	return node.mesh.RecentNames(limitMemberMemory)
}

// limitMemberMemory is how long an instance that is down keeps its share of the limits
// of targets. A restart takes a second or two.
const limitMemberMemory = 5 * time.Second

// peerManifest is a manifest version that a peer has in force.
type peerManifest struct {
	address string
	version int64
}

// peerFetchDelay is how long watching the store may take to deliver a manifest
// that a peer already has, before it is fetched from the peer. It is a tenth of
// the time within which a manifest has to be in force.
const peerFetchDelay = 200 * time.Millisecond

// fetchNewerManifests fetches from peers the manifests that the store does not
// deliver, such as while it refuses this instance.
func (node *Node) fetchNewerManifests(ctx context.Context, client *mirror.Client) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case newer := <-node.newerManifests:
				node.fetchManifest(ctx, client, newer)
			}
		}
	}()
	return done
}

func (node *Node) fetchManifest(ctx context.Context, client *mirror.Client, newer peerManifest) {
	if !pause.For(ctx, peerFetchDelay) {
		return
	}
	if manifest := node.proxy.Manifest(); manifest != nil && manifest.Version >= newer.version {
		return
	}
	changes, err := client.FetchTable(ctx, newer.address, manifestInForceTable)
	if mirror.LacksTable(err) { // an earlier build
		changes, err = client.FetchTable(ctx, newer.address, manifestTable)
	}
	if err != nil {
		node.logger.Warn().Str("part", "node").Err(err).Int64("manifest", newer.version).Msg("manifest cannot be fetched from another instance")
		return
	}
	node.logger.Info().Str("part", "node").Str("from", newer.address).Int64("manifest", newer.version).
		Msg("manifest fetched from another instance")
	manifestApplier{node}.Apply(changes)
}
