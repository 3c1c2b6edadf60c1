package loader

// Option changes a setting of a Scheduler.
type Option func(*Scheduler)

// WithLoadingShare sets which share of the targets that hold a model may load
// at once in a data centre. One may load in any case where the model stays
// served. The default is 0.25.
func WithLoadingShare(share float64) Option {
	return func(scheduler *Scheduler) { scheduler.share = share }
}
