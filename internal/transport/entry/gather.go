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
	gatherParallel  = 32
	gatherPageRows  = 200
	gatherHorizon   = 60 // windows for which copies in the table are kept
	copyRowInterval = time.Second
	// copyHeartbeat is the time after which an idle meter sends a copy, and
	// copySlack how far the last copy of an ended instance may lag behind its
	// last sign of life.
	copyHeartbeat = 250 * time.Millisecond
	copySlack     = 2 * copyHeartbeat
)

// gatherer collects the usage figures of all instances and of the copies that
// were left in the table.
type gatherer struct {
	instance *Instance
}

// Collect asks all instances.
func (gatherer *gatherer) Collect(ctx context.Context, ask usage.CollectRequest) ([]usage.Batch, []string, error) {
	payload, err := json.Marshal(ask)
	if err != nil {
		return nil, nil, code.Wrap(err, code.Internal, "encode ask")
	}
	instance := gatherer.instance
	batches := instance.figures(ask)
	copies := usage.NewTableReplica(instance.platform, copyRowInterval)
	inTable, err := copies.Collect(ctx, ask, ask.LastWindow-gatherHorizon, gatherPageRows)
	if err != nil {
		return nil, nil, err
	}
	batches = append(batches, inTable...)
	answers := gatherer.askPeers(ctx, payload)
	for _, answer := range answers {
		batches = append(batches, answer.batches...)
	}
	return batches, gatherer.missing(ask.LastWindow, answers, batches), nil
}

// missing returns the instances that did not answer and whose copies do not
// cover the window.
func (gatherer *gatherer) missing(window usage.Window, answers []figuresAnswer, batches []usage.Batch) []string {
	schedule := usage.Schedule{Length: conf.Milliseconds(gatherer.instance.settings.Usage.WindowMS)}
	var members []usage.Member
	var missing []string
	for _, answer := range answers {
		if answer.err == nil {
			continue
		}
		origins := originsOf(answer.peer.ID, batches)
		seen := answer.peer.Seen
		if seen.IsZero() {
			seen = time.Now()
		}
		if len(origins) == 0 && !seen.Before(schedule.WindowStart(window)) {
			missing = append(missing, answer.peer.ID)
		}
		for _, origin := range origins {
			members = append(members, usage.Member{Origin: origin, LastSeen: seen})
		}
	}
	missing = append(missing, usage.MissingInstances(schedule, window, batches, members, copySlack)...)
	slices.Sort(missing)
	return slices.Compact(missing)
}

// originsOf returns the latest lives of an instance of which there are copies.
func originsOf(id string, batches []usage.Batch) []usage.Origin {
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

// figuresAnswer is what one instance answered.
type figuresAnswer struct {
	peer    gossip.Peer
	batches []usage.Batch
	err     error
}

func (gatherer *gatherer) askPeers(ctx context.Context, payload []byte) []figuresAnswer {
	peers := gatherer.instance.members.Peers()
	answers := make([]figuresAnswer, len(peers))
	places := make(chan struct{}, gatherParallel)
	var group sync.WaitGroup
	for i, peer := range peers {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			answers[i] = gatherer.askPeer(ctx, peer, payload)
		})
	}
	group.Wait()
	return answers
}

func (gatherer *gatherer) askPeer(ctx context.Context, peer gossip.Peer, payload []byte) figuresAnswer {
	answer := figuresAnswer{peer: peer}
	figures, err := gatherer.instance.peers.CollectUsage(ctx, peer.Address, &peerpb.UsageAsk{Payload: payload})
	if err != nil {
		answer.err = err
		return answer
	}
	answer.err = json.Unmarshal(figures.GetPayload(), &answer.batches)
	return answer
}

// reporter sends usage reports to the platform.
type reporter struct {
	platform *plat.Client
}

// SendReport sends the frozen bytes of a report.
func (reporter *reporter) SendReport(ctx context.Context, report usage.Report) error {
	return reporter.platform.Report(ctx, infra.UsageReport{
		Number: strconv.FormatUint(report.Number, 10), Body: report.Body,
	})
}
