package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
)

// maxLoggedFaults bounds the log lines for one manifest.
const maxLoggedFaults = 20

// manifestFaults reports the entries of the manifest in force that were left out.
type manifestFaults struct {
	logger zerolog.Logger
	gauge  *prometheus.GaugeVec // entries by part
}

func newManifestFaults(registerer prometheus.Registerer, logger zerolog.Logger) *manifestFaults {
	faults := &manifestFaults{
		logger: logger.With().Str("part", "node").Logger(),
		gauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mangopier_manifest_entries_left_out", Help: "Entries of the manifest in force that cannot be decoded.",
		}, []string{"part"}),
	}
	registerer.MustRegister(faults.gauge)
	faults.count(&site.Manifest{})
	return faults
}

// report logs and counts the entries that a manifest lacks.
func (faults *manifestFaults) report(manifest *site.Manifest) {
	for _, fault := range manifest.Faults[:min(len(manifest.Faults), maxLoggedFaults)] {
		faults.logger.Error().Err(fault.Err).Int64("manifest", manifest.Version).Str("entry", fault.Part).Str("name", fault.Name).
			Int("left-out", len(manifest.Faults)).Msg("manifest entry cannot be decoded; left out")
	}
	faults.count(manifest)
}

func (faults *manifestFaults) count(manifest *site.Manifest) {
	counts := map[string]int{"route": 0, "service": 0, "tenant": 0, "limits": 0}
	for _, fault := range manifest.Faults {
		counts[fault.Part]++
	}
	for part, count := range counts {
		faults.gauge.WithLabelValues(part).Set(float64(count))
	}
}
