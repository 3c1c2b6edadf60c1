package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Standby reports whether self is among the count instances that watch the
// lease of a duty closely. Instances that know the same others agree; where
// their lists differ, a few more or fewer watch.
func Standby(duty, self string, instances []string, count int) bool {
	weight := func(instance string) uint64 {
		return xxhash.Sum64String(duty + "\x00" + instance)
	}
	own := weight(self)
	ahead := 0
	for _, instance := range slices.Compact(slices.Sorted(slices.Values(instances))) {
		if instance != self && weight(instance) < own {
			ahead++
		}
	}
	return ahead < count
}
