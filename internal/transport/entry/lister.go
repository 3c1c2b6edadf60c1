package entry

import (
	"context"

	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/transport/plat"
)

// instanceLister provides gossip with the platform's list of instances.
type instanceLister struct {
	platform *plat.Client
}

// List returns the instances that have not ended.
func (lister instanceLister) List(ctx context.Context) ([]gossip.Instance, error) {
	listed, err := lister.platform.ListInstances(ctx)
	if err != nil {
		return nil, err
	}
	var instances []gossip.Instance
	for _, instance := range listed {
		if instance.Lifecycle == infra.LifecycleEnded {
			continue
		}
		instances = append(instances, gossip.Instance{
			ID: instance.ID, DataCenter: instance.DataCenter, PeerAddress: instance.PeerAddress,
			Leaving: instance.Lifecycle == infra.LifecycleLeaving,
		})
	}
	return instances, nil
}
