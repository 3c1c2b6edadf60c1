package origin

import "time"

// streams holds the origins of streams, by hash, in two generations. A generation lasts at
// least for the time in which a stream may be taken up, unless it gets too large.
type streams struct {
	current, previous map[uint64]sighting
	startedAt         time.Time // of the current generation
}

// add adds a stream, or replaces its origin.
func (streams *streams) add(hash uint64, seen sighting, generation time.Duration) {
	now := time.Now()
	if streams.current == nil {
		streams.current, streams.startedAt = map[uint64]sighting{}, now
	}
	if now.Sub(streams.startedAt) > generation || len(streams.current) >= maxStreams {
		streams.previous, streams.current, streams.startedAt = streams.current, map[uint64]sighting{}, now
	}
	streams.current[hash] = seen
}

// find returns the origin of a stream.
func (streams *streams) find(hash uint64) (sighting, bool) {
	if seen, ok := streams.current[hash]; ok {
		return seen, true
	}
	seen, ok := streams.previous[hash]
	return seen, ok
}

// copyTo adds the streams to others until those have limit, the newer generation first.
func (streams *streams) copyTo(others map[uint64]sighting, limit int) {
	for _, generation := range []map[uint64]sighting{streams.current, streams.previous} {
		for hash, seen := range generation {
			if len(others) < limit {
				others[hash] = seen
			}
		}
	}
}
