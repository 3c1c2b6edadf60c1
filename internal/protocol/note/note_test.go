package note_test

import (
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

const firstNoteText = `{
  "after": 0, // the first note
  "data-centers": {"set": [{"name": "kosice-1", "max-targets": 9}]},
  "models": {"set": [{"name": "layout", "version": "v1"}]},
  "teams": {"set": [{"name": "press"}]},
  "keys": {"set": [{"digest": "DIGEST", "team": "press"}]},
  "targets": {"set": [{"id": "t1", "address": "127.0.0.1:9", "data-center": "kosice-1", "kind": "engine", "models": ["layout"]}]},
}`

func TestWithdrawnKeyCannotBeSetAgain(t *testing.T) {
	digest := note.KeyDigest("secret")
	before := applyText(t, note.EmptyCatalog(), strings.Replace(firstNoteText, "DIGEST", digest, 1))
	after := applyText(t, before, `{"after": 1, "keys": {"withdraw": ["`+digest+`"]}}`)
	if _, ok := after.Keys[digest]; ok || after.WithdrawnKeys[digest] != 2 {
		t.Fatalf("key %s is not removed and recorded in WithdrawnKeys: %+v", digest, after)
	}
	if _, ok := before.Keys[digest]; !ok {
		t.Fatal("Apply() changed its receiver")
	}
	change, err := note.Decode([]byte(`{"after": 2, "keys": {"set": [{"digest": "` + digest + `", "team": "press"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := after.Apply(change); !code.Is(err, code.NoteInvalid) {
		t.Fatalf("Apply() of a note that sets a withdrawn key = %v, want code %v", err, code.NoteInvalid)
	}
}

func TestApplyRefusesInvalidNotes(t *testing.T) {
	catalog := applyText(t, note.EmptyCatalog(), strings.Replace(firstNoteText, "DIGEST", note.KeyDigest("secret"), 1))
	cases := []struct {
		name, text string
		want       code.Code
	}{
		{"conflicting number", `{"after": 0}`, code.NoteConflict},
		{"withdrawn model in use", `{"after": 1, "models": {"withdraw": ["layout"]}}`, code.NoteInvalid},
		{"withdrawn team unknown", `{"after": 1, "teams": {"withdraw": ["nobody"]}}`, code.NoteInvalid},
		{"address with host name", `{"after": 1, "targets": {"set": [{"id": "t2", "address": "localhost:1", "data-center": "kosice-1", "kind": "engine"}]}}`, code.NoteInvalid},
		{"route under v1", `{"after": 1, "routes": {"set": [{"path": "/v1/x", "service": "s"}]}}`, code.NoteInvalid},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			change, err := note.Decode([]byte(test.text))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := catalog.Apply(change); !code.Is(err, test.want) {
				t.Fatalf("Apply() = %v, want code %v", err, test.want)
			}
		})
	}
}

func TestCatalogEncodingRoundTrip(t *testing.T) {
	catalog := applyText(t, note.EmptyCatalog(), strings.Replace(firstNoteText, "DIGEST", note.KeyDigest("secret"), 1))
	data, err := catalog.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := note.DecodeCatalog(data)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := decoded.Encode()
	if err != nil || note.ContentHash(encoded) != note.ContentHash(data) {
		t.Fatalf("Encode() after DecodeCatalog() = %s, %v, want %s", encoded, err, data)
	}
	if _, err := note.Decode([]byte("{\n\"teems\": {}}")); err == nil || !strings.Contains(err.Error(), "line 2, field /teems") {
		t.Fatalf("Decode() of an unknown field = %v, want an error with line 2, field /teems", err)
	}
}

func applyText(t *testing.T, catalog *note.Catalog, text string) *note.Catalog {
	t.Helper()
	change, err := note.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	next, err := catalog.Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	return next
}
