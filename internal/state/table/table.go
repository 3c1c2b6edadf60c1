// Package table defines the rows and conditional writes of the platform's
// transactional table, and the interfaces of the table and the object store.
// Components that use the table declare the part of the Table interface that they
// need.
package table

import (
	"context"
	"time"
)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // increases with each write to the key, at least 1
	Value   []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key             string `json:"key"`
	ExpectedVersion uint64 `json:"version"` // version that the row must have, 0 if it must not exist
	Value           []byte `json:"value,omitempty"`
	Delete          bool   `json:"delete,omitempty"` // delete the row instead of writing Value
	// CheckOnly checks the version of the row and leaves the row unchanged.
	CheckOnly bool `json:"check-only,omitempty"`
}

// Table is the platform's transactional table.
//
// Errors have these codes: code.RowMissing from Get; code.RowConflict from Commit
// when a version does not match, in which case nothing was written; code.StoreDown
// when the call certainly had no effect; code.WriteUnknown from Commit when it may
// have had one.
type Table interface {
	// Get returns the row of a key.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys begin with prefix and are greater
	// than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes ...Write) error
}

// ObjectStore is the platform's object store. Objects are immutable: a second Put of
// the same key with other data is refused with code.RowConflict.
type ObjectStore interface {
	// Put stores data under key.
	Put(ctx context.Context, key string, data []byte) error
	// Fetch returns the data of key, or an error with code.RowMissing.
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// Change is a changed row in a watch, or a row in a list.
type Change struct {
	Key     string
	Value   []byte // empty if it could not be decoded
	Version uint64
	Deleted bool
	Era     uint64 `cbor:",omitempty"` // in which the version was given out, 0 if unknown
}

// Stamp returns the position of the change in the history of its row.
func (change *Change) Stamp() Stamp { return Stamp{Era: change.Era, Version: change.Version} }

// Stamp is a position in the history of a row. A store that is restored from a copy
// begins a new era and gives out versions again, so that versions of different eras
// say nothing about each other.
type Stamp struct {
	Era     uint64
	Version uint64
}

// After reports whether the stamp is later than another one.
func (stamp Stamp) After(other Stamp) bool {
	if stamp.Era != other.Era {
		return stamp.Era > other.Era
	}
	return stamp.Version > other.Version
}

// Page is the result of listing a table, or of watching it for changes.
type Page struct {
	Changes      []Change
	TableVersion uint64        // watch from here for later changes
	Era          uint64        // of the store, 0 if unknown
	Age          time.Duration // since the store sent it; 0 unless another instance has passed it on
}
