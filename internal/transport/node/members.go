package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/transport/mesh"
)

const memberKeyPrefix = "member/"

// memberRow is the stored row by which instances discover each other.
type memberRow struct {
	Address    string `json:"address"`
	DataCenter string `json:"data-center"`
}

// syncMembers writes this instance's row and reads those of the others until
// ctx ends.
func (node *Node) syncMembers(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		registered, era := false, uint64(0)
		for ctx.Err() == nil {
			if node.store.Era() != era { // a restore may have taken the row back
				registered = false
			}
			if !registered {
				registered = node.writeMember(ctx)
				era = node.store.Era()
			}
			wait := memberReadInterval
			if !node.readMembers(ctx) || !registered {
				wait = memberRetryDelay
			}
			for end := time.Now().Add(wait); time.Now().Before(end) && node.store.Era() == era; {
				if !pause.For(ctx, memberRetryDelay) {
					break
				}
			}
		}
	}()
	return done
}

func (node *Node) writeMember(ctx context.Context) bool {
	address := net.JoinHostPort(node.settings.IP, fmt.Sprint(node.settings.PeerPort))
	value, err := json.Marshal(memberRow{Address: address, DataCenter: node.settings.DataCenter})
	if err == nil {
		err = node.store.Put(ctx, memberKeyPrefix+node.settings.Instance, value)
	}
	if err != nil {
		node.logger.Warn().Str("part", "node").Err(err).Msg("member row of this instance cannot be written")
	}
	return err == nil
}

func (node *Node) readMembers(ctx context.Context) bool {
	page, err := node.store.ListOwned(ctx, memberKeyPrefix)
	if err != nil {
		return false
	}
	for _, change := range page.Changes {
		var row memberRow
		err := json.Unmarshal(change.Value, &row)
		address, addressErr := netip.ParseAddrPort(row.Address)
		if err != nil || addressErr != nil {
			node.logger.Warn().Str("part", "node").Str("row", change.Key).Msg("malformed member row ignored")
			continue
		}
		node.mesh.Add(mesh.Member{Instance: change.Key[len(memberKeyPrefix):], DataCenter: row.DataCenter, Address: address})
	}
	return true
}

// memberBoots keeps the runs of the other instances. It is used on the goroutine that
// receives heartbeats.
type memberBoots map[string]uint64

// isNew records the run of an instance and reports whether it is another one than before.
func (boots *memberBoots) isNew(instance string, bootID uint64) bool {
	if *boots == nil {
		*boots = memberBoots{}
	}
	known := (*boots)[instance]
	(*boots)[instance] = bootID
	return known != bootID
}

// standbyCount is how many instances watch the lease closely, so that at least
// one remains when a few are lost at once.
const standbyCount = 5

func (node *Node) isStandby() bool {
	return lease.IsStandby(leaseName, node.settings.Instance, node.mesh.LiveNames(), standbyCount)
}
