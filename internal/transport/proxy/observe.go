package proxy

import (
	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// observe parses the status and the headers of a target's response, and passes on
// to the scheduler what the target states about itself.
func (proxy *Proxy) observe(target site.Target, response *back.Response) site.ResponseInfo {
	info := proxy.codec.ParseResponse(response.Status, response.Header)
	if info.Misdirected { // another target answered
		proxy.crashes.RecordReplaced(target)
		return info
	}
	if info.Leaving {
		leaving := place.NewLeavingTarget(target)
		proxy.crashes.MarkLeaving(leaving.ID, leaving.StartedMS)
	}
	if info.Leaving && proxy.scheduler.MarkLeaving(place.NewLeavingTarget(target)) {
		proxy.logger.Info().Str("target", target.ID).Str("from", "answer").Msg("target leaves; it gets no new requests")
	}
	if info.RetryAfter > 0 {
		proxy.scheduler.MarkQuiet(target.ID, info.RetryAfter)
	}
	if info.InvalidRetryAfter != "" {
		proxy.logInvalidRetryAfter(target, info)
	}
	return info
}

// logInvalidRetryAfter writes a log line about the first such answer of a target.
func (proxy *Proxy) logInvalidRetryAfter(target site.Target, info site.ResponseInfo) {
	if _, logged := proxy.invalidRetryAfter.LoadOrStore(target.ID, true); logged {
		return
	}
	proxy.logger.Warn().Str("target", target.ID).Str("retry-after", sanitizeForLog(info.InvalidRetryAfter)).Msg("target asks for an unusable pause; ignored")
}
