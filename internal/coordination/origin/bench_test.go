package origin_test

import (
	"fmt"
	"testing"

	"mangopier.example/mangopier/internal/coordination/origin"
)

// BenchmarkKeepers measures the choice of the keepers of a stream.
func BenchmarkKeepers(b *testing.B) {
	for _, count := range []int{6, 195, 950} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var members []origin.Member
			for i := range count {
				members = append(members, origin.NewMember(fmt.Sprint("i", i), fmt.Sprint("dc", i%6)))
			}
			b.ReportAllocs()
			for hash := uint64(0); b.Loop(); hash++ {
				origin.Keepers(hash, members, "i0")
			}
		})
	}
}
