package bench

import "time"

// prefillShareFunc returns the share of prefill in all work at a time.
type prefillShareFunc func(at time.Duration) float64

// Shares of prefill in all work.
const (
	roleBaseShare = 0.27
	roleLowShare  = roleBaseShare / 2
	roleHighShare = roleBaseShare * 3 / 2
)

func steadyShare(time.Duration) float64 { return roleBaseShare }

func stepShare(at time.Duration) float64 {
	switch {
	case at < 120*time.Second:
		return roleBaseShare
	case at < 300*time.Second:
		return roleHighShare
	case at < 480*time.Second:
		return roleLowShare
	default:
		return roleBaseShare
	}
}

func rampShare(at time.Duration) float64 {
	up := clampShare((at - 60*time.Second).Seconds() / 180)
	down := clampShare((at - 300*time.Second).Seconds() / 240)
	return roleBaseShare + up*(roleHighShare-roleBaseShare) - down*(roleHighShare-roleLowShare)
}

func swingShare(at time.Duration) float64 {
	if (at/(10*time.Second))%2 == 0 {
		return roleHighShare
	}
	return roleLowShare
}

func clampShare(value float64) float64 { return min(max(value, 0), 1) }
