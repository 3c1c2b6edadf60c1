// Package table offers the row and write types of the platform's
// transactional table. Components that use the table declare the part of the
// Table interface that they need.
package table

import "context"

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // increases with each write to the key, from 1
	Value   []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // version that the row must have, 0 for a row that must not exist
	Value   []byte `json:"value,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
	// CheckOnly makes the write a condition that leaves the row as it is.
	CheckOnly bool `json:"check-only,omitempty"`
}

// Table is the platform's transactional table.
//
// Errors have these codes: code.RowMissing from Get; code.RowConflict from
// Commit when a version does not match, in which case nothing was written;
// code.StoreDown when the call certainly had no effect; code.WriteUnknown
// from Commit when it may have had one.
type Table interface {
	// Get returns the row of a key.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys begin with prefix and follow
	// after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes ...Write) error
}

// Objects is the platform's object store. Objects are written once: a second
// Put of the same key with other bytes is refused with code.RowConflict.
type Objects interface {
	// Put stores data under key.
	Put(ctx context.Context, key string, data []byte) error
	// Fetch returns the data of key, or an error with code.RowMissing.
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// Change is a row that changed, or that a list found.
type Change struct {
	Key     string
	Value   []byte // empty if it could not be read
	Version uint64
	Deleted bool
}

// Page is the rows of a table, or what changed in it.
type Page struct {
	Changes []Change
	Version uint64 // of the table, to ask for later changes
}
