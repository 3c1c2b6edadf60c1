// Package head rejects responses that net/http accepts though their heads are not HTTP/1.1.
package head

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is in the error of a call whose response has a malformed head.
var ErrMalformed = errors.New("malformed head of a response")

// Check returns an error with ErrMalformed if a status is no final one of HTTP, or if the name or a
// value of a field holds a byte that it may not hold. net/http accepts statuses from 0 on, and
// names with blanks: the field of that name, such as the length of the body, is then missing.
func Check(status int, header http.Header) error {
	if status < http.StatusOK {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return checkFields(header)
}

func checkFields(header map[string][]string) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, isInvalid) {
			return fmt.Errorf("%w: field %q", ErrMalformed, name)
		}
	}
	return nil
}

func isInvalid(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }

// maxInterim is the number of interim responses (1xx) that may come before a response. If they
// are looked at, net/http bounds the bytes of each, but not their number.
const maxInterim = 64

// CheckInterim returns the function that httptrace calls with each interim response to one call.
// It fails the call if a field is malformed or if there are too many of them.
func CheckInterim() func(status int, header textproto.MIMEHeader) error {
	count := 0
	return func(_ int, header textproto.MIMEHeader) error {
		if count++; count > maxInterim {
			return fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterim)
		}
		return checkFields(header)
	}
}

// body is a body in chunks. It does not end properly if a field of the trailer is malformed.
type body struct {
	io.ReadCloser

	response *http.Response
}

// Body returns the body of a response. Reading it returns an error with ErrMalformed in place of
// io.EOF if a field of the trailer is malformed.
func Body(response *http.Response) io.ReadCloser {
	if len(response.TransferEncoding) == 0 {
		return response.Body // a trailer comes after chunks only
	}
	return &body{ReadCloser: response.Body, response: response}
}

func (body *body) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if malformed := checkFields(body.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return count, err
}

// Transport is an http.Transport whose calls fail if the head of the response is malformed.
type Transport struct{ *http.Transport }

// New returns a Transport that uses the given one and wraps its DialContext, which must be set.
func New(transport *http.Transport) *Transport {
	transport.DialContext = wrapDial(transport.DialContext)
	return &Transport{transport}
}

// RoundTrip sends a request and returns the response. Errors are those of
// http.Transport.RoundTrip and Check, and those of Conn, which have ErrMalformed too.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				conn.BeginResponse()
			}
		},
		Got1xxResponse: CheckInterim(),
	})
	response, err := transport.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		transport.CloseIdleConnections() // the connection is idle already if the response has no body
		return nil, err
	}
	response.Body = Body(response)
	return response, nil
}
