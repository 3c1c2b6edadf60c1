package relay

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// HeaderDeadline is the request header with the caller's deadline, in milliseconds
// from the arrival of the request.
const HeaderDeadline = "X-Deadline-Ms"

// caller identifies the sender of a request. Only the digest of its key is stored.
type caller struct {
	team      note.Team
	keyDigest string
}

// authenticate returns the caller for the key in the request.
func (relay *Relay) authenticate(r *http.Request, catalog *note.Catalog) (caller, error) {
	if err := relay.noteFeed.CheckServing(); err != nil {
		return caller{}, err
	}
	key, err := bearerKey(r)
	if err != nil {
		return caller{}, err
	}
	return findCaller(catalog, note.KeyDigest(key))
}

// findCaller returns the caller for the digest of a key. It refuses withdrawn and
// unknown keys.
func findCaller(catalog *note.Catalog, digest string) (caller, error) {
	if number, ok := catalog.WithdrawnKeys[digest]; ok {
		return caller{}, code.Errorf(code.KeyWithdrawn, "the key was withdrawn by release note %d", number)
	}
	key, ok := catalog.Keys[digest]
	if !ok {
		return caller{}, code.Errorf(code.KeyUnknown, "the key belongs to no team")
	}
	return caller{team: catalog.Teams[key.Team], keyDigest: digest}, nil
}

// recheckKey checks that the key is still valid: it may have been withdrawn while
// the request was queued.
func (relay *Relay) recheckKey(caller caller) error {
	if caller.keyDigest == "" {
		return nil
	}
	if err := relay.noteFeed.CheckServing(); err != nil {
		return err
	}
	_, err := findCaller(relay.noteFeed.Catalog(), caller.keyDigest)
	return err
}

func bearerKey(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", code.Errorf(code.KeyMissing, "%d Authorization headers", len(values))
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", code.Errorf(code.KeyMissing, "the Authorization header is not Bearer and a key")
	}
	return key, nil
}

// checkKeyNotExposed returns an error if the request contains its key in a part
// that is forwarded to targets.
func checkKeyNotExposed(r *http.Request, body []byte) error {
	key, err := bearerKey(r)
	if err != nil {
		return nil //nolint:nilerr // a request without a key cannot expose one
	}
	if bytes.Contains(body, []byte(key)) || containsAny(key, forwardedParts(r)) {
		return code.Errorf(code.MalformedRequest, "the key may stand in the Authorization header only")
	}
	return nil
}

// forwardedParts returns the URL and headers that may be forwarded to a target. The
// URL is included both as received and decoded.
func forwardedParts(r *http.Request) []string {
	parts := []string{r.URL.RequestURI(), r.URL.Path}
	if decoded, err := url.QueryUnescape(r.URL.RawQuery); err == nil {
		parts = append(parts, decoded)
	}
	for _, name := range append([]string{"Traceparent", "Tracestate"}, forwardedRequestHeaders...) {
		parts = append(parts, r.Header.Values(name)...)
	}
	return parts
}

func containsAny(key string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(part, key) })
}

// checkAccess returns an error if the team may not use the model or service.
func checkAccess(team note.Team, name string) error {
	if len(team.Models) == 0 || slices.Contains(team.Models, name) {
		return nil
	}
	return code.Errorf(code.ModelNotAllowed, "team %s may not use %s", team.Name, name)
}

// requestDeadline returns the deadline in the request, at most timeout from now.
func (relay *Relay) requestDeadline(r *http.Request, timeout time.Duration) (time.Time, error) {
	value := r.Header.Get(HeaderDeadline)
	if value == "" {
		return time.Now().Add(timeout), nil
	}
	milliseconds, err := strconv.Atoi(value)
	if err != nil || milliseconds <= 0 {
		return time.Time{}, code.Errorf(code.DeadlineInvalid, "%s is not a positive number of milliseconds", HeaderDeadline)
	}
	return time.Now().Add(min(timeout, time.Duration(milliseconds)*time.Millisecond)), nil
}
