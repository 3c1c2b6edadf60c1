package usage

import (
	"context"
	"encoding/json"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// freezeNextWindow collects a window and commits its row together with the next
// head. A lost response needs no handling: the next step reads from the head
// whether the row was written, and a write still in flight fails once another
// write has moved the head.
func (reporter *WindowReporter) freezeNextWindow(ctx context.Context, before headRow, version uint64) error {
	if err := reporter.loadLedger(ctx, before); err != nil {
		return err
	}
	request := CollectRequest{LastWindow: before.NextWindow, Watermarks: reporter.ledger.Watermarks}
	batches, missing, err := reporter.collector.Collect(ctx, request)
	if err != nil {
		return err
	}
	if len(missing) > 0 && reporter.canWaitForMissing(before.NextWindow) {
		return code.Errorf(code.RowMissing, "%d instances have not returned their usage counts yet", len(missing))
	}
	body, after := reporter.buildReport(before, batches, missing)
	row, err := reporter.storeWindowData(ctx, body, after)
	if err != nil {
		return err
	}
	if err := reporter.commitWindow(ctx, before, version, row); err != nil {
		return err
	}
	reporter.ledger, reporter.ledgerHash = after, row.Ledger.Hash
	reporter.countFrozen(body)
	return nil
}

func (reporter *WindowReporter) canWaitForMissing(window Window) bool {
	return time.Since(reporter.collectionTime(window)) < reporter.settings.missingTimeout
}

func (reporter *WindowReporter) buildReport(before headRow, batches []Batch, missing []string) (ReportBody, ledger) {
	window := before.NextWindow
	builder := newReportBuilder(window, reporter.settings.allowedLateness, reporter.ledger)
	for _, batch := range Merge(batches) {
		builder.add(batch)
	}
	lines, corrections := builder.lines()
	reporter.metrics.dropped.Add(float64(builder.droppedBatches))
	body := ReportBody{
		Number:      before.LastNumber + 1,
		Window:      window,
		StartMS:     reporter.settings.schedule.WindowStart(window).UnixMilli(),
		EndMS:       reporter.settings.schedule.WindowEnd(window).UnixMilli(),
		Lines:       lines,
		Corrections: corrections,
		Incomplete:  len(missing) > 0,
		Missing:     missing,
	}
	return body, builder.nextLedger()
}

// storeWindowData stores the report and the ledger of a window, large ones as
// objects.
func (reporter *WindowReporter) storeWindowData(ctx context.Context, body ReportBody, after ledger) (windowRow, error) {
	row := windowRow{Number: body.Number}
	reportJSON, err := json.Marshal(body)
	if err != nil {
		return row, code.Errorf(code.Internal, "cannot encode the report of a window: %w", err)
	}
	ledgerJSON, err := json.Marshal(after)
	if err != nil {
		return row, code.Errorf(code.Internal, "cannot encode the ledger of a window: %w", err)
	}
	if row.Report, err = reporter.putBlob(ctx, reportJSON); err != nil {
		return row, err
	}
	row.Ledger, err = reporter.putBlob(ctx, ledgerJSON)
	return row, err
}

func (reporter *WindowReporter) commitWindow(ctx context.Context, before headRow, version uint64, row windowRow) error {
	window, err := encodeRow(windowKey(before.NextWindow), 0, row)
	if err != nil {
		return err
	}
	after := before
	after.NextWindow++
	after.LastNumber = row.Number
	headWrite, err := encodeRow(headKey, version, after)
	if err != nil {
		return err
	}
	return reporter.store.Commit(ctx, window, headWrite, reporter.lease.Condition())
}

// loadLedger loads the ledger of the last frozen window unless it is already in
// memory.
func (reporter *WindowReporter) loadLedger(ctx context.Context, before headRow) error {
	if before.LastNumber == 0 {
		reporter.ledger, reporter.ledgerHash = ledger{}, ""
		return nil
	}
	var row windowRow
	if _, err := reporter.readRow(ctx, windowKey(before.NextWindow-1), &row); err != nil {
		return err
	}
	if row.Ledger.Hash == reporter.ledgerHash {
		return nil
	}
	data, err := reporter.fetchBlob(ctx, row.Ledger)
	if err != nil {
		return err
	}
	var stored ledger
	if err := json.Unmarshal(data, &stored); err != nil {
		return code.Errorf(code.RowMalformed, "decode the ledger of window %d: %w", before.NextWindow-1, err)
	}
	reporter.ledger, reporter.ledgerHash = stored, row.Ledger.Hash
	return nil
}

func (reporter *WindowReporter) countFrozen(body ReportBody) {
	reporter.metrics.frozen.Inc()
	reporter.metrics.corrected.Add(float64(len(body.Corrections)))
	if body.Incomplete {
		reporter.metrics.incomplete.Inc()
		reporter.settings.logger.Warn().Int64("window", int64(body.Window)).
			Strs("missing", body.Missing).Msg("usage window frozen as incomplete")
	}
}
