package once

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/state/table"
)

// DeleteExpired reads one page of at most limit rows and deletes those past the
// retention in one write. It returns the key after which the next page begins,
// empty after the last page, and the number of rows deleted. A page costs one
// read, and one write if rows are deleted. Rows that cannot be decoded are kept.
func (deduplicator *Deduplicator) DeleteExpired(ctx context.Context, after string, limit int) (string, int, error) {
	rows, err := deduplicator.store.List(ctx, rowPrefix, after, limit)
	if err != nil {
		return after, 0, err
	}
	var writes []table.Write
	for _, row := range rows {
		if deduplicator.isExpired(row) {
			writes = append(writes, table.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
		}
	}
	if len(writes) > 0 {
		if err := deduplicator.store.Commit(ctx, writes...); err != nil {
			return after, 0, err
		}
	}
	if len(rows) < limit {
		return "", len(writes), nil
	}
	return rows[len(rows)-1].Key, len(writes), nil
}

func (deduplicator *Deduplicator) isExpired(row table.Row) bool {
	found, err := decode(row)
	if err != nil {
		return false
	}
	return time.Since(time.UnixMilli(found.ClaimedMS)) > deduplicator.settings.retention
}
