// Package detour lets an instance that reaches no target of a service have another
// instance run a caller's request. Server is the side that runs requests, Client
// the side that sends them.
//
// A call is one Connect stream: the peer sends the status and the header of the
// response, then the parts of its body as they are written. Only a stream that ends
// without an error is a complete response.
package detour

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/site"
)

// procedure is the Connect path of the only call.
const procedure = "/mangopier.detour.v1.Detour/Serve"

// Bounds of what one side keeps of what the other sends.
const (
	maxHeaderBytes   = 64 << 10 // head of the HTTP response
	maxRequestBytes  = 8 << 20  // a caller's body has 4 MiB at most
	maxResponseBytes = 20 << 20 // one message; earlier builds send a body of up to 16 MiB in one
	// maxPartBytes is the most of a body that one message holds. A part is not in the bound of
	// the memory for responses until it is read.
	maxPartBytes = 256 << 10
)

// HeaderSoftware is the name of the response header with which a ServeFunc tells the
// version of the software of the target that responded. It is not sent as a header.
const HeaderSoftware = "Mangopier-Software"

// wireRequest is the wire format of a site.ForwardedRequest. The types within it
// are encoded with the names of their fields.
type wireRequest struct {
	Request         site.Request `cbor:"1,keyasint"` // without the caller's API key
	Route           site.Route   `cbor:"2,keyasint"`
	Team            site.Team    `cbor:"3,keyasint"`
	Service         string       `cbor:"4,keyasint"`
	ManifestVersion int64        `cbor:"5,keyasint"`
	TimeoutNS       int64        `cbor:"6,keyasint"`
	Software        *string      `cbor:"7,keyasint,omitempty"`
}

// wireResponse is the first message of a response, which holds the status and the
// header, or a later one, which holds a part of the body.
type wireResponse struct {
	Status int                 `cbor:"1,keyasint,omitempty"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Software is the version of the software of the target that responded, nil if none did.
	Software *string `cbor:"4,keyasint,omitempty"`
}

func newWireRequest(request *site.ForwardedRequest) *wireRequest {
	wireRequest := &wireRequest{
		Request:         request.Request,
		Route:           request.Route,
		Team:            request.Team,
		Service:         request.Service,
		ManifestVersion: request.ManifestVersion,
		TimeoutNS:       request.Timeout.Nanoseconds(),
		Software:        request.Software,
	}
	wireRequest.Request.APIKey = ""
	return wireRequest
}

func (wireRequest *wireRequest) forwardedRequest() *site.ForwardedRequest {
	return &site.ForwardedRequest{
		Request:         wireRequest.Request,
		Route:           wireRequest.Route,
		Team:            wireRequest.Team,
		Service:         wireRequest.Service,
		ManifestVersion: wireRequest.ManifestVersion,
		Timeout:         time.Duration(wireRequest.TimeoutNS),
		Software:        wireRequest.Software,
	}
}
