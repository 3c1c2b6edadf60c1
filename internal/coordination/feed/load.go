package feed

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/note"
)

// LoadCatalog reads the catalog of the newest accepted note from the store, with two
// reads. It returns the empty catalog before the first note.
func LoadCatalog(ctx context.Context, store Store) (*note.Catalog, error) {
	head, version, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return note.EmptyCatalog(), nil
	}
	data, err := fetchCatalog(ctx, store, head)
	if err != nil {
		return nil, err
	}
	return decodeCatalog(data, head)
}
