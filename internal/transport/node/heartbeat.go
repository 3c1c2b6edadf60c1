package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/coordination/tally"
	"mangopier.example/mangopier/internal/transport/mesh"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// heartbeat is what an instance tells the others several times a second.
type heartbeat struct {
	Instance string           `cbor:"1,keyasint"`
	Place    string           `cbor:"8,keyasint"` // data centre
	Boot     uint64           `cbor:"2,keyasint"`
	Manifest int64            `cbor:"3,keyasint"` // version in force
	Share    place.Share      `cbor:"4,keyasint"`
	Usage    []tally.Counts   `cbor:"5,keyasint,omitempty"`
	Changing map[string]int64 `cbor:"7,keyasint,omitempty"` // milliseconds for which engines change their stage
	Offset   int64            `cbor:"6,keyasint,omitempty"` // nanoseconds from the store's steady clock to the time of day, 0 if unknown
}

func (node *Node) source() tally.Source {
	return tally.Source{Instance: node.settings.Instance, Boot: node.boot}
}

// compose returns the next heartbeat.
func (node *Node) compose(rounds int) []byte {
	beat := heartbeat{
		Instance: node.settings.Instance, Boot: node.boot, Place: node.settings.DataCenter,
		Share: node.book.Export(rounds), Usage: node.meter.Export(),
	}
	if rounds == 1 { // the last of this round
		node.book.EndRound()
	}
	changing := node.keeper.Changing()
	if len(changing) > 0 {
		node.mesh.Urge()
	}
	for id, left := range changing {
		if beat.Changing == nil {
			beat.Changing = map[string]int64{}
		}
		beat.Changing[id] = left.Milliseconds()
	}
	node.pause(beat.Changing)
	if manifest := node.proxy.Manifest(); manifest != nil {
		beat.Manifest = manifest.Version
	}
	if steady, ok := node.steady(); ok {
		offset := time.Duration(time.Now().UnixNano()) - steady
		node.meter.SetOffset(node.source(), offset)
		beat.Offset = int64(offset)
	}
	node.book.SetMembers(len(node.mesh.Members()) + 1)
	data, err := cbor.Marshal(beat)
	if err != nil {
		node.logger.Error().Str("part", "node").Err(err).Msg("heartbeat cannot be written")
		return nil
	}
	return data
}

// receive takes a heartbeat of another instance.
func (node *Node) receive(datagram []byte, from netip.AddrPort) {
	var beat heartbeat
	if err := cbor.Unmarshal(datagram, &beat); err != nil || beat.Instance == "" {
		node.logger.Warn().Str("part", "node").Err(err).Stringer("from", from).Msg("datagram is no heartbeat")
		return
	}
	if beat.Instance == node.settings.Instance {
		return
	}
	node.mesh.Add(mesh.Member{Instance: beat.Instance, DataCenter: beat.Place, Address: from})
	node.mesh.Heard(beat.Instance)
	node.pause(beat.Changing)
	node.book.Merge(beat.Instance, beat.Share)
	if manifest := node.proxy.Manifest(); manifest == nil || manifest.Version < beat.Manifest {
		select {
		case node.behind <- ahead{address: from.String(), version: beat.Manifest}:
		default: // another instance is being asked
		}
	}
	source := tally.Source{Instance: beat.Instance, Boot: beat.Boot}
	node.meter.Merge(source, beat.Usage)
	if len(beat.Usage) > 0 {
		node.busy.Store(true)
	}
	if beat.Offset != 0 {
		node.meter.SetOffset(source, time.Duration(beat.Offset))
	}
}

// sharers returns the instances among which the slack of the budget of extra
// calls is divided: all that are known, as those that are quiet may serve beyond
// a cut. For the first window it is 0, since what an earlier run of this
// instance has spent is not known.
func (node *Node) sharers() int {
	if time.Since(node.begun) < node.settings.Bounds.RetryWindow {
		return 0
	}
	return node.mesh.Known()
}

// pause keeps requests from engines that change their stage, until the list
// shows the new one.
func (node *Node) pause(changing map[string]int64) {
	for id, left := range changing {
		node.book.Changing(id, time.Duration(left)*time.Millisecond)
	}
}

// ahead is an instance that has a newer manifest.
type ahead struct {
	address string
	version int64
}

// headStart is how long the store's own feed may take to bring a manifest that
// another instance has, a tenth of the time in which it has to be in force.
const headStart = 200 * time.Millisecond

// keepUp fetches manifests that other instances have and the store does not
// bring, such as while it turns this instance away.
func (node *Node) keepUp(ctx context.Context, client *mirror.Client) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case ahead := <-node.behind:
				node.catchUp(ctx, client, ahead)
			}
		}
	}()
	return done
}

func (node *Node) catchUp(ctx context.Context, client *mirror.Client, ahead ahead) {
	if !pause.For(ctx, headStart) {
		return
	}
	if manifest := node.proxy.Manifest(); manifest != nil && manifest.Version >= ahead.version {
		return
	}
	changes, err := client.Fetch(ctx, ahead.address, manifestTable)
	if err != nil {
		node.logger.Warn().Str("part", "node").Err(err).Int64("manifest", ahead.version).Msg("manifest is not fetched")
		return
	}
	node.logger.Info().Str("part", "node").Str("from", ahead.address).Int64("manifest", ahead.version).
		Msg("manifest fetched from another instance")
	manifestCopy{node}.Apply(changes)
}
