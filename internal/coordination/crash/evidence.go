package crash

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopier.example/mangopier/internal/protocol/site"
)

const (
	// maxUnanswered bounds the runs that are remembered until their targets are
	// known to have ended.
	maxUnanswered = 4096
	// rowEvidenceWindow is how long after a run ended the list of targets may show
	// that its target had crashed. Entries of crashed targets expire after three
	// missed heartbeats.
	rowEvidenceWindow = 6 * time.Second
	// refusalWindow is how long before a refused connection a run must have ended
	// for both to have the same cause.
	refusalWindow = 2 * time.Second
)

// targetRun identifies the time from a start of a target until its end.
type targetRun struct {
	id      string
	started int64 // Unix milliseconds, 0 if unknown
}

func newTargetRun(target site.Target) targetRun {
	if target.Started.IsZero() {
		return targetRun{id: target.ID}
	}
	return targetRun{target.ID, target.Started.UnixMilli()}
}

// hash returns a number that is the same at all instances.
func (targetRun targetRun) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(targetRun.id)
	var bytes [9]byte
	for i := range 8 {
		bytes[i+1] = byte(targetRun.started >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return digest.Sum64()
}

// listedTarget is the entry of a target in the list.
type listedTarget struct{ leaving bool }

// remember keeps a run that ended without an answer, and drops old ones.
func (tracker *Tracker) remember(ended endedRun) {
	expired, _ := slices.BinarySearchFunc(tracker.unanswered, ended.endedAt.Add(-rowEvidenceWindow), func(run endedRun, limit time.Time) int {
		return run.endedAt.Compare(limit)
	})
	expired = max(expired, len(tracker.unanswered)+1-maxUnanswered)
	tracker.unanswered = append(slices.Delete(tracker.unanswered, 0, expired), ended)
}

// RecordRefused records that a target refuses connections. Runs at it that were lost
// a moment ago count against their requests, unless the target leaves or was not
// listed.
func (tracker *Tracker) RecordRefused(target site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	run := newTargetRun(target)
	if tracker.isListed(run) {
		tracker.markCrashed(run)
		tracker.recordCrash(run, "refuses connections", refusalWindow)
	}
}

// RecordReplaced records that another target has the address of a target.
func (tracker *Tracker) RecordReplaced(target site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	run := newTargetRun(target)
	if tracker.isListed(run) {
		tracker.markCrashed(run)
		tracker.recordCrash(run, "replaced at its address", rowEvidenceWindow)
	}
}

// SetTargets replaces the list of targets. A target that is not listed any more, or
// with a later start, has crashed unless it was listed as leaving.
func (tracker *Tracker) SetTargets(targets []site.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	listed := make(map[targetRun]listedTarget, len(targets))
	for _, target := range targets {
		run := newTargetRun(target)
		listed[run] = listedTarget{leaving: target.Draining || tracker.listed[run].leaving}
	}
	for run, before := range tracker.listed {
		if _, ok := listed[run]; !ok && !before.leaving {
			tracker.recordCrash(run, "not listed any more", rowEvidenceWindow)
		}
	}
	tracker.listed = listed
	tracker.expire(time.Now())
}

// MarkLeaving records that a target, which started at a Unix time in milliseconds, 0
// if unknown, has announced its end.
func (tracker *Tracker) MarkLeaving(id string, startedMS int64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if run := (targetRun{id, startedMS}); tracker.isListed(run) {
		tracker.listed[run] = listedTarget{leaving: true}
	}
}

// isListed reports whether a target is listed and does not leave.
func (tracker *Tracker) isListed(run targetRun) bool {
	listed, ok := tracker.listed[run]
	return ok && !listed.leaving
}

// markCrashed keeps the time at which a target was seen to have ended, for runs that
// are found lost after that.
func (tracker *Tracker) markCrashed(run targetRun) {
	if _, ok := tracker.crashed[run]; !ok {
		tracker.crashed[run] = time.Now()
	}
}

// recordCrash counts the crash of a target against the requests whose runs at it
// ended within the window before now.
func (tracker *Tracker) recordCrash(target targetRun, evidence string, window time.Duration) {
	now := time.Now()
	var ended []endedRun
	tracker.unanswered = slices.DeleteFunc(tracker.unanswered, func(run endedRun) bool {
		if run.target != target || now.Sub(run.endedAt) >= window {
			return false
		}
		ended = append(ended, run)
		return true
	})
	if len(ended) == 0 {
		return
	}
	tracker.logger.Warn().Str("target", target.id).Str("evidence", evidence).Int("requests", len(ended)).
		Int64("age-ms", now.Sub(ended[0].endedAt).Milliseconds()).Msg("target ended while it ran requests")
	tracker.blame(ended, now)
}
