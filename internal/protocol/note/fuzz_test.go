package note_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/note"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte(firstNoteText))
	f.Add([]byte(`{"after": 0, "targets": {"set": [{"id": "t", "kind": "engine", "address": "127.0.0.1:1", "data-center": "x"}]}}`))
	f.Add([]byte(`{"keys": {"withdraw": ["sha256:00"]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := note.Decode(data)
		if err != nil {
			return
		}
		next, err := note.EmptyCatalog().Apply(change)
		if err != nil {
			return
		}
		encoded, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := note.DecodeCatalog(encoded); err != nil {
			t.Errorf("DecodeCatalog() of the catalog of an accepted note = %v, want no error", err)
		}
	})
}
