package feed

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Load returns the catalog that the latest accepted note leaves, and the empty
// one before the first note. It costs two reads of the store.
func Load(ctx context.Context, store Store) (*note.Catalog, error) {
	head, version, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return note.Empty(), nil
	}
	data, err := loadCatalog(ctx, store, head)
	if err != nil {
		return nil, err
	}
	return decodeCatalog(data, head)
}
