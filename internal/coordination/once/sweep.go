package once

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/state/table"
)

// Sweep deletes the rows of one page that are past the retention, in one
// write. It returns the key after which the next page begins, empty after the
// last one. Each page costs one read, and one write if it deletes. Rows that
// cannot be read are kept.
func (guard *Guard) Sweep(ctx context.Context, after string, limit int) (string, int, error) {
	rows, err := guard.store.List(ctx, rowPrefix, after, limit)
	if err != nil {
		return after, 0, err
	}
	var writes []table.Write
	for _, row := range rows {
		if guard.outdated(row) {
			writes = append(writes, table.Write{Key: row.Key, Version: row.Version, Delete: true})
		}
	}
	if len(writes) > 0 {
		if err := guard.store.Commit(ctx, writes...); err != nil {
			return after, 0, err
		}
	}
	if len(rows) < limit {
		return "", len(writes), nil
	}
	return rows[len(rows)-1].Key, len(writes), nil
}

func (guard *Guard) outdated(row table.Row) bool {
	found, err := decode(row)
	if err != nil {
		return false
	}
	return time.Since(time.UnixMilli(found.ClaimedMS)) > guard.settings.retention
}
