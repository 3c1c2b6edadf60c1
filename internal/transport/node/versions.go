package node

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// versionsKey is the key of the row with the software versions that may have begun
	// streams which can still be taken up. Instances that are all started again read it.
	versionsKey = "stream-versions"
	// versionsInterval is the time between two looks for changes of these versions.
	versionsInterval = 250 * time.Millisecond
	// versionsWriters is how many instances keep the row up to date.
	versionsWriters = 2
)

// originTellers is how many instances tell one that has just started the origins of streams.
// All of them together would fill its link.
const originTellers = 3

// tellOrigins sends the origins of all streams to an instance that has just started, if
// this instance is one of those that do.
func (node *Node) tellOrigins(instance string, address netip.AddrPort) {
	if !lease.IsStandby("origins/"+instance, node.settings.Instance, node.mesh.LiveNames(), originTellers) {
		return
	}
	report := node.origins.FullReport()
	if len(report.Streams) == 0 {
		return
	}
	data, err := cbor.Marshal(heartbeat{Instance: node.settings.Instance, BootID: node.bootID, AllOrigins: &report})
	if err != nil {
		node.logger.Error().Str("part", "node").Err(err).Msg("origins of streams cannot be encoded")
		return
	}
	node.mesh.Send(data, address)
}

// listInterval is the least time between two reads of the list of targets for streams that
// nobody knows.
const listInterval = 50 * time.Millisecond

// currentTargets returns the list of targets as the store has it after the call. It returns
// false if ctx ends before the store has answered.
func (node *Node) currentTargets(ctx context.Context) ([]site.Target, bool) {
	listed := make(chan []site.Target, 1)
	select {
	case node.listRequests <- listed:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case targets := <-listed:
		return targets, true
	case <-ctx.Done():
		return nil, false
	}
}

// serveListRequests reads the list of targets for those that wait for it, once for all that
// have asked before the read, until ctx ends.
func (node *Node) serveListRequests(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case listed := <-node.listRequests:
				node.answerListRequests(ctx, append(node.waitingListRequests(), listed))
			}
			pause.For(ctx, listInterval)
		}
	}()
	return done
}

// waitingListRequests returns the requests that wait to be taken.
func (node *Node) waitingListRequests() []chan<- []site.Target {
	var waiting []chan<- []site.Target
	for {
		select {
		case listed := <-node.listRequests:
			waiting = append(waiting, listed)
		default:
			return waiting
		}
	}
}

// listTimeout is longer than a sound store takes, and shorter than the wait for a version.
const listTimeout = 200 * time.Millisecond

func (node *Node) answerListRequests(ctx context.Context, waiting []chan<- []site.Target) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := node.store.TargetSource().List(ctx)
	if err != nil {
		node.logger.Info().Str("part", "node").Err(err).Int("streams", len(waiting)).Msg("list of targets cannot be read; streams of unknown version are refused")
		return
	}
	var targets []site.Target
	for _, change := range page.Changes {
		if target, err := node.codec.DecodeTarget(change.Key, change.Value); err == nil { // the roster logs rows that cannot be decoded
			targets = append(targets, target)
		}
	}
	for _, listed := range waiting {
		listed <- targets
	}
}

// versionsRow is the value of the row.
type versionsRow struct {
	Versions map[string][]string `json:"versions"`      // by service
	Era      uint64              `json:"era,omitempty"` // of the store when the row was written, 0 in rows of earlier builds
}

// keepVersions reads the versions that were in service before the start and then keeps
// the row up to date, until ctx ends.
func (node *Node) keepVersions(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !node.settings.Bootstrap && !node.readVersions(ctx) {
			if !pause.For(ctx, memberRetryDelay) {
				return
			}
		}
		var written map[string][]string
		var era uint64
		for pause.For(ctx, versionsInterval) {
			versions := node.origins.Versions()
			if versions == nil || !node.writesVersions() || (maps.EqualFunc(versions, written, slices.Equal[[]string]) && era == node.store.Era()) {
				continue
			}
			current := node.store.Era()
			if node.writeVersions(ctx, versions, current) {
				written, era = versions, current
			}
		}
	}()
	return done
}

// writesVersions reports whether this instance keeps the row up to date. Soon after the
// start it does not know the other instances.
func (node *Node) writesVersions() bool {
	return time.Since(node.startTime) > limitSettleTime &&
		lease.IsStandby(versionsKey, node.settings.Instance, node.mesh.LiveNames(), versionsWriters)
}

// readVersions returns false if the store cannot be read. Without a row of the store's era,
// the versions of before are not known: a restore may have taken back those that joined.
func (node *Node) readVersions(ctx context.Context) bool {
	row, err := node.store.Get(ctx, versionsKey)
	if code.Is(err, code.RowMissing) {
		return true
	}
	if err != nil {
		return false
	}
	var versions versionsRow
	if err := json.Unmarshal(row.Value, &versions); err != nil {
		node.logger.Warn().Str("part", "node").Err(err).Str("row", versionsKey).Msg("malformed row ignored")
		return true
	}
	// Rows of earlier builds name no era and are believed.
	if era := node.store.Era(); versions.Era != 0 && versions.Era != era {
		node.logger.Warn().Str("part", "node").Any("versions", versions.Versions).Uint64("row-era", versions.Era).Uint64("era", era).
			Msg("software versions of before the start may be incomplete: the store was restored from a copy since")
		return true
	}
	node.origins.Restore(versions.Versions)
	node.logger.Info().Str("part", "node").Any("versions", versions.Versions).Msg("software versions of before the start")
	return true
}

func (node *Node) writeVersions(ctx context.Context, versions map[string][]string, era uint64) bool {
	value, err := json.Marshal(versionsRow{versions, era}, json.Deterministic(true))
	if err == nil {
		err = node.store.Put(ctx, versionsKey, value)
	}
	if err != nil {
		node.logger.Warn().Str("part", "node").Err(err).Msg("software versions in service cannot be written")
		pause.For(ctx, memberRetryDelay)
		return false
	}
	return true
}
