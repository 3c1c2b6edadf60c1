package crash

import (
	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/coordination/poison"
	"mangopier.example/mangopier/internal/protocol/site"
)

// Fingerprint identifies a feature at all instances.
type Fingerprint = poison.Fingerprint

// Feature is what runs have in common that may make them crash their targets.
type Feature struct {
	Fingerprint Fingerprint
}

// RequestFeatures returns the features by which equal requests of a team are known.
// Requests differ if their methods, paths or bodies do; queries and headers are left
// out.
func RequestFeatures(team string, request *site.Request) []Feature {
	return []Feature{newRequestFeature(team, request, request.Path)}
}

func newRequestFeature(team string, request *site.Request, path string) Feature {
	digest := xxhash.New()
	for _, text := range []string{request.Method, path} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return Feature{poison.NewFingerprint(team, digest.Sum64())}
}
