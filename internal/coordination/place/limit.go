package place

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"mangopier.example/mangopier/internal/coordination/lease"
)

// A target may name a limit: the requests a second that it takes from all instances
// together. Some instances, which all choose alike from the members that they know,
// get an equal share of it; the others leave the target alone. An instance has one
// request at once at least, so that there are fewer of them for a low limit.

const (
	// extraShares is how many instances more than the limit get a share. The requests
	// that all of them may send at once stay below what a target allows beyond its
	// limit, also while two instances disagree about who has a share.
	extraShares = 3
	// shareBurst is the time whose requests of a share may be sent at once, if it is
	// more than one request.
	shareBurst = 250 * time.Millisecond
	// minLimit is the least limit, in requests a second, so that a target that takes
	// none can say that this has changed.
	minLimit = 0.1
	// statementTolerance is by how much a statement of another instance has to be newer
	// than the known one. It covers the time that reports take.
	statementTolerance = 300 * time.Millisecond
	// liftReportedFor is how long other instances are told that a limit has ended.
	liftReportedFor = 15 * time.Second
	// maxReportedLimits limits the targets of one report, so that a heartbeat fits into a
	// datagram.
	maxReportedLimits = 64
)

// targetLimit is what a target has said about its limit, and this instance's share.
type targetLimit struct {
	perSecond float64
	lifted    bool          // the target has said since that it has none
	statedAt  time.Time     // when the newest statement arrived, here or at another instance
	share     *rate.Limiter // nil without a share
	askAt     time.Time     // when the target may be asked again without a share
}

// TargetLimit is what an instance tells others about the limit of a target.
type TargetLimit struct {
	ID        string  `cbor:"1,keyasint"`
	StartedMS int64   `cbor:"2,keyasint,omitempty"` // Unix time of the target's start, 0 if unknown
	PerSecond float64 `cbor:"3,keyasint,omitempty"` // requests a second
	Lifted    bool    `cbor:"4,keyasint,omitempty"` // the target names no limit any more
	AgeMS     int64   `cbor:"5,keyasint,omitempty"` // since the target said so, in milliseconds
}

// SetMembers sets the name of this instance and the instances among which limits are
// divided. An instance that is not among them has no shares.
func (scheduler *Scheduler) SetMembers(self string, members []string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.self == self && slices.Equal(scheduler.members, members) {
		return
	}
	scheduler.self, scheduler.members = self, slices.Clone(members)
	now := time.Now()
	for _, state := range scheduler.targets {
		if state.isLimited() {
			scheduler.divideLimit(state, now)
		}
	}
}

// MarkLimited records that an answer of a target names a limit of requests a second.
// It returns true if that is new.
func (scheduler *Scheduler) MarkLimited(id string, perSecond float64) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, ok := scheduler.stated(id)
	if !ok {
		return false
	}
	now := time.Now()
	if state.isLimited() && state.limit.perSecond == perSecond {
		state.limit.statedAt, state.limit.askAt = now, scheduler.nextAsk(now)
		return false
	}
	scheduler.setLimit(state, targetLimit{perSecond: perSecond, statedAt: now})
	return true
}

// MarkUnlimited records that the answer to a request that was sent at a time names no
// limit, which ends the limit unless that was named later. It returns true if it does.
func (scheduler *Scheduler) MarkUnlimited(id string, sentAt time.Time) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, ok := scheduler.targets[id]
	if !ok || !state.isLimited() || !sentAt.After(state.limit.statedAt) {
		return false
	}
	scheduler.setLimit(state, targetLimit{lifted: true, statedAt: time.Now()})
	return true
}

// MergeLimits adds what another instance knows of limits. It returns the targets whose
// limits have changed.
func (scheduler *Scheduler) MergeLimits(limits []TargetLimit) []TargetLimit {
	if len(limits) == 0 {
		return nil
	}
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	var changed []TargetLimit
	for _, limit := range limits {
		state, ok := scheduler.targets[limit.ID]
		if !ok || startedMS(state.Started) != limit.StartedMS || !(limit.PerSecond >= 0) {
			continue
		}
		statedAt := now.Add(-time.Duration(max(0, limit.AgeMS)) * time.Millisecond)
		if !scheduler.isNewer(state, limit, statedAt) {
			continue
		}
		if state.isLimited() == limit.Lifted || (state.isLimited() && state.limit.perSecond != limit.PerSecond) {
			changed = append(changed, limit)
		}
		scheduler.setLimit(state, targetLimit{perSecond: limit.PerSecond, lifted: limit.Lifted, statedAt: statedAt})
	}
	return changed
}

// isNewer reports whether a statement of another instance replaces the known one. Of
// two that are about equally old, the lower limit counts.
func (scheduler *Scheduler) isNewer(state *targetState, limit TargetLimit, statedAt time.Time) bool {
	known := state.limit
	if known == nil {
		return !limit.Lifted
	}
	age := statedAt.Sub(known.statedAt)
	if age.Abs() > statementTolerance {
		return age > 0
	}
	return !limit.Lifted && (known.lifted || limit.PerSecond < known.perSecond)
}

// Limits returns the limits to tell other instances, a random choice of
// maxReportedLimits if there are more.
func (scheduler *Scheduler) Limits() []TargetLimit {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := time.Now()
	var limits []TargetLimit
	for id, state := range scheduler.targets {
		limit := state.limit
		if limit == nil || (limit.lifted && now.Sub(limit.statedAt) > liftReportedFor) {
			continue
		}
		limits = append(limits, TargetLimit{
			ID: id, StartedMS: startedMS(state.Started), PerSecond: limit.perSecond, Lifted: limit.lifted,
			AgeMS: now.Sub(limit.statedAt).Milliseconds(),
		})
	}
	scheduler.random.Shuffle(len(limits), func(i, j int) { limits[i], limits[j] = limits[j], limits[i] })
	return limits[:min(len(limits), maxReportedLimits)]
}

// TakeCall counts a call other than a request at a target. It returns false if the
// target has asked for a pause, or if its limit does not allow the call.
func (scheduler *Scheduler) TakeCall(id string) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state, ok := scheduler.targets[id]
	if !ok {
		return true
	}
	now := time.Now()
	if now.Before(state.quietUntil) || !state.hasShare(now) {
		return false
	}
	state.takeShare(now)
	return true
}

func (state *targetState) isLimited() bool { return state.limit != nil && !state.limit.lifted }

// setLimit replaces what is known of a target's limit. A share of this instance
// keeps what it has not used.
func (scheduler *Scheduler) setLimit(state *targetState, limit targetLimit) {
	if state.limit != nil {
		limit.share = state.limit.share
	}
	state.limit = &limit
	if limit.lifted {
		limit.share = nil
		return
	}
	now := time.Now()
	state.limit.askAt = scheduler.nextAsk(now)
	scheduler.divideLimit(state, now)
}

// askInterval is the least time after which an instance without a share asks a target
// of which no instance has told meanwhile, in case the end of its limit went unnoticed.
const askInterval = time.Minute

func (scheduler *Scheduler) nextAsk(now time.Time) time.Time {
	return now.Add(askInterval + time.Duration(scheduler.random.Float64()*float64(askInterval)))
}

// divideLimit computes this instance's share of a target's limit. A new share begins
// empty.
func (scheduler *Scheduler) divideLimit(state *targetState, now time.Time) {
	limit := max(minLimit, state.limit.perSecond)
	count := min(len(scheduler.members), shareCount(limit))
	if count == 0 || !slices.Contains(scheduler.members, scheduler.self) ||
		!lease.IsStandby("limit/"+state.ID, scheduler.self, scheduler.members, count) {
		state.limit.share = nil
		return
	}
	perSecond := rate.Limit(limit / float64(count))
	burst := max(1, int(limit/float64(count)*shareBurst.Seconds()))
	if state.limit.share == nil {
		state.limit.share = rate.NewLimiter(perSecond, burst)
		state.limit.share.AllowN(now, burst)
		return
	}
	state.limit.share.SetLimitAt(now, perSecond)
	state.limit.share.SetBurstAt(now, burst)
}

// shareCount returns how many instances divide a limit of requests a second.
func shareCount(limit float64) int {
	if limit < 1 {
		return 1
	}
	return int(min(limit, 1e6)) + extraShares
}

// hasShare reports whether the limit of the target, if there is one, allows this
// instance a request now.
func (state *targetState) hasShare(now time.Time) bool {
	switch {
	case !state.isLimited():
		return true
	case state.limit.share == nil:
		return !now.Before(state.limit.askAt)
	default:
		return state.limit.share.TokensAt(now) >= 1
	}
}

// takeShare counts a request at the target.
func (state *targetState) takeShare(now time.Time) {
	switch {
	case !state.isLimited():
	case state.limit.share == nil:
		state.limit.askAt = now.Add(askInterval)
	default:
		state.limit.share.ReserveN(now, 1)
	}
}

// noShareTime is the time until which a target without a share for this instance is
// taken to be of no use to it.
const noShareTime = time.Second

// shareAt returns when the limit of the target allows this instance a request.
func (state *targetState) shareAt(now time.Time) time.Time {
	switch {
	case state.hasShare(now):
		return now
	case state.limit.share == nil:
		return now.Add(noShareTime)
	}
	missing := 1 - state.limit.share.TokensAt(now)
	return now.Add(time.Duration(missing / float64(state.limit.share.Limit()) * float64(time.Second)))
}
