package gossip

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

const (
	listTimeout             = 2 * time.Second
	minListInterval         = 2 * time.Second
	listIntervalPerInstance = 100 * time.Millisecond // so that all instances together make 10 reads a second
	maxListBackoffShift     = 2
)

// pollList reads the platform's list periodically until ctx ends. The interval
// grows with the number of instances and doubles on each failure, up to four
// times. If a read fails, the previous list stays in use.
func (members *Members) pollList(ctx context.Context, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	failures := 0
	for ctx.Err() == nil {
		if err := members.readList(ctx); err != nil {
			members.logger.Warn().Err(err).Msg("instance list cannot be read; keeping the previous one")
			failures = min(failures+1, maxListBackoffShift)
		} else {
			failures = 0
		}
		interval := max(minListInterval, time.Duration(members.InstanceCount())*listIntervalPerInstance)
		pause.For(ctx, members.jitter(interval<<failures))
	}
}

func (members *Members) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := members.lister.List(ctx)
	if err != nil {
		return err
	}
	members.mu.Lock()
	defer members.mu.Unlock()
	members.listed = make(map[string]Instance, len(instances))
	for _, instance := range instances {
		members.listed[instance.ID] = instance
	}
	members.rebuildPeers()
	return nil
}
