package entry

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/coordination/usage"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/plat"
)

const (
	maxParallelCollects    = 32
	collectPageRows        = 200
	tableCopyWindows       = 60 // how many windows copies in the table are kept for
	collectReplicaInterval = time.Second
	// copyHeartbeatInterval is the time after which an idle meter sends a copy.
	// maxCopyLag is how far the last copy of an ended instance may lag behind the
	// instance's last heartbeat and still count as complete.
	copyHeartbeatInterval = 250 * time.Millisecond
	maxCopyLag            = 2 * copyHeartbeatInterval
)

// usageCollector collects the usage figures of all instances, including the copies
// in the table that instances wrote when no peer could hold them.
type usageCollector struct {
	instance *Instance
}

// Collect returns the usage figures that match request, and the instances whose
// figures for its window may be missing.
func (collector *usageCollector) Collect(ctx context.Context, request usage.CollectRequest) ([]usage.Batch, []string, error) {
	payload, err := json.Marshal(request)
	if err != nil {
		return nil, nil, code.Wrap(err, code.Internal, "encode usage request")
	}
	instance := collector.instance
	batches := instance.usageFigures(request)
	replica := usage.NewTableReplica(instance.platform, collectReplicaInterval)
	tableBatches, err := replica.Collect(ctx, request, request.LastWindow-tableCopyWindows, collectPageRows)
	if err != nil {
		return nil, nil, err
	}
	batches = append(batches, tableBatches...)
	results := collector.collectFromPeers(ctx, payload)
	for _, result := range results {
		batches = append(batches, result.batches...)
	}
	return batches, collector.missingInstances(request.LastWindow, results, batches), nil
}

// missingInstances returns the instances that did not respond and whose copies do
// not cover the window. An instance that never sent a heartbeat counts as alive now.
func (collector *usageCollector) missingInstances(window usage.Window, results []peerFigures, batches []usage.Batch) []string {
	schedule := usage.Schedule{Length: conf.Milliseconds(collector.instance.settings.Usage.WindowMS)}
	var members []usage.Member
	var missing []string
	for _, result := range results {
		if result.err == nil {
			continue
		}
		origins := latestOrigins(result.peer.ID, batches)
		lastSeen := result.peer.LastHeartbeat
		if lastSeen.IsZero() {
			lastSeen = time.Now()
		}
		if len(origins) == 0 && !lastSeen.Before(schedule.WindowStart(window)) {
			missing = append(missing, result.peer.ID)
		}
		for _, origin := range origins {
			members = append(members, usage.Member{Origin: origin, LastSeen: lastSeen})
		}
	}
	missing = append(missing, usage.MissingInstances(schedule, window, batches, members, maxCopyLag)...)
	slices.Sort(missing)
	return slices.Compact(missing)
}

// latestOrigins returns the latest incarnation of an instance that has batches, or
// none.
func latestOrigins(id string, batches []usage.Batch) []usage.Origin {
	var latest usage.Batch
	for _, batch := range batches {
		if batch.Instance == id && batch.CompleteUntilMS >= latest.CompleteUntilMS {
			latest = batch
		}
	}
	if latest.Instance == "" {
		return nil
	}
	return []usage.Origin{latest.Origin}
}

// peerFigures is the response of one peer, or the error of the call.
type peerFigures struct {
	peer    gossip.Peer
	batches []usage.Batch
	err     error
}

func (collector *usageCollector) collectFromPeers(ctx context.Context, payload []byte) []peerFigures {
	peers := collector.instance.members.Peers()
	results := make([]peerFigures, len(peers))
	slots := make(chan struct{}, maxParallelCollects)
	var group sync.WaitGroup
	for i, peer := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i] = collector.collectFromPeer(ctx, peer, payload)
		})
	}
	group.Wait()
	return results
}

func (collector *usageCollector) collectFromPeer(ctx context.Context, peer gossip.Peer, payload []byte) peerFigures {
	result := peerFigures{peer: peer}
	figures, err := collector.instance.peerClient.CollectUsage(ctx, peer.PeerAddress, &peerpb.UsageAsk{Payload: payload})
	if err != nil {
		result.err = err
		return result
	}
	result.err = json.Unmarshal(figures.GetPayload(), &result.batches)
	return result
}

// reportSender sends usage reports to the platform.
type reportSender struct {
	platform *plat.Client
}

// SendReport sends the stored bytes of a report, so that repeated sends are
// identical.
func (sender *reportSender) SendReport(ctx context.Context, report usage.Report) error {
	return sender.platform.SendUsageReport(ctx, infra.UsageReport{
		Number: strconv.FormatUint(report.Number, 10), Body: report.Body,
	})
}
