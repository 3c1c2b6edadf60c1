package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"net/url"
)

// Call is a request that must run at most once.
type Call struct {
	Team           string
	IdempotencyKey string // chosen by the caller, empty if none; never an API key
	Method         string
	Path           string
	Body           []byte
}

// Outcome is the response to a call.
type Outcome struct {
	Status      int         `json:"status"`
	Header      http.Header `json:"header,omitempty"` // only the headers that are stored
	Body        []byte      `json:"body,omitempty"`
	BodyOmitted bool        `json:"body-omitted,omitempty"` // the body was too large to store
}

// storedHeaders are the response headers that are stored with an outcome.
var storedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified",
}

// rowKey holds a hash of the idempotency key, since the key itself may be
// personal data.
func (call Call) rowKey() string {
	return rowPrefix + url.PathEscape(call.Team) + "/" + digest([]byte(call.Team), []byte(call.IdempotencyKey))
}

func (call Call) fingerprint() string {
	return digest([]byte(call.Method), []byte(call.Path), call.Body)
}

func (outcome Outcome) withStoredHeaders() Outcome {
	header := http.Header{}
	for _, name := range storedHeaders {
		if values := outcome.Header.Values(name); len(values) > 0 {
			header[name] = append([]string(nil), values...)
		}
	}
	outcome.Header = header
	return outcome
}

// digest returns the SHA-256 of the parts in hex. Each part is prefixed with its
// length, so that different splits of the same bytes give different hashes.
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
