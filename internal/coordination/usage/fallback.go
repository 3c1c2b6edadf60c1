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

// Rows is the part of the platform's table that a TableCopy needs.
type Rows interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, writes ...table.Write) error
}

// TableCopy is the last Replica of a Meter: it keeps the copies of one instance
// in the table, with one row for each window. Copies that come within the
// interval after the last one are refused, so that an instance without peers
// costs the store at most one write, and one read for each window, per interval.
type TableCopy struct {
	rows     Rows
	interval time.Duration

	turn chan struct{} // held by the copy that writes
	last time.Time
}

// NewTableCopy returns a TableCopy that writes at most once per interval.
func NewTableCopy(rows Rows, interval time.Duration) *TableCopy {
	return &TableCopy{rows: rows, interval: interval, turn: make(chan struct{}, 1)}
}

// Copy writes batches into the table in one transaction. Errors have
// code.StoreDown within the interval, and the codes of table.Table.
func (copies *TableCopy) Copy(ctx context.Context, batches []Batch) (string, error) {
	copies.turn <- struct{}{}
	defer func() { <-copies.turn }()
	if time.Since(copies.last) < copies.interval {
		return "", code.Errorf(code.StoreDown, "the table took a copy less than %v ago", copies.interval)
	}
	copies.last = time.Now()
	var writes []table.Write
	for _, batch := range Merge(batches) {
		write, err := copies.write(ctx, batch)
		if err != nil {
			return "", err
		}
		writes = append(writes, write)
	}
	return copyPrefix, copies.rows.Commit(ctx, writes...)
}

// Collect returns the copies in the table that answer an ask, and deletes up to
// limit rows that are settled or older than the horizon. It costs one read for
// each limit of rows, and a write if there is something to delete. One
// instance, the one that gathers, needs to call it.
func (copies *TableCopy) Collect(ctx context.Context, ask Ask, horizon Window, limit int) ([]Batch, error) {
	rows, err := listAll(ctx, copies.rows, copyPrefix, limit)
	if err != nil {
		return nil, err
	}
	through := ask.through()
	var batches []Batch
	var writes []table.Write
	for _, row := range rows {
		batch, err := decodeCopy(row)
		if err != nil {
			continue // Missing tells that its origin has no copy
		}
		last, ok := through[batch.Origin]
		settled := ok && batch.Window <= last || batch.Window <= ask.Window-2*horizon
		if settled && len(writes) < limit {
			writes = append(writes, table.Write{Key: row.Key, Version: row.Version, Delete: true})
		}
		if !settled {
			batches = append(batches, batch)
		}
	}
	if len(writes) > 0 {
		if err := copies.rows.Commit(ctx, writes...); err != nil {
			return ask.answer(batches), nil //nolint:nilerr // the rows are deleted at the next call
		}
	}
	return ask.answer(batches), nil
}

// write returns the write that merges a batch into the row of its window.
func (copies *TableCopy) write(ctx context.Context, batch Batch) (table.Write, error) {
	name := copyKey(batch)
	figures := newFigures(batch.key())
	row, err := copies.rows.Get(ctx, name)
	if err != nil && !code.Is(err, code.RowMissing) {
		return table.Write{}, err
	}
	if err == nil {
		before, err := decodeCopy(row)
		if err != nil {
			return table.Write{}, err
		}
		figures.add(before)
	}
	figures.add(batch.heldBy(copyPrefix))
	return encode(name, row.Version, figures.whole())
}

func decodeCopy(row table.Row) (Batch, error) {
	var batch Batch
	if err := json.Unmarshal(row.Value, &batch); err != nil || batch.malformed() {
		return batch, code.Errorf(code.RowMalformed, "row %s is not a batch", row.Key)
	}
	return batch, nil
}

func copyKey(batch Batch) string {
	name := strings.ReplaceAll(batch.Instance, "/", "%2F")
	return fmt.Sprintf("%s%012d/%s/%d", copyPrefix, batch.Window, name, batch.Incarnation)
}

func listAll(ctx context.Context, rows Rows, prefix string, limit int) ([]table.Row, error) {
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
