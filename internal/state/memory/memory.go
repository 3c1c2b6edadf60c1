// Package memory implements the platform's table and object store in memory, for
// tests and simulations. It can inject faults into calls: failures, delays, and
// responses that are lost after a write took effect.
package memory

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// Fault is the fault injected into one call to the store.
type Fault struct {
	Unavailable  bool          // fail the call without an effect
	LoseResponse bool          // carry out the call, then lose its response
	Delay        time.Duration // delay the call before anything else
}

// Call describes one call to the store, for a fault function.
type Call struct {
	Method string // get, list, commit, put or fetch
	Key    string // the key, the prefix, or the first key of a commit
	Client string // name of the caller, as given to Store.Client
}

// Counts holds the numbers of calls that the store has carried out.
type Counts struct {
	Reads  uint64
	Writes uint64
}

// Store is a table and an object store in memory. It is safe for concurrent use.
// Use New to create one; the zero value is not usable.
type Store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
	version uint64 // of the last write
	fault   func(Call) Fault
	counts  Counts
}

// New returns an empty store that injects no faults.
func New() *Store {
	return &Store{
		rows:    map[string]table.Row{},
		objects: map[string][]byte{},
		fault:   func(Call) Fault { return Fault{} },
	}
}

// SetFault sets the function that chooses the fault of each later call; nil stops
// injecting faults. The function is called without locks held and may be called
// concurrently.
func (store *Store) SetFault(fault func(Call) Fault) {
	if fault == nil {
		fault = func(Call) Fault { return Fault{} }
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
}

// Counts returns the numbers of calls carried out so far, including those whose
// response was lost.
func (store *Store) Counts() Counts {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.counts
}

// Client returns a client with a name, by which a fault function can distinguish
// callers.
func (store *Store) Client(name string) *Client {
	return &Client{store: store, name: name}
}

// Client is one caller's access to a Store. It implements table.Table and
// table.ObjectStore.
type Client struct {
	store *Store
	name  string
}

// Get returns the row of a key, or an error with code.RowMissing.
func (client *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	err := client.call(ctx, Call{Method: "get", Key: key}, false, func(store *Store) error {
		stored, ok := store.rows[key]
		if !ok {
			return code.Errorf(code.RowMissing, "row %s does not exist", key)
		}
		row = stored
		row.Value = bytes.Clone(stored.Value)
		return nil
	})
	return row, err
}

// List returns up to limit rows whose keys begin with prefix and are greater
// than after, in key order.
func (client *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	err := client.call(ctx, Call{Method: "list", Key: prefix}, false, func(store *Store) error {
		rows = store.listRows(prefix, after, limit)
		return nil
	})
	return rows, err
}

// Commit applies all writes or none. It returns an error with code.RowConflict if a
// row does not have the expected version.
func (client *Client) Commit(ctx context.Context, writes ...table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	return client.call(ctx, Call{Method: "commit", Key: writes[0].Key}, true, func(store *Store) error {
		return store.commitWrites(writes)
	})
}

// Put stores an object. It returns an error with code.RowConflict if the key exists
// with other data.
func (client *Client) Put(ctx context.Context, key string, data []byte) error {
	return client.call(ctx, Call{Method: "put", Key: key}, true, func(store *Store) error {
		if stored, ok := store.objects[key]; ok && !bytes.Equal(stored, data) {
			return code.Errorf(code.RowConflict, "object %s exists with other bytes", key)
		}
		store.objects[key] = bytes.Clone(data)
		return nil
	})
}

// Fetch returns the data of an object, or an error with code.RowMissing.
func (client *Client) Fetch(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := client.call(ctx, Call{Method: "fetch", Key: key}, false, func(store *Store) error {
		stored, ok := store.objects[key]
		if !ok {
			return code.Errorf(code.RowMissing, "object %s does not exist", key)
		}
		data = bytes.Clone(stored)
		return nil
	})
	return data, err
}

func (client *Client) call(ctx context.Context, call Call, write bool, apply func(*Store) error) error {
	call.Client = client.name
	store := client.store
	store.mu.Lock()
	chooseFault := store.fault
	store.mu.Unlock()
	fault := chooseFault(call)
	if err := waitFor(ctx, fault.Delay); err != nil {
		return err
	}
	if fault.Unavailable {
		return code.Errorf(code.StoreDown, "store does not respond to %s of %s", call.Method, call.Key)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.countCall(write)
	err := apply(store)
	if fault.LoseResponse {
		return lostResponseError(call, write)
	}
	return err
}

func (store *Store) countCall(write bool) {
	if write {
		store.counts.Writes++
		return
	}
	store.counts.Reads++
}

func (store *Store) listRows(prefix, after string, limit int) []table.Row {
	var rows []table.Row
	for key, row := range store.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			row.Value = bytes.Clone(row.Value)
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}

func (store *Store) commitWrites(writes []table.Write) error {
	for _, write := range writes {
		if version := store.rows[write.Key].Version; version != write.ExpectedVersion {
			return code.Errorf(code.RowConflict, "row %s has version %d, not %d", write.Key, version, write.ExpectedVersion)
		}
	}
	for _, write := range writes {
		switch {
		case write.CheckOnly:
		case write.Delete:
			delete(store.rows, write.Key)
		default:
			store.version++
			store.rows[write.Key] = table.Row{Key: write.Key, Version: store.version, Value: bytes.Clone(write.Value)}
		}
	}
	return nil
}

func lostResponseError(call Call, write bool) error {
	if write {
		return code.Errorf(code.WriteUnknown, "response to %s of %s was lost", call.Method, call.Key)
	}
	return code.Errorf(code.StoreDown, "response to %s of %s was lost", call.Method, call.Key)
}

func waitFor(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return contextError(ctx)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

func contextError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return code.Errorf(code.StoreDown, "store call ended before it was sent: %w", ctx.Err())
}
