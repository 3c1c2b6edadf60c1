package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Headers of error responses, with the same content as the body.
const (
	HeaderCode       = "X-Mangopier-Code"
	HeaderRun        = "X-Mangopier-Run"
	HeaderRetryAfter = "Retry-After"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the error and whether the request was run.
type ErrorDetail struct {
	Code              int    `json:"code"`
	Name              string `json:"name"`
	Message           string `json:"message"`
	Run               string `json:"run"`                  // not-run, unknown or ran
	RetryAfterSeconds int    `json:"retry-after,omitzero"` // 0 if none is advised
}

// ErrorJSON returns the JSON body of the response to a request that failed with
// err.
func ErrorJSON(err error) []byte {
	errorCode := code.FromError(err)
	data, marshalErr := json.Marshal(ErrorBody{Error: ErrorDetail{
		Code:              int(errorCode),
		Name:              code.Lookup(errorCode).Name,
		Message:           publicMessage(err, errorCode),
		Run:               code.RunStatusFromError(err).String(),
		RetryAfterSeconds: code.RetryAfterSeconds(err),
	}})
	if marshalErr != nil {
		return []byte(`{"error":{}}`)
	}
	return data
}

// WriteError writes the error response of a request that failed with err:
// status, code and retry headers, and the JSON body.
func WriteError(w http.ResponseWriter, err error) {
	body := ErrorJSON(err)
	header := w.Header()
	setErrorHeaders(header, err)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(httpStatus(err))
	_, _ = w.Write(body)
}

// publicMessage returns the full error text if the caller's request is at fault.
// For other errors it returns only the text of the code, since their causes may
// name addresses and rows.
func publicMessage(err error, errorCode code.Code) string {
	if errorCode <= lastCallerErrorCode {
		return err.Error()
	}
	return code.Lookup(errorCode).Description
}

// lastCallerErrorCode is the highest code of an error in the request itself.
const lastCallerErrorCode = code.BodyTimeout

func setErrorHeaders(header http.Header, err error) {
	header.Set(HeaderCode, strconv.Itoa(int(code.FromError(err))))
	header.Set(HeaderRun, code.RunStatusFromError(err).String())
	if delay := code.RetryDelay(err); delay > 0 {
		header.Set(HeaderRetryAfter, strconv.FormatFloat(delay.Seconds(), 'f', -1, 64))
	}
}

// httpStatus returns the status of an error's code, or 502 if the server library cannot
// write that status, or if it promises that a request has not run that may have.
func httpStatus(err error) int {
	status := code.Lookup(code.FromError(err)).Status
	if http.StatusText(status) == "" || (code.PromisesNotRun(status) && code.RunStatusFromError(err) != code.NotRun) {
		return http.StatusBadGateway
	}
	return status
}

// writeErrorToConn writes the error response of a request that has no handler, or
// whose handler panicked, and closes the connection. It returns the status, 0 if the
// response could not be written.
func writeErrorToConn(conn net.Conn, err error) int {
	body := ErrorJSON(err)
	header := http.Header{}
	setErrorHeaders(header, err)
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	response := http.Response{
		StatusCode:    httpStatus(err),
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
	}
	writeErr := response.Write(conn)
	_ = conn.Close()
	if writeErr != nil {
		return 0
	}
	return response.StatusCode
}
