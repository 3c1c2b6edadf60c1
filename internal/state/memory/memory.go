// Package memory offers the platform's table and object store in memory, as a
// stand-in that can be told to fail, to answer slowly, and to lose an answer
// after the write took effect.
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

// Fault is what a call to the store suffers.
type Fault struct {
	Down       bool          // the call fails without an effect
	LoseAnswer bool          // the call takes effect and its answer is lost
	Delay      time.Duration // the call waits first
}

// Call describes a call to the store for a fault function.
type Call struct {
	Method string // get, list, commit, put or fetch
	Key    string // the key, the prefix, or the first key of a commit
	Client string // who calls, as named by Store.Client
}

// Counts are the calls that the store has seen.
type Counts struct {
	Reads  uint64
	Writes uint64
}

// Store is a table and an object store in memory. It is safe for concurrent
// use; the zero value is not.
type Store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
	version uint64
	fault   func(Call) Fault
	counts  Counts
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		rows:    map[string]table.Row{},
		objects: map[string][]byte{},
		fault:   func(Call) Fault { return Fault{} },
	}
}

// SetFault makes fault decide what each later call suffers. A nil fault ends
// all faults.
func (store *Store) SetFault(fault func(Call) Fault) {
	if fault == nil {
		fault = func(Call) Fault { return Fault{} }
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
}

// Counts returns the calls that the store has seen.
func (store *Store) Counts() Counts {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.counts
}

// Client returns the store as seen by one named caller, so that faults can
// tell callers apart.
func (store *Store) Client(name string) *Client {
	return &Client{store: store, name: name}
}

// Client is a table.Table and a table.Objects.
type Client struct {
	store *Store
	name  string
}

// Get returns the row of a key.
func (client *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	err := client.call(ctx, Call{Method: "get", Key: key}, false, func(store *Store) error {
		found, ok := store.rows[key]
		if !ok {
			return code.Errorf(code.RowMissing, "row %s does not exist", key)
		}
		row = found
		row.Value = bytes.Clone(found.Value)
		return nil
	})
	return row, err
}

// List returns up to limit rows whose keys begin with prefix and follow after.
func (client *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	err := client.call(ctx, Call{Method: "list", Key: prefix}, false, func(store *Store) error {
		rows = store.list(prefix, after, limit)
		return nil
	})
	return rows, err
}

// Commit applies all writes or none.
func (client *Client) Commit(ctx context.Context, writes ...table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	return client.call(ctx, Call{Method: "commit", Key: writes[0].Key}, true, func(store *Store) error {
		return store.commit(writes)
	})
}

// Put stores an object once.
func (client *Client) Put(ctx context.Context, key string, data []byte) error {
	return client.call(ctx, Call{Method: "put", Key: key}, true, func(store *Store) error {
		if old, ok := store.objects[key]; ok && !bytes.Equal(old, data) {
			return code.Errorf(code.RowConflict, "object %s exists with other bytes", key)
		}
		store.objects[key] = bytes.Clone(data)
		return nil
	})
}

// Fetch returns the bytes of an object.
func (client *Client) Fetch(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := client.call(ctx, Call{Method: "fetch", Key: key}, false, func(store *Store) error {
		found, ok := store.objects[key]
		if !ok {
			return code.Errorf(code.RowMissing, "object %s does not exist", key)
		}
		data = bytes.Clone(found)
		return nil
	})
	return data, err
}

func (client *Client) call(ctx context.Context, call Call, write bool, apply func(*Store) error) error {
	call.Client = client.name
	store := client.store
	store.mu.Lock()
	decide := store.fault
	store.mu.Unlock()
	fault := decide(call)
	if err := wait(ctx, fault.Delay); err != nil {
		return err
	}
	if fault.Down {
		return code.Errorf(code.StoreDown, "store does not answer %s of %s", call.Method, call.Key)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.count(write)
	err := apply(store)
	if fault.LoseAnswer {
		return lost(call, write)
	}
	return err
}

func (store *Store) count(write bool) {
	if write {
		store.counts.Writes++
		return
	}
	store.counts.Reads++
}

func (store *Store) list(prefix, after string, limit int) []table.Row {
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

func (store *Store) commit(writes []table.Write) error {
	for _, write := range writes {
		if got := store.rows[write.Key].Version; got != write.Version {
			return code.Errorf(code.RowConflict, "row %s has version %d, not %d", write.Key, got, write.Version)
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

func lost(call Call, write bool) error {
	if write {
		return code.Errorf(code.WriteUnknown, "answer to %s of %s was lost", call.Method, call.Key)
	}
	return code.Errorf(code.StoreDown, "answer to %s of %s was lost", call.Method, call.Key)
}

func wait(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return ctxError(ctx)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctxError(ctx)
	}
}

func ctxError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return code.Errorf(code.StoreDown, "store call ended before it was sent: %w", ctx.Err())
}
