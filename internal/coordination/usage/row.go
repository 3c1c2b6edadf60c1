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

// headRow defines the order in which windows are frozen and reported.
type headRow struct {
	NextWindow   Window `json:"next"`     // the window to freeze next
	LastReported Window `json:"reported"` // the last window that the platform has accepted
	LastNumber   uint64 `json:"number"`   // number of the last frozen report
}

// windowRow is the row of a frozen window. It is written once.
type windowRow struct {
	Number uint64 `json:"number"`
	Report blob   `json:"report"`
	Ledger blob   `json:"ledger"`
}

// blob is data stored inline, or the key of the object that has it.
type blob struct {
	Hash   string `json:"hash"` // SHA-256 in hexadecimal digits
	Inline []byte `json:"inline,omitempty"`
	Object string `json:"object,omitempty"`
}

// ticketRow marks a report that may be in flight.
type ticketRow struct {
	Writer string `json:"writer"` // empty once its writer has abandoned the ticket
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

// readRow decodes the row at a key and returns its version.
func (reporter *WindowReporter) readRow(ctx context.Context, key string, value any) (uint64, error) {
	row, err := reporter.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return 0, code.Errorf(code.RowMalformed, "decode row %s: %w", key, err)
	}
	return row.Version, nil
}

func encodeRow(key string, version uint64, value any) (table.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return table.Write{}, code.Errorf(code.Internal, "cannot encode row %s: %w", key, err)
	}
	return table.Write{Key: key, ExpectedVersion: version, Value: data}, nil
}

// putBlob stores data as an object if it is too large for a row.
func (reporter *WindowReporter) putBlob(ctx context.Context, data []byte) (blob, error) {
	blob := blob{Hash: hexHash(data)}
	if len(data) <= reporter.settings.maxInlineBytes {
		blob.Inline = data
		return blob, nil
	}
	blob.Object = objectPrefix + blob.Hash
	return blob, reporter.store.Put(ctx, blob.Object, data)
}

// fetchBlob returns the data of a blob, or code.RowMalformed if its hash does
// not match.
func (reporter *WindowReporter) fetchBlob(ctx context.Context, blob blob) ([]byte, error) {
	data := blob.Inline
	if blob.Object != "" {
		var err error
		if data, err = reporter.store.Fetch(ctx, blob.Object); err != nil {
			return nil, err
		}
	}
	if hexHash(data) != blob.Hash {
		return nil, code.Errorf(code.RowMalformed, "frozen data does not match its hash %s", blob.Hash)
	}
	return data, nil
}

func hexHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
