package usage

import (
	"context"
	"encoding/json"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// freeze collects a window and writes its row together with the next head. An
// answer that is lost needs no care: the head tells at the next step whether
// the row was written, and a write on its way fails once another one has moved
// the head.
func (freezer *Freezer) freeze(ctx context.Context, before head, version uint64) error {
	if err := freezer.loadLedger(ctx, before); err != nil {
		return err
	}
	ask := Ask{Window: before.Next, Settled: freezer.ledger.Settled}
	batches, missing, err := freezer.source.Collect(ctx, ask)
	if err != nil {
		return err
	}
	if len(missing) > 0 && freezer.mayWait(before.Next) {
		return code.Errorf(code.RowMissing, "%d instances have not answered yet", len(missing))
	}
	content, after := freezer.build(before, batches, missing)
	row, err := freezer.storeParts(ctx, content, after)
	if err != nil {
		return err
	}
	if err := freezer.commitWindow(ctx, before, version, row); err != nil {
		return err
	}
	freezer.ledger, freezer.ledgerHash = after, row.Ledger.Hash
	freezer.count(content)
	return nil
}

func (freezer *Freezer) mayWait(window Window) bool {
	return time.Since(freezer.due(window)) < freezer.settings.patience
}

func (freezer *Freezer) build(before head, batches []Batch, missing []string) (Content, ledger) {
	window := before.Next
	builder := newBuilder(window, freezer.settings.horizon, freezer.ledger)
	for _, batch := range Merge(batches) {
		builder.add(batch)
	}
	lines, corrections := builder.lines()
	freezer.metrics.dropped.Add(float64(builder.dropped))
	content := Content{
		Number:      before.Number + 1,
		Window:      window,
		StartMS:     freezer.settings.schedule.Start(window).UnixMilli(),
		EndMS:       freezer.settings.schedule.End(window).UnixMilli(),
		Lines:       lines,
		Corrections: corrections,
		Incomplete:  len(missing) > 0,
		Missing:     missing,
	}
	return content, builder.ledger()
}

// storeParts puts the large parts of a window's row into the object store.
func (freezer *Freezer) storeParts(ctx context.Context, content Content, after ledger) (frozen, error) {
	row := frozen{Number: content.Number}
	report, err := json.Marshal(content)
	if err != nil {
		return row, code.Errorf(code.Internal, "cannot encode a report: %w", err)
	}
	rest, err := json.Marshal(after)
	if err != nil {
		return row, code.Errorf(code.Internal, "cannot encode a ledger: %w", err)
	}
	if row.Report, err = freezer.putBlob(ctx, report); err != nil {
		return row, err
	}
	row.Ledger, err = freezer.putBlob(ctx, rest)
	return row, err
}

func (freezer *Freezer) commitWindow(ctx context.Context, before head, version uint64, row frozen) error {
	window, err := encode(windowKey(before.Next), 0, row)
	if err != nil {
		return err
	}
	after := before
	after.Next++
	after.Number = row.Number
	next, err := encode(headKey, version, after)
	if err != nil {
		return err
	}
	return freezer.store.Commit(ctx, window, next, freezer.duty.Check())
}

// loadLedger reads the ledger of the window before the next one, unless this
// Freezer has it.
func (freezer *Freezer) loadLedger(ctx context.Context, before head) error {
	if before.Number == 0 {
		freezer.ledger, freezer.ledgerHash = ledger{}, ""
		return nil
	}
	var row frozen
	if _, err := freezer.read(ctx, windowKey(before.Next-1), &row); err != nil {
		return err
	}
	if row.Ledger.Hash == freezer.ledgerHash {
		return nil
	}
	data, err := freezer.fetchBlob(ctx, row.Ledger)
	if err != nil {
		return err
	}
	var found ledger
	if err := json.Unmarshal(data, &found); err != nil {
		return code.Errorf(code.RowMalformed, "ledger of window %d: %w", before.Next-1, err)
	}
	freezer.ledger, freezer.ledgerHash = found, row.Ledger.Hash
	return nil
}

func (freezer *Freezer) count(content Content) {
	freezer.metrics.frozen.Inc()
	freezer.metrics.corrected.Add(float64(len(content.Corrections)))
	if content.Incomplete {
		freezer.metrics.incomplete.Inc()
		freezer.settings.logger.Warn().Int64("window", int64(content.Window)).
			Strs("missing", content.Missing).Msg("window is incomplete")
	}
}
