package feed

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// Store is the part of the platform's table and object store that holds
// release notes.
type Store interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
	Put(ctx context.Context, key string, data []byte) error
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// timed bounds the time of each read, with the store's silence in mind.
type timed struct {
	Store
}

func (timed timed) Get(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return timed.Store.Get(ctx, key)
}

func (timed timed) Fetch(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return timed.Store.Fetch(ctx, key)
}

// readHead returns the newest head and the version of its row, both zero
// before the first note.
func readHead(ctx context.Context, store Store) (Head, uint64, error) {
	row, err := store.Get(ctx, HeadKey)
	if code.Is(err, code.RowMissing) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := DecodeHead(row.Value)
	return head, row.Version, err
}

// readLog returns the head that accepted the note with a number.
func readLog(ctx context.Context, store Store, number uint64) (Head, error) {
	row, err := store.Get(ctx, LogKey(number))
	if err != nil {
		return Head{}, err
	}
	head, err := DecodeHead(row.Value)
	if err == nil && head.Number != number {
		err = malformed("log row %d holds number %d", number, head.Number)
	}
	return head, err
}

// loadNote returns the encoded note that head accepted.
func loadNote(ctx context.Context, store Store, head Head) ([]byte, error) {
	data, err := store.Fetch(ctx, notePrefix+head.NoteHash)
	if err != nil {
		return nil, err
	}
	return data, checkHash(data, head.NoteHash)
}

// loadCatalog returns the encoded catalog that head's note left.
func loadCatalog(ctx context.Context, store Store, head Head) ([]byte, error) {
	data, err := store.Fetch(ctx, catalogPrefix+head.CatalogHash)
	if err != nil {
		return nil, err
	}
	return data, checkHash(data, head.CatalogHash)
}

// decodeCatalog reads the catalog of head from its verified bytes.
func decodeCatalog(data []byte, head Head) (*note.Catalog, error) {
	if err := checkHash(data, head.CatalogHash); err != nil {
		return nil, err
	}
	catalog, err := note.DecodeCatalog(data)
	if err != nil {
		return nil, err
	}
	if catalog.Number != head.Number {
		return nil, malformed("catalog of head %d has number %d", head.Number, catalog.Number)
	}
	return catalog, nil
}
