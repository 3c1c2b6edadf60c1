package proxy

import (
	"context"
	"slices"
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/detour"
)

// streamOrigin is the version of targets' software at which a stream began.
type streamOrigin struct {
	begun   bool // the caller has events of the stream
	known   bool
	version string
}

// originWait is how long to wait for other instances to tell the origin of a stream:
// two heartbeats.
const originWait = 250 * time.Millisecond

// findOrigin finds the version at which a stream has to go on that the caller takes up.
// Errors have code.StreamNotResumable.
func (exchange *exchange) findOrigin(ctx context.Context) error {
	if exchange.request.LastEventID == "" || !exchange.route.Resumable || exchange.origin.begun {
		return nil
	}
	origins, service := exchange.proxy.origins, exchange.service.Name
	exchange.origin.begun = true
	exchange.origin.version, exchange.origin.known = origins.Await(ctx, service, exchange.request.Resumes, originWait)
	if !exchange.origin.known {
		return code.Errorf(code.StreamNotResumable, "the software version that began the stream is not known")
	}
	if !origins.Serves(service, exchange.origin.version) && !exchange.outOfReach() {
		return code.Errorf(code.StreamNotResumable, "no target has the software version %s that began the stream", exchange.origin.version)
	}
	return nil
}

// beginStream records that the caller gets events of a run. It returns false if the
// stream began at another software version, or if the run does not tell its version.
func (exchange *exchange) beginStream(run *decodeRun) bool {
	if run.hasSent {
		return true
	}
	version, known := software(&run.assignment.Target, run.peer, run.response)
	if run.peer == "" && exchange.proxy.boots.Restarted(run.assignment.Target) {
		known = false
	}
	return exchange.beginAt(version, known)
}

// beginAt is beginStream for a stream whose events come from targets of a version.
func (exchange *exchange) beginAt(version string, known bool) bool {
	origin := &exchange.origin
	if origin.begun && (!known || !origin.known || version != origin.version) {
		return false
	}
	if !origin.begun {
		*origin = streamOrigin{begun: true, known: known, version: version}
	}
	if exchange.forwarded && known {
		exchange.w.Header().Set(detour.HeaderSoftware, version)
	}
	exchange.recordOrigin()
	return true
}

// recordOrigin makes the origin of the stream known to the instances at which the
// caller may take it up.
func (exchange *exchange) recordOrigin() {
	if !exchange.route.Resumable || !exchange.origin.known || exchange.forwarded {
		return
	}
	attempt := exchange.request.AttemptID
	if exchange.request.LastEventID != "" {
		attempt = exchange.request.Resumes
	}
	exchange.proxy.origins.Record(exchange.service.Name, attempt, exchange.origin.version)
}

// withoutOtherVersions returns except and the targets at which the stream cannot go on.
func (exchange *exchange) withoutOtherVersions(except []string) []string {
	if !exchange.origin.begun {
		return except
	}
	return append(slices.Clone(except), exchange.proxy.origins.Others(exchange.service.Name, exchange.origin.version)...)
}

// fits reports whether the stream can go on at the target of an assignment. The list of
// targets may have changed since withoutOtherVersions.
func (exchange *exchange) fits(assignment *place.Assignment) bool {
	return !exchange.origin.begun || assignment.Target.Software == exchange.origin.version
}

// software returns the version of the software that a response comes from: that of the
// target, or what the instance peer tells that called one. It returns false if that
// instance does not tell it.
func software(target *site.Target, peer string, response *back.Response) (string, bool) {
	switch {
	case peer == "":
		return target.Software, true
	case response == nil || response.Software == nil:
		return "", false
	default:
		return *response.Software, true
	}
}
