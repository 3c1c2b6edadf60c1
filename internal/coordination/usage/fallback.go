package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

const copyPrefix = "usage/copy/"

// Table is the part of the platform's table that a TableReplica needs.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
}

// TableReplica is the last-resort Replica of a Meter. It stores the copies of one
// instance in the table, one row per window. It refuses copies that arrive
// within the interval after the previous one, so that an instance without
// reachable peers costs the store at most one write, and one read per window,
// in each interval.
type TableReplica struct {
	table    Table
	interval time.Duration

	writeLock chan struct{} // held by the copy in progress
	lastWrite time.Time
}

// NewTableReplica returns a TableReplica that writes at most once per interval.
func NewTableReplica(rows Table, interval time.Duration) *TableReplica {
	return &TableReplica{table: rows, interval: interval, writeLock: make(chan struct{}, 1)}
}

// Store writes batches to the table in one transaction. It returns
// code.StoreDown for a copy within the interval, and otherwise the codes of
// table.Table.
func (replica *TableReplica) Store(ctx context.Context, batches []Batch) (string, error) {
	replica.writeLock <- struct{}{}
	defer func() { <-replica.writeLock }()
	if time.Since(replica.lastWrite) < replica.interval {
		return "", code.Errorf(code.StoreDown, "the table accepted a copy less than %v ago", replica.interval)
	}
	replica.lastWrite = time.Now()
	var writes []table.Write
	for _, batch := range Merge(batches) {
		write, err := replica.mergedRow(ctx, batch)
		if err != nil {
			return "", err
		}
		writes = append(writes, write)
	}
	return copyPrefix, replica.table.Commit(ctx, writes...)
}

// Collect returns the copies in the table that match a request, and deletes up
// to limit rows that are settled or at least twice the allowed lateness older
// than the requested window. It costs one read per limit rows, and one write if
// rows are deleted. Only the instance that collects needs to call it.
func (replica *TableReplica) Collect(ctx context.Context, request CollectRequest, allowedLateness Window, limit int) ([]Batch, error) {
	rows, err := listAllRows(ctx, replica.table, copyPrefix, limit)
	if err != nil {
		return nil, err
	}
	through := request.settledThrough()
	var batches []Batch
	var writes []table.Write
	for _, row := range rows {
		batch, err := decodeCopy(row)
		if err != nil {
			continue // MissingInstances reports its origin as having no copy
		}
		last, ok := through[batch.Origin]
		settled := ok && batch.Window <= last || batch.Window <= request.LastWindow-2*allowedLateness
		if settled && len(writes) < limit {
			writes = append(writes, table.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
		}
		if !settled {
			batches = append(batches, batch)
		}
	}
	if len(writes) > 0 {
		if err := replica.table.Commit(ctx, writes...); err != nil {
			return request.response(batches), nil //nolint:nilerr // the next call deletes the rows
		}
	}
	return request.response(batches), nil
}

// mergedRow returns the write that merges a batch into the row of its window.
func (replica *TableReplica) mergedRow(ctx context.Context, batch Batch) (table.Write, error) {
	key := copyRowKey(batch)
	merged := newMergedBatch(batch.mergeKey())
	row, err := replica.table.Get(ctx, key)
	if err != nil && !code.Is(err, code.RowMissing) {
		return table.Write{}, err
	}
	if err == nil {
		before, err := decodeCopy(row)
		if err != nil {
			return table.Write{}, err
		}
		merged.merge(before)
	}
	merged.merge(batch.forReplica(copyPrefix))
	return encodeRow(key, row.Version, merged.toBatch())
}

func decodeCopy(row table.Row) (Batch, error) {
	var batch Batch
	if err := json.Unmarshal(row.Value, &batch); err != nil || batch.isMalformed() {
		return batch, code.Errorf(code.RowMalformed, "row %s does not hold a valid usage batch", row.Key)
	}
	return batch, nil
}

func copyRowKey(batch Batch) string {
	name := strings.ReplaceAll(batch.Instance, "/", "%2F")
	return fmt.Sprintf("%s%012d/%s/%d", copyPrefix, batch.Window, name, batch.Incarnation)
}

func listAllRows(ctx context.Context, rows Table, prefix string, limit int) ([]table.Row, error) {
	var all []table.Row
	after := ""
	for {
		page, err := rows.List(ctx, prefix, after, limit)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < limit {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}
