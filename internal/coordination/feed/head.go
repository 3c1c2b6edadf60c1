package feed

import (
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// Keys of rows and objects in the store. Notes and catalogs are stored under
// their content hash.
const (
	HeadKey       = "note/head"
	logPrefix     = "note/log/"
	notePrefix    = "note/object/"
	catalogPrefix = "note/catalog/"
)

const hashHexDigits = 64

// Head is the row that accepts a release note. The row of each note is stored
// under LogKey of its number, and that of the newest note under HeadKey too.
type Head struct {
	Number      uint64 `json:"number"`
	NoteHash    string `json:"note-hash"`
	CatalogHash string `json:"catalog-hash"`
	ParentHash  string `json:"parent-hash"` // hash of the previous note, empty for the first
	Nonce       string `json:"nonce"`       // identifies the publisher's attempt
}

// LogKey returns the key of the row that accepted the note with a number.
func LogKey(number uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix, number)
}

// Encode returns the head as JSON.
func (head Head) Encode() ([]byte, error) {
	return json.Marshal(head)
}

// DecodeHead decodes and checks a head written by Encode. Errors have
// code.RowMalformed.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head, json.RejectUnknownMembers(true)); err != nil {
		return Head{}, code.Wrap(err, code.RowMalformed, "decode head")
	}
	if err := head.check(); err != nil {
		return Head{}, err
	}
	return head, nil
}

func (head Head) check() error {
	first := head.Number == 1
	switch {
	case head.Number == 0:
		return malformed("head has no number")
	case !isHash(head.NoteHash) || !isHash(head.CatalogHash):
		return malformed("head %d has a malformed hash", head.Number)
	case first != (head.ParentHash == "") || !first && !isHash(head.ParentHash):
		return malformed("head %d has a malformed parent hash", head.Number)
	default:
		return nil
	}
}

func isHash(text string) bool {
	return len(text) == hashHexDigits && strings.Trim(text, "0123456789abcdef") == ""
}

func checkHash(data []byte, want string) error {
	if got := note.ContentHash(data); got != want {
		return malformed("content hash is %s, want %s", got, want)
	}
	return nil
}

func malformed(format string, args ...any) error {
	return code.Errorf(code.RowMalformed, format, args...)
}
