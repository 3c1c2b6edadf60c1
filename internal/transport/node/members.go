package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/transport/mesh"
)

const memberPrefix = "member/"

// memberRow is the row by which the instances find each other.
type memberRow struct {
	Address    string `json:"address"`
	DataCenter string `json:"data-center"`
}

// keepMembers writes the instance's own row and reads those of the others.
func (node *Node) keepMembers(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		written := false
		for ctx.Err() == nil {
			wait := memberRead
			if !written {
				written = node.writeMember(ctx)
			}
			if !node.readMembers(ctx) || !written {
				wait = memberRetry
			}
			pause.For(ctx, wait)
		}
	}()
	return done
}

func (node *Node) writeMember(ctx context.Context) bool {
	address := net.JoinHostPort(node.settings.Address, fmt.Sprint(node.settings.PeerPort))
	value, err := json.Marshal(memberRow{Address: address, DataCenter: node.settings.DataCenter})
	if err == nil {
		err = node.store.Put(ctx, memberPrefix+node.settings.Instance, value)
	}
	if err != nil {
		node.logger.Warn().Str("part", "node").Err(err).Msg("own row is not written")
	}
	return err == nil
}

func (node *Node) readMembers(ctx context.Context) bool {
	page, err := node.store.Own(ctx, memberPrefix)
	if err != nil {
		return false
	}
	for _, change := range page.Changes {
		var row memberRow
		err := json.Unmarshal(change.Value, &row)
		address, failure := netip.ParseAddrPort(row.Address)
		if err != nil || failure != nil {
			node.logger.Warn().Str("part", "node").Str("row", change.Key).Msg("row names no instance")
			continue
		}
		node.mesh.Add(mesh.Member{Instance: change.Key[len(memberPrefix):], DataCenter: row.DataCenter, Address: address})
	}
	return true
}

// standbys is how many instances watch the lease closely, so that the loss of
// a few at once leaves one.
const standbys = 5

func (node *Node) standby() bool {
	return lease.Standby(leaseDuty, node.settings.Instance, node.mesh.Live(), standbys)
}
