package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"net/url"
)

// Call is one call that may not be repeated.
type Call struct {
	Team           string
	IdempotencyKey string // chosen by the caller, empty for none; never an API key
	Method         string
	Path           string
	Body           []byte
}

// Outcome is the answer of a call.
type Outcome struct {
	Status      int         `json:"status"`
	Header      http.Header `json:"header,omitempty"` // the subset that is kept
	Body        []byte      `json:"body,omitempty"`
	BodyOmitted bool        `json:"body-omitted,omitempty"` // the body was too large to keep
}

// keptHeaders are the headers of an answer that are stored.
var keptHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified",
}

// rowKey does not tell the idempotency key, which may be personal data.
func (call Call) rowKey() string {
	return rowPrefix + url.PathEscape(call.Team) + "/" + digest([]byte(call.Team), []byte(call.IdempotencyKey))
}

func (call Call) fingerprint() string {
	return digest([]byte(call.Method), []byte(call.Path), call.Body)
}

func (outcome Outcome) subset() Outcome {
	header := http.Header{}
	for _, name := range keptHeaders {
		if values := outcome.Header.Values(name); len(values) > 0 {
			header[name] = append([]string(nil), values...)
		}
	}
	outcome.Header = header
	return outcome
}

// digest hashes the parts, each with its length in front.
func digest(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
