package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// IsStandby reports whether self is one of the count standbys for a duty, which
// are chosen by rendezvous hashing. Instances that know the same others agree
// on the choice; while their lists differ, a few more or fewer act as standby.
func IsStandby(duty, self string, instances []string, count int) bool {
	hash := func(instance string) uint64 {
		return xxhash.Sum64String(duty + "\x00" + instance)
	}
	ownHash := hash(self)
	rank := 0
	for _, instance := range slices.Compact(slices.Sorted(slices.Values(instances))) {
		if instance != self && hash(instance) < ownHash {
			rank++
		}
	}
	return rank < count
}
