package loader

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithMaxLoadingShare sets the maximum fraction of a model's targets in a data
// centre, and of its targets overall, that may load at the same time. One target
// may load regardless of the fraction if the model stays served. The limit does
// not hold back targets that serve no requests. The default is 0.25.
func WithMaxLoadingShare(share float64) Option {
	return func(scheduler *Scheduler) { scheduler.maxLoadingShare = share }
}
