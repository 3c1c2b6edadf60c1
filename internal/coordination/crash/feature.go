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
	Part        int // position in the prompt, from 1, of the part that the runs share, 0 if they share the request
}

// RequestFeatures returns the features by which equal requests of a team are known:
// method, path and body, and the same with the query if there is one. Headers are left
// out. A request may crash its targets with any query, or with one of many only.
func RequestFeatures(team string, request *site.Request) []Feature {
	features := []Feature{newRequestFeature(team, request, request.Path)}
	if request.URI != request.Path {
		features = append(features, newRequestFeature(team, request, request.URI))
	}
	return features
}

func newRequestFeature(team string, request *site.Request, path string) Feature {
	digest := xxhash.New()
	for _, text := range []string{request.Method, path} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return Feature{Fingerprint: poison.NewFingerprint(team, digest.Sum64())}
}

// PartFeatures returns the features of a prompt: its parts but the last one, which belongs
// to the request or its session. The same part counts alike for all teams. Prompt may be nil.
func PartFeatures(prompt *site.Prompt) []Feature {
	if prompt == nil || len(prompt.Parts) < 2 {
		return nil
	}
	features := make([]Feature, 0, len(prompt.Parts)-1)
	for i, part := range prompt.Parts[:len(prompt.Parts)-1] {
		digest := xxhash.New()
		_, _ = digest.WriteString(prompt.Model)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(part.ID)
		features = append(features, Feature{Fingerprint: Fingerprint(digest.Sum64()), Part: i + 1})
	}
	return features
}
