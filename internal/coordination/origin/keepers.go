package origin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a live instance that keeps origins of streams for others.
type Member struct {
	Instance   string
	DataCenter string

	hash uint64
}

// NewMember returns the member for an instance in a data centre.
func NewMember(instance, dataCenter string) Member {
	return Member{Instance: instance, DataCenter: dataCenter, hash: xxhash.Sum64String(instance)}
}

// Peers carries origins between instances. Its methods do not wait, and what they send may
// get lost.
type Peers interface {
	// Members returns the members, with this instance.
	Members() []Member
	// Tell has instances keep the origin of streams.
	Tell(instances []string, streams Streams)
	// Ask asks instances for the origin of a stream. Their answers go to Merge.
	Ask(instances []string, hash uint64)
}

// WithPeers has other instances keep the origins of the streams that begin at the instance
// self, before their callers get the first event. A stream that breaks off with its instance
// can then go on. Without the option, reports alone tell the streams.
func WithPeers(self string, peers Peers) Option {
	return func(tracker *Tracker) { tracker.self, tracker.peers = self, peers }
}

// askInterval is the time after which an instance is asked once more: the question or the
// answer may have got lost.
const askInterval = 60 * time.Millisecond

// Keepers returns the instances that keep a stream which began at the instance except: two,
// in different data centres if there are several. They are chosen by rendezvous hashing, so
// that instances which know the same members agree.
func Keepers(hash uint64, members []Member, except string) []string {
	first := lowest(hash, members, func(member *Member) bool { return member.Instance != except })
	if first == nil {
		return nil
	}
	second := lowest(hash, members, func(member *Member) bool {
		return member.Instance != except && member.DataCenter != first.DataCenter
	})
	if second == nil {
		second = lowest(hash, members, func(member *Member) bool {
			return member.Instance != except && member.Instance != first.Instance
		})
	}
	if second == nil {
		return []string{first.Instance}
	}
	return []string{first.Instance, second.Instance}
}

// possibleKeepers returns the instances that may keep a stream, whichever instance began it.
func possibleKeepers(hash uint64, members []Member) []string {
	keepers := Keepers(hash, members, "")
	for _, keeper := range slices.Clone(keepers) {
		keepers = append(keepers, Keepers(hash, members, keeper)...)
	}
	slices.Sort(keepers)
	return slices.Compact(keepers)
}

// lowest returns the allowed member with the lowest rank for a stream, nil if none is allowed.
func lowest(hash uint64, members []Member, allowed func(*Member) bool) *Member {
	var found *Member
	var lowestRank uint64
	for i := range members {
		member := &members[i]
		if rank := mix(hash ^ member.hash); (found == nil || rank < lowestRank) && allowed(member) {
			found, lowestRank = member, rank
		}
	}
	return found
}

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// tellKeepers has other instances keep a stream.
func (tracker *Tracker) tellKeepers(hash uint64, seen sighting) {
	if keepers := Keepers(hash, tracker.peers.Members(), tracker.self); len(keepers) > 0 {
		tracker.peers.Tell(keepers, Streams{seen.service, seen.version, []uint64{hash}})
	}
}

// askKeepers asks the instances that may keep a stream.
func (tracker *Tracker) askKeepers(hash uint64) {
	if tracker.peers == nil {
		return
	}
	keepers := slices.DeleteFunc(possibleKeepers(hash, tracker.peers.Members()), func(keeper string) bool { return keeper == tracker.self })
	if len(keepers) > 0 {
		tracker.peers.Ask(keepers, hash)
	}
}

// Keep takes over streams that other instances began, or were told.
func (tracker *Tracker) Keep(streams ...Streams) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, group := range streams {
		for _, hash := range group.Hashes {
			tracker.add(&tracker.kept, hash, sighting{group.Service, group.Version})
		}
	}
}

// Kept returns the origins of streams, as far as they are known.
func (tracker *Tracker) Kept(hashes []uint64) []Streams {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := map[uint64]sighting{}
	for _, hash := range hashes {
		if seen, ok := tracker.recall(hash); ok {
			known[hash] = seen
		}
	}
	return groupStreams(known)
}
