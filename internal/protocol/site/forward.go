package site

import "time"

// ForwardedRequest is a caller's request that an instance sends to another instance,
// which reaches the targets of the service and runs the request for it. The first
// instance has checked the caller's key, which is not sent along.
type ForwardedRequest struct {
	Request         Request // without the caller's API key
	Route           Route
	Team            Team
	Service         string
	ManifestVersion int64         // that the route and the team are taken from
	Timeout         time.Duration // until the caller's deadline
	// Software is the version of targets' software at which a stream has to go on, nil
	// for a stream that the caller has no event of.
	Software *string
}
