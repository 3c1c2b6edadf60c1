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

// HeaderDeadline gives the time within which a caller needs the answer, in
// milliseconds from now.
const HeaderDeadline = "X-Deadline-Ms"

// caller is who a request runs for. The key itself is not kept.
type caller struct {
	team   note.Team
	digest string
}

// authenticate returns the team of the key that came with a request.
func (relay *Relay) authenticate(r *http.Request, catalog *note.Catalog) (caller, error) {
	if err := relay.notes.Serving(); err != nil {
		return caller{}, err
	}
	key, err := keyOf(r)
	if err != nil {
		return caller{}, err
	}
	return lookup(catalog, note.Digest(key))
}

// lookup returns the team of a key's digest.
func lookup(catalog *note.Catalog, digest string) (caller, error) {
	if number, ok := catalog.Withdrawn[digest]; ok {
		return caller{}, code.Errorf(code.KeyWithdrawn, "the key was withdrawn by release note %d", number)
	}
	key, ok := catalog.Keys[digest]
	if !ok {
		return caller{}, code.Errorf(code.KeyUnknown, "the key belongs to no team")
	}
	return caller{team: catalog.Teams[key.Team], digest: digest}, nil
}

// stillValid checks the key again, for a request that waited.
func (relay *Relay) stillValid(caller caller) error {
	if caller.digest == "" {
		return nil
	}
	if err := relay.notes.Serving(); err != nil {
		return err
	}
	_, err := lookup(relay.notes.Current(), caller.digest)
	return err
}

func keyOf(r *http.Request) (string, error) {
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

// checkKeyHidden refuses a request that carries its key in a place that goes
// to targets.
func checkKeyHidden(r *http.Request, body []byte) error {
	key, err := keyOf(r)
	if err != nil {
		return nil //nolint:nilerr // a request without a key has none to hide
	}
	if bytes.Contains(body, []byte(key)) || containsAny(key, exposedBy(r)) {
		return code.Errorf(code.MalformedRequest, "the key may stand in the Authorization header only")
	}
	return nil
}

// exposedBy returns the parts of a request that may go on to a target, as sent
// and decoded.
func exposedBy(r *http.Request) []string {
	parts := []string{r.URL.RequestURI(), r.URL.Path}
	if decoded, err := url.QueryUnescape(r.URL.RawQuery); err == nil {
		parts = append(parts, decoded)
	}
	for _, name := range append([]string{"Traceparent", "Tracestate"}, passedHeaders...) {
		parts = append(parts, r.Header.Values(name)...)
	}
	return parts
}

func containsAny(key string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(part, key) })
}

func allowed(team note.Team, name string) error {
	if len(team.Models) == 0 || slices.Contains(team.Models, name) {
		return nil
	}
	return code.Errorf(code.ModelNotAllowed, "team %s may not use %s", team.Name, name)
}

func (relay *Relay) deadlineOf(r *http.Request, timeout time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Now().Add(timeout), nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value <= 0 {
		return time.Time{}, code.Errorf(code.DeadlineInvalid, "%s is not a positive number of milliseconds", HeaderDeadline)
	}
	return time.Now().Add(min(timeout, time.Duration(value)*time.Millisecond)), nil
}
