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
		return info
	}
	if info.Leaving && proxy.scheduler.MarkLeaving(place.NewLeavingTarget(target)) {
		proxy.logger.Info().Str("target", target.ID).Str("from", "answer").Msg("target leaves; it gets no new requests")
	}
	return info
}
