package proxy

import (
	"context"
	"net/http"
	"time"

	"mangopier.example/mangopier/internal/coordination/reach"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/front"
)

// Peers are the other instances, which run requests for this one while it does not
// reach the targets of a service.
type Peers interface {
	// Choose returns an instance that reaches a service and is not in except. With
	// resuming, it has a stream go on at a software version only. It returns false if
	// there is none.
	Choose(service string, resuming bool, except []string) (instance string, ok bool)
	// Do has an instance run a request. Errors are of type *back.CallError.
	Do(ctx context.Context, instance string, request *site.ForwardedRequest) (*back.Response, error)
}

// WithPeers sets the other instances and the tracker that tells which services are
// out of reach. By default no service is, and no request is forwarded.
func WithPeers(peers Peers, tracker *reach.Tracker) Option {
	return func(proxy *Proxy) { proxy.peers, proxy.reach = peers, tracker }
}

// noPeers is the default of WithPeers.
type noPeers struct{}

func (noPeers) Choose(string, bool, []string) (string, bool) { return "", false }

func (noPeers) Do(context.Context, string, *site.ForwardedRequest) (*back.Response, error) {
	return nil, &back.CallError{State: back.NotSent, Err: code.Errorf(code.PeerUnreachable, "no other instance is known")}
}

// ServeForwarded serves a request that another instance has checked and forwarded.
// It is not forwarded again. Panics are those of ServeHTTP.
func (proxy *Proxy) ServeForwarded(ctx context.Context, w http.ResponseWriter, request *site.ForwardedRequest) {
	exchange := &exchange{proxy: proxy, w: w, started: time.Now(), forwarded: true}
	exchange.status = "open"
	exchange.id, exchange.host, exchange.path = request.Request.AttemptID, request.Request.Host, request.Request.Path
	defer exchange.end()
	if err := exchange.acceptForwarded(request); err != nil {
		exchange.refuse(err)
		return
	}
	exchange.serve(ctx)
}

// acceptForwarded takes over the decisions of the instance that forwarded the
// request.
func (exchange *exchange) acceptForwarded(request *site.ForwardedRequest) error {
	exchange.manifest = exchange.proxy.manifest.Load()
	if exchange.manifest == nil {
		return code.Errorf(code.NotReady, "no manifest has been received yet")
	}
	exchange.request, exchange.route, exchange.team = &request.Request, &request.Route, request.Team
	exchange.deadline = exchange.started.Add(request.Timeout)
	service, ok := exchange.manifest.Services[request.Service]
	if !ok {
		return code.Errorf(code.NoTarget, "the manifest has no service for the route")
	}
	exchange.service = service
	if request.Software != nil {
		exchange.origin = streamOrigin{begun: true, known: true, version: *request.Software}
	}
	return nil
}

// choosePeer returns an instance to forward the request to, if it should be. Unsent
// is the number of calls that reached no target; local reports whether there is a
// target of the stage to call.
func (exchange *exchange) choosePeer(stage site.Stage, unsent int, local bool, tried []string) (string, bool) {
	if !exchange.shouldForward(stage, unsent, local) {
		return "", false
	}
	peer, ok := exchange.proxy.peers.Choose(exchange.service.Name, exchange.origin.begun, tried)
	return peer, ok && exchange.payArrival()
}

// shouldForward reports whether the request should be forwarded: the service is out
// of reach, or a call reached no target, or there is none to call, and most targets of
// the stage do not take connections. Targets that are busy are so for all instances,
// and a few that do not take connections have crashed.
func (exchange *exchange) shouldForward(stage site.Stage, unsent int, local bool) bool {
	if exchange.forwarded {
		return false
	}
	return exchange.outOfReach() || ((unsent > 0 || !local) && exchange.proxy.scheduler.MostUnreachable(exchange.service.Name, stage))
}

// payArrival takes a retry from the budget if the next call that reaches a target is
// not the first one, unless that retry has been taken. It reports whether the call
// may be made.
func (exchange *exchange) payArrival() bool {
	return exchange.arrivals.Load() <= exchange.spentRetries || exchange.spendRetry(outcomeMayHaveRun)
}

// outOfReach reports whether no target of the service can be called from here.
func (exchange *exchange) outOfReach() bool {
	return exchange.proxy.reach.Lost(exchange.service.Name)
}

// canDecode reports whether a prompt is worth prefilling here. If no decode engine is
// in reach, the instance to which the request is forwarded has it prefilled.
func (exchange *exchange) canDecode() bool {
	if exchange.outOfReach() {
		return false
	}
	return exchange.forwarded || !exchange.proxy.scheduler.IsStageOutOfReach(exchange.service.Name, site.Decode)
}

// lostSignal returns a channel that is closed when the service gets out of reach. It
// is nil for a request that another instance forwarded, which has no other way.
func (exchange *exchange) lostSignal() <-chan struct{} {
	if exchange.forwarded {
		return nil
	}
	return exchange.proxy.reach.LostSignal(exchange.service.Name)
}

// forward has another instance run the request. Errors are those of Peers.Do.
func (exchange *exchange) forward(ctx context.Context, peer string, forwarded *site.ForwardedRequest) (*back.Response, site.ResponseInfo, error) {
	response, err := exchange.proxy.peers.Do(ctx, peer, forwarded)
	exchange.countArrival(err)
	if err != nil {
		return nil, site.ResponseInfo{}, err
	}
	info := exchange.proxy.codec.ParseResponse(response.Status, response.Header)
	if run := response.Header.Get(front.HeaderRun); run != "" {
		info.NotRun = run == code.NotRun.String()
	}
	return response, info, nil
}

// newForwarded returns the request as another instance is to run it, after the last
// event that the caller has.
func (exchange *exchange) newForwarded(lastEventID string) *site.ForwardedRequest {
	forwarded := &site.ForwardedRequest{
		Request: *exchange.request, Route: *exchange.route, Team: exchange.team, Service: exchange.service.Name,
		ManifestVersion: exchange.manifest.Version, Timeout: exchange.remaining(),
	}
	// This instance counts the runs and repeats the request if it may.
	forwarded.Route.MaxAttempts = 1
	forwarded.Request.APIKey = ""
	forwarded.Request.LastEventID = lastEventID
	if exchange.origin.begun {
		version := exchange.origin.version
		forwarded.Software = &version
	}
	return forwarded
}
