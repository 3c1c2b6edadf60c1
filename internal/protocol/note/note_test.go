package note_test

import (
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

const first = `{
  "after": 0, // the first note
  "data-centers": {"set": [{"name": "kosice-1", "max-targets": 9}]},
  "models": {"set": [{"name": "layout", "version": "v1"}]},
  "teams": {"set": [{"name": "press"}]},
  "keys": {"set": [{"digest": "DIGEST", "team": "press"}]},
  "targets": {"set": [{"id": "t1", "address": "127.0.0.1:9", "data-center": "kosice-1", "kind": "engine", "models": ["layout"]}]},
}`

func TestApplyWithdrawsKeysForGood(t *testing.T) {
	digest := note.Digest("secret")
	one := apply(t, note.Empty(), strings.Replace(first, "DIGEST", digest, 1))
	two := apply(t, one, `{"after": 1, "keys": {"withdraw": ["`+digest+`"]}}`)
	if _, ok := two.Keys[digest]; ok || two.Withdrawn[digest] != 2 {
		t.Fatalf("key still there or not recorded: %+v", two)
	}
	if _, ok := one.Keys[digest]; !ok {
		t.Fatal("an older catalog was changed")
	}
	again, err := note.Decode([]byte(`{"after": 2, "keys": {"set": [{"digest": "` + digest + `", "team": "press"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := two.Apply(again); !code.Is(err, code.NoteInvalid) {
		t.Fatalf("withdrawn key came back: %v", err)
	}
}

func TestApplyRefuses(t *testing.T) {
	one := apply(t, note.Empty(), strings.Replace(first, "DIGEST", note.Digest("secret"), 1))
	cases := []struct {
		name, text string
		want       code.Code
	}{
		{"other number", `{"after": 0}`, code.NoteConflict},
		{"model in use", `{"after": 1, "models": {"withdraw": ["layout"]}}`, code.NoteInvalid},
		{"unknown withdrawn", `{"after": 1, "teams": {"withdraw": ["nobody"]}}`, code.NoteInvalid},
		{"name address", `{"after": 1, "targets": {"set": [{"id": "t2", "address": "localhost:1", "data-center": "kosice-1", "kind": "engine"}]}}`, code.NoteInvalid},
		{"route under v1", `{"after": 1, "routes": {"set": [{"path": "/v1/x", "service": "s"}]}}`, code.NoteInvalid},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			change, err := note.Decode([]byte(test.text))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := one.Apply(change); !code.Is(err, test.want) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestCatalogRoundTrip(t *testing.T) {
	one := apply(t, note.Empty(), strings.Replace(first, "DIGEST", note.Digest("secret"), 1))
	data, err := one.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := note.DecodeCatalog(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := back.Encode()
	if err != nil || note.Hash(again) != note.Hash(data) {
		t.Fatalf("catalog changed on the way: %s\n%s", data, again)
	}
	if _, err := note.Decode([]byte("{\n\"teems\": {}}")); err == nil || !strings.Contains(err.Error(), "line 2, field /teems") {
		t.Fatalf("got %v", err)
	}
}

func apply(t *testing.T, catalog *note.Catalog, text string) *note.Catalog {
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
