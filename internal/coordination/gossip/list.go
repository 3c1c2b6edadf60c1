package gossip

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

const (
	listTimeout     = 2 * time.Second
	listMinInterval = 2 * time.Second
	listPerInstance = 100 * time.Millisecond // so that all instances make 10 reads a second
	listMaxShift    = 2
)

// follow reads the platform's list now and then until ctx ends. A list that
// cannot be read leaves the one before in use.
func (members *Members) follow(ctx context.Context, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	failures := 0
	for ctx.Err() == nil {
		if err := members.readList(ctx); err != nil {
			members.log.Warn().Err(err).Msg("list of instances cannot be read")
			failures = min(failures+1, listMaxShift)
		} else {
			failures = 0
		}
		interval := max(listMinInterval, time.Duration(members.Count())*listPerInstance)
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
	members.refresh()
	return nil
}
