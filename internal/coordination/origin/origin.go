// Package origin remembers which version of the targets' software began a stream. What
// two versions write does not fit together, so that a stream may go on only at the
// version that began it, at whichever instance its caller takes it up.
//
// Instances tell each other the streams that they begin and the versions that are or
// were in service. While several versions are, two other instances keep each stream before
// its caller gets the first event, and are asked when the caller takes it up. A stream that
// no live instance knows may go on only if a single version can have begun it.
package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// defaultTimeout is the timeout of a route that sets none.
	defaultTimeout = time.Minute
	// minGeneration is the least time for which streams are kept.
	minGeneration = 10 * time.Second
	// maxStreams bounds the streams of one generation. Beyond it, the oldest are
	// forgotten early.
	maxStreams = 50_000
	// maxTold bounds the streams of a full report, so that it fits into a datagram.
	maxTold = 2000
	// tellRounds is in how many reports to an instance a stream is told. One of them
	// may get lost.
	tellRounds = 2
)

// Option configures a Tracker.
type Option func(*Tracker)

// WithFirstStart states that the whole site starts for the first time, so that no
// version was in service before.
func WithFirstStart() Option {
	return func(tracker *Tracker) { tracker.knownSince = time.Time{} }
}

// WithCurrentTargets sets the function that reads the list of targets anew. Its result is as
// of a time after the call; false stands for none. Without the option, the list at hand
// counts as current.
func WithCurrentTargets(read func(ctx context.Context) ([]site.Target, bool)) Option {
	return func(tracker *Tracker) { tracker.readTargets = read }
}

// Tracker keeps the origins of streams. Its methods may be called by several goroutines.
type Tracker struct {
	mutex      sync.Mutex
	memory     time.Duration // how long after its begin a stream may be taken up
	services   []string      // whose streams may be taken up
	targets    []site.Target
	sightings  map[sighting]time.Time // when a version was last in service
	knownSince time.Time              // from when on no version was in service that is not in sightings
	round      int                    // of reports

	readTargets func(ctx context.Context) ([]site.Target, bool) // nil if the list at hand is current

	self  string
	peers Peers // nil if reports alone tell the streams

	// Those that this instance began or keeps are apart from those that it has heard of,
	// since reports tell all streams of the site.
	kept, heard streams
	begun       []begunStream // by this instance, told in the next reports
	changed     chan struct{} // closed when streams are added
}

// sighting is a version of a service's targets.
type sighting struct{ service, version string }

// begunStream is a stream that began at this instance.
type begunStream struct {
	sighting

	hash  uint64
	round int
}

// New returns a tracker that knows no target and no earlier version.
func New(opts ...Option) *Tracker {
	now := time.Now()
	tracker := &Tracker{
		knownSince: now,
		sightings:  map[sighting]time.Time{}, changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(tracker)
	}
	return tracker
}

// SetManifest sets the services whose streams may be taken up, and how long: a caller
// that has received events for the time of its route may take them up for as long again.
// The time never gets shorter, since streams go on that began under an earlier manifest.
func (tracker *Tracker) SetManifest(manifest *site.Manifest) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.services = nil
	for _, route := range manifest.Routes {
		if !route.Resumable {
			continue
		}
		timeout := route.Timeout
		if timeout <= 0 {
			timeout = defaultTimeout
		}
		tracker.memory = max(tracker.memory, 2*timeout)
		for _, service := range route.Split {
			tracker.services = append(tracker.services, service.Service)
		}
	}
	slices.Sort(tracker.services)
	tracker.services = slices.Compact(tracker.services)
}

// SetTargets replaces the list of targets.
func (tracker *Tracker) SetTargets(targets []site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	tracker.markInService(tracker.targets, now) // those that leave the list were in service until now
	tracker.targets = targets
	tracker.markInService(tracker.targets, now)
}

// markInService records that the versions of targets are in service.
func (tracker *Tracker) markInService(targets []site.Target, now time.Time) {
	for i := range targets {
		target := &targets[i]
		tracker.sightings[sighting{target.Service, target.Software}] = now
	}
}

// Record records that a stream of a caller's attempt began or goes on at a version. Its
// caller may get events after the call.
func (tracker *Tracker) Record(service, attempt, version string) {
	hash, seen := streamHash(service, attempt), sighting{service, version}
	if tracker.recordBegun(hash, seen) && tracker.peers != nil {
		tracker.tellKeepers(hash, seen)
	}
}

// recordBegun adds a stream of this instance. It returns true if another version than that
// of the stream may be in service.
func (tracker *Tracker) recordBegun(hash uint64, seen sighting) (ambiguous bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.add(&tracker.kept, hash, seen)
	tracker.begun = append(tracker.begun, begunStream{seen, hash, tracker.round})
	return tracker.isAmbiguous(seen)
}

// isAmbiguous reports whether another version of a service may have begun a stream that can
// still be taken up, as far as is known without a look at the list of targets.
func (tracker *Tracker) isAmbiguous(seen sighting) bool {
	now := time.Now()
	if now.Sub(tracker.knownSince) < tracker.memory {
		return true
	}
	for other, at := range tracker.sightings {
		if other.service == seen.service && other.version != seen.version && now.Sub(at) <= tracker.memory {
			return true
		}
	}
	return false
}

func streamHash(service, attempt string) uint64 {
	return xxhash.Sum64String(service + "\x00" + attempt)
}

func (tracker *Tracker) add(streams *streams, hash uint64, seen sighting) {
	streams.add(hash, seen, max(tracker.memory, minGeneration))
	close(tracker.changed)
	tracker.changed = make(chan struct{})
}

// Lookup returns the version that began the stream of a caller's attempt, as far as this
// instance knows the versions in service. It returns false if the version is not known.
func (tracker *Tracker) Lookup(service, attempt string) (string, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if seen, ok := tracker.recall(streamHash(service, attempt)); ok {
		return seen.version, true
	}
	return tracker.single(service)
}

// recall returns the origin of a stream that this instance began or was told.
func (tracker *Tracker) recall(hash uint64) (sighting, bool) {
	if seen, ok := tracker.kept.find(hash); ok {
		return seen, true
	}
	return tracker.heard.find(hash)
}

// single returns the version of a service if no other one can have begun its streams.
func (tracker *Tracker) single(service string) (string, bool) {
	now := time.Now()
	if now.Sub(tracker.knownSince) < tracker.memory {
		return "", false
	}
	versions := tracker.versions(service, now)
	switch len(versions) {
	case 0:
		return "", true
	case 1:
		return versions[0], true
	default:
		return "", false
	}
}

// Await is Lookup, but asks other instances for the stream, and waits for them until wait has
// passed or ctx ends. If none has told it yet, the list of targets is read anew: this instance
// may have been cut off or paused while targets of another version joined and began the stream.
func (tracker *Tracker) Await(ctx context.Context, service, attempt string, wait time.Duration) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	hash := streamHash(service, attempt)
	var current <-chan bool
	var askedAt time.Time
	isCurrent := tracker.readTargets == nil
	askAgain := time.NewTicker(askInterval)
	defer askAgain.Stop()
	for {
		tracker.mutex.Lock()
		seen, ok := tracker.recall(hash)
		version, isSingle := tracker.single(service)
		changed := tracker.changed
		tracker.mutex.Unlock()
		switch {
		case ok:
			return seen.version, true
		case isSingle && isCurrent:
			return version, true
		}
		if !isCurrent && current == nil {
			current = tracker.refresh(ctx)
		}
		if !isSingle && time.Since(askedAt) >= askInterval {
			tracker.askKeepers(hash)
			askedAt = time.Now()
		}
		select {
		case <-changed:
		case isCurrent = <-current:
		case <-askAgain.C:
		case <-ctx.Done():
			return "", false
		}
	}
}

// refresh reads the list of targets and records the versions in it. The channel gets true
// when that is done, and nothing if the list cannot be read.
func (tracker *Tracker) refresh(ctx context.Context) <-chan bool {
	done := make(chan bool, 1)
	go func() {
		targets, ok := tracker.readTargets(ctx)
		if !ok {
			return
		}
		tracker.mutex.Lock()
		defer tracker.mutex.Unlock()
		tracker.markInService(targets, time.Now())
		done <- true
	}()
	return done
}

// versions returns the versions that may have begun a stream of a service that can still
// be taken up, sorted.
func (tracker *Tracker) versions(service string, now time.Time) []string {
	tracker.markInService(tracker.targets, now)
	var versions []string
	for seen, at := range tracker.sightings {
		switch {
		case now.Sub(at) > tracker.memory:
			delete(tracker.sightings, seen)
		case seen.service == service:
			versions = append(versions, seen.version)
		}
	}
	slices.Sort(versions)
	return versions
}

// Versions returns, by service, the versions that may have begun a stream that can still
// be taken up. It returns nil while versions may have been in service that are not known.
func (tracker *Tracker) Versions() map[string][]string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	if now.Sub(tracker.knownSince) < tracker.memory {
		return nil
	}
	versions := map[string][]string{}
	for _, service := range tracker.services {
		versions[service] = tracker.versions(service, now)
	}
	return versions
}

// Restore adds the versions that were in service before the start, as an earlier run of
// an instance returned them from Versions and kept them up to date.
func (tracker *Tracker) Restore(versions map[string][]string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	for service, seen := range versions {
		for _, version := range seen {
			tracker.sightings[sighting{service, version}] = now
		}
	}
	tracker.knownSince = time.Time{}
}

// Serves reports whether a target of a service is listed with a version.
func (tracker *Tracker) Serves(service, version string) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return slices.ContainsFunc(tracker.targets, func(target site.Target) bool {
		return target.Service == service && target.Software == version
	})
}

// Others returns the IDs of the listed targets of a service that have another version.
func (tracker *Tracker) Others(service, version string) []string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var ids []string
	for i := range tracker.targets {
		if target := &tracker.targets[i]; target.Service == service && target.Software != version {
			ids = append(ids, target.ID)
		}
	}
	return ids
}
