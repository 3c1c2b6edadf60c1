package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Headers that repeat the facts of a refusal.
const (
	HeaderCode  = "X-Mangopier-Code"
	HeaderRun   = "X-Mangopier-Run"
	HeaderRetry = "Retry-After"
)

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail states what went wrong and whether the request was run.
type ErrorDetail struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	Run     string `json:"run"`                  // not-run, unknown or ran
	Retry   int    `json:"retry-after,omitzero"` // seconds
}

// Body returns the JSON body for an error.
func Body(err error) []byte {
	number := code.Of(err)
	data, failure := json.Marshal(ErrorBody{Error: ErrorDetail{
		Code:    int(number),
		Name:    code.Lookup(number).Name,
		Message: message(err, number),
		Run:     code.RunOf(err).String(),
		Retry:   code.RetryOf(err),
	}})
	if failure != nil {
		return []byte(`{"error":{}}`)
	}
	return data
}

// Refuse answers a request with an error.
func Refuse(w http.ResponseWriter, err error) {
	body := Body(err)
	header := w.Header()
	setHeaders(header, err)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(code.Of(err)))
	_, _ = w.Write(body)
}

// message tells callers what is wrong with their own request, and of other
// faults only what the code means, since causes name addresses and rows.
func message(err error, number code.Code) string {
	if number <= lastCallerFault {
		return err.Error()
	}
	return code.Lookup(number).Text
}

const lastCallerFault = code.BodyTimeout

func setHeaders(header http.Header, err error) {
	header.Set(HeaderCode, strconv.Itoa(int(code.Of(err))))
	header.Set(HeaderRun, code.RunOf(err).String())
	if delay := code.RetryDelayOf(err); delay > 0 {
		header.Set(HeaderRetry, strconv.FormatFloat(delay.Seconds(), 'f', -1, 64))
	}
}

// statusOf keeps to statuses that the server library can write.
func statusOf(number code.Code) int {
	status := code.Lookup(number).Status
	if http.StatusText(status) == "" {
		return http.StatusBadGateway
	}
	return status
}

// refusal writes an answer for a request that never became one, and closes
// the connection after the caller had time to read it.
func refusal(conn net.Conn, err error, linger time.Duration) {
	body := Body(err)
	header := http.Header{}
	setHeaders(header, err)
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	answer := http.Response{
		StatusCode:    statusOf(code.Of(err)),
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
	}
	_ = answer.Write(conn)
	_ = conn.SetReadDeadline(time.Now().Add(linger))
}
