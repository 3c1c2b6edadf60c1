package bench

import "time"

// shift gives the share of prefill in all work at a time.
type shift func(at time.Duration) float64

// Shares of prefill in all work.
const (
	roleBaseShare = 0.27
	roleLowShare  = roleBaseShare / 2
	roleHighShare = roleBaseShare * 3 / 2
)

func steadyShift(time.Duration) float64 { return roleBaseShare }

func stepShift(at time.Duration) float64 {
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

func rampShift(at time.Duration) float64 {
	up := clamp((at - 60*time.Second).Seconds() / 180)
	down := clamp((at - 300*time.Second).Seconds() / 240)
	return roleBaseShare + up*(roleHighShare-roleBaseShare) - down*(roleHighShare-roleLowShare)
}

func swingShift(at time.Duration) float64 {
	if (at/(10*time.Second))%2 == 0 {
		return roleHighShare
	}
	return roleLowShare
}

func clamp(value float64) float64 { return min(max(value, 0), 1) }
