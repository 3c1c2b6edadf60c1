package feed

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// Store gives access to the platform's table and object store. Get and Commit
// work on rows, Put and Fetch on objects.
type Store interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
	Put(ctx context.Context, key string, data []byte) error
	Fetch(ctx context.Context, key string) ([]byte, error)
}

// timeoutStore limits the time of each read, since the store may never respond.
type timeoutStore struct {
	Store
}

func (store timeoutStore) Get(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	return store.Store.Get(ctx, key)
}

func (store timeoutStore) Fetch(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	return store.Store.Fetch(ctx, key)
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

// readLogHead returns the head that accepted the note with a number, read from
// its log row.
func readLogHead(ctx context.Context, store Store, number uint64) (Head, error) {
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

// fetchNote returns the encoded note of head.
func fetchNote(ctx context.Context, store Store, head Head) ([]byte, error) {
	data, err := store.Fetch(ctx, notePrefix+head.NoteHash)
	if err != nil {
		return nil, err
	}
	return data, checkHash(data, head.NoteHash)
}

// fetchCatalog returns the encoded catalog of head.
func fetchCatalog(ctx context.Context, store Store, head Head) ([]byte, error) {
	data, err := store.Fetch(ctx, catalogPrefix+head.CatalogHash)
	if err != nil {
		return nil, err
	}
	return data, checkHash(data, head.CatalogHash)
}

// decodeCatalog decodes the catalog of head after checking its hash.
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
