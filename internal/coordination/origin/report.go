package origin

import (
	"cmp"
	"slices"
	"time"
)

// Report is what an instance tells the others.
type Report struct {
	KnownMS  int64     `cbor:"1,keyasint,omitempty"` // time for which the instance knows the versions in service
	Versions []Version `cbor:"2,keyasint,omitempty"` // that were in service in that time
	Streams  []Streams `cbor:"3,keyasint,omitempty"`
}

// Version is a version of a service's targets that is or was in service.
type Version struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
	AgeMS   int64  `cbor:"3,keyasint,omitempty"` // since it was last in service
}

// Streams are streams that began at one version.
type Streams struct {
	Service string   `cbor:"1,keyasint"`
	Version string   `cbor:"2,keyasint,omitempty"`
	Hashes  []uint64 `cbor:"3,keyasint"` // of the attempts
}

// Report returns the report to instances that get one in the given number of rounds. It
// tells the streams that began in the latest rounds.
func (tracker *Tracker) Report(rounds int) Report {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	streams := map[uint64]sighting{}
	for _, begun := range tracker.begun {
		if tracker.round-begun.round < tellRounds*rounds {
			streams[begun.hash] = begun.sighting
		}
	}
	return tracker.report(streams)
}

// FullReport returns the report to an instance that has just started. It tells all streams
// that are known, or maxTold of them.
func (tracker *Tracker) FullReport() Report {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	told := map[uint64]sighting{}
	tracker.kept.copyTo(told, maxTold)
	tracker.heard.copyTo(told, maxTold)
	return tracker.report(told)
}

func (tracker *Tracker) report(streams map[uint64]sighting) Report {
	now := time.Now()
	report := Report{KnownMS: min(now.Sub(tracker.knownSince), tracker.memory).Milliseconds()}
	for _, service := range tracker.services {
		for _, version := range tracker.versions(service, now) {
			age := now.Sub(tracker.sightings[sighting{service, version}])
			report.Versions = append(report.Versions, Version{service, version, age.Milliseconds()})
		}
	}
	report.Streams = groupStreams(streams)
	return report
}

// groupStreams groups streams by service and version.
func groupStreams(streams map[uint64]sighting) []Streams {
	groups := map[sighting][]uint64{}
	for hash, seen := range streams {
		groups[seen] = append(groups[seen], hash)
	}
	grouped := make([]Streams, 0, len(groups))
	for seen, hashes := range groups {
		grouped = append(grouped, Streams{seen.service, seen.version, hashes})
	}
	slices.SortFunc(grouped, func(a, b Streams) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return grouped
}

// maxRounds is the greatest number of rounds in which an instance gets one report.
const maxRounds = 13

// EndRound ends a round of reports.
func (tracker *Tracker) EndRound() {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.round++
	tracker.begun = slices.DeleteFunc(tracker.begun, func(begun begunStream) bool {
		return tracker.round-begun.round >= tellRounds*maxRounds
	})
}

// Merge takes over what another instance tells.
func (tracker *Tracker) Merge(report Report) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	for _, version := range report.Versions {
		seen, at := sighting{version.Service, version.Version}, now.Add(-time.Duration(version.AgeMS)*time.Millisecond)
		if version.AgeMS >= 0 && at.After(tracker.sightings[seen]) {
			tracker.sightings[seen] = at
		}
	}
	known := time.Duration(max(0, report.KnownMS)) * time.Millisecond
	if since := now.Add(-min(known, tracker.memory)); since.Before(tracker.knownSince) {
		tracker.knownSince = since
	}
	for _, group := range report.Streams {
		for _, hash := range group.Hashes {
			if _, ok := tracker.heard.current[hash]; !ok {
				tracker.add(&tracker.heard, hash, sighting{group.Service, group.Version})
			}
		}
	}
}
