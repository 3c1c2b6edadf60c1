package usage

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	headKey      = "usage/head"
	windowPrefix = "usage/window/"
	ticketPrefix = "usage/ticket/"
	objectPrefix = "usage/object/"
)

// head is the row that puts windows into one order.
type head struct {
	Next     Window `json:"next"`     // the window to freeze next
	Reported Window `json:"reported"` // the last window that the platform has taken
	Number   uint64 `json:"number"`   // of the last frozen report
}

// frozen is the row of a window. It is written once.
type frozen struct {
	Number uint64 `json:"number"`
	Report blob   `json:"report"`
	Ledger blob   `json:"ledger"`
}

// blob is data in a row, or the key of the object that holds it.
type blob struct {
	Hash   string `json:"hash"` // SHA-256 in hexadecimal digits
	Inline []byte `json:"inline,omitempty"`
	Object string `json:"object,omitempty"`
}

// ticket is the row that says that a report may be on its way.
type ticket struct {
	Writer string `json:"writer"` // empty once its writer has given it up
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
	Open   bool   `json:"open"`
}

func windowKey(window Window) string {
	return fmt.Sprintf("%s%012d", windowPrefix, window)
}

func ticketKey(window Window) string {
	return fmt.Sprintf("%s%012d", ticketPrefix, window)
}

// read decodes the row of a key and returns its version.
func (freezer *Freezer) read(ctx context.Context, key string, value any) (uint64, error) {
	row, err := freezer.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return 0, code.Errorf(code.RowMalformed, "row %s: %w", key, err)
	}
	return row.Version, nil
}

func encode(key string, version uint64, value any) (table.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return table.Write{}, code.Errorf(code.Internal, "cannot encode row %s: %w", key, err)
	}
	return table.Write{Key: key, Version: version, Value: data}, nil
}

// putBlob stores data beside its row if it is too large for it.
func (freezer *Freezer) putBlob(ctx context.Context, data []byte) (blob, error) {
	blob := blob{Hash: hashOf(data)}
	if len(data) <= freezer.settings.inlineBytes {
		blob.Inline = data
		return blob, nil
	}
	blob.Object = objectPrefix + blob.Hash
	return blob, freezer.store.Put(ctx, blob.Object, data)
}

// fetchBlob returns the data of a blob, or an error with code.RowMalformed if
// it is not what was stored.
func (freezer *Freezer) fetchBlob(ctx context.Context, blob blob) ([]byte, error) {
	data := blob.Inline
	if blob.Object != "" {
		var err error
		if data, err = freezer.store.Fetch(ctx, blob.Object); err != nil {
			return nil, err
		}
	}
	if hashOf(data) != blob.Hash {
		return nil, code.Errorf(code.RowMalformed, "frozen data does not have the hash %s", blob.Hash)
	}
	return data, nil
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
