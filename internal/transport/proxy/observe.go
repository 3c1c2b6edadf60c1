package proxy

import (
	"time"

	"mangopier.example/mangopier/internal/coordination/place"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
)

// observe parses the status and the headers of a target's response to a call that was
// sent at a time, and passes on to the scheduler what the target states about itself.
func (proxy *Proxy) observe(target site.Target, response *back.Response, sentAt time.Time) site.ResponseInfo {
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
		proxy.logInvalid(target, "retry-after", info.InvalidRetryAfter, "target asks for an unusable pause; ignored")
	}
	proxy.observeLimit(target, info, sentAt)
	return info
}

// observeLimit passes on the limit that a target names, or that it names none.
func (proxy *Proxy) observeLimit(target site.Target, info site.ResponseInfo, sentAt time.Time) {
	switch {
	case info.InvalidLimit != "":
		proxy.logInvalid(target, "per-second", info.InvalidLimit, "target names an unusable limit; ignored")
	case info.Limit != nil:
		if proxy.scheduler.MarkLimited(target.ID, *info.Limit) {
			proxy.logger.Info().Str("target", target.ID).Str("from", "answer").Float64("per-second", *info.Limit).Msg("target names a limit")
		}
	case proxy.scheduler.MarkUnlimited(target.ID, sentAt):
		proxy.logger.Info().Str("target", target.ID).Str("from", "answer").Msg("target names no limit any more")
	}
}

// logInvalid writes a log line about the first unusable value of a target for a
// header, with the value in a field.
func (proxy *Proxy) logInvalid(target site.Target, field, value, message string) {
	if _, logged := proxy.invalidHeaders.LoadOrStore(target.ID+" "+field, true); logged {
		return
	}
	proxy.logger.Warn().Str("target", target.ID).Str(field, sanitizeForLog(value)).Msg(message)
}
