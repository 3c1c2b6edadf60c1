package usage

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// reportNextWindow sends the frozen bytes of the first window that is not
// reported. It opens the ticket of the window, sends the report, and closes the
// ticket in the transaction that advances the head.
func (reporter *WindowReporter) reportNextWindow(ctx context.Context, before headRow, headVersion uint64) error {
	window := before.LastReported + 1
	report, err := reporter.loadReport(ctx, window)
	if err != nil {
		return err
	}
	version, err := reporter.openTicket(ctx, report)
	if err != nil {
		return err
	}
	if reporter.acceptedWindow != window {
		if err := reporter.sendReport(ctx, report); err != nil {
			return err
		}
		reporter.acceptedWindow = window
	}
	return reporter.closeTicket(ctx, report, version, before, headVersion)
}

func (reporter *WindowReporter) loadReport(ctx context.Context, window Window) (Report, error) {
	var row windowRow
	if _, err := reporter.readRow(ctx, windowKey(window), &row); err != nil {
		return Report{}, err
	}
	body, err := reporter.fetchBlob(ctx, row.Report)
	return Report{Number: row.Number, Window: window, Hash: row.Report.Hash, Body: body}, err
}

// openTicket opens the ticket of the window for writerID, on condition of the
// lease, and returns the ticket's version. It takes over the ticket of another
// writer only to send identical bytes, and with WithWriterEnded only once that
// writer has ended.
func (reporter *WindowReporter) openTicket(ctx context.Context, report Report) (uint64, error) {
	key := ticketKey(report.Window)
	ticket, version, err := reporter.readTicket(ctx, key)
	if err != nil {
		return 0, err
	}
	if ticket.Writer == reporter.writerID {
		return version, nil
	}
	if version > 0 && ticket.Writer != "" {
		if err := reporter.checkTakeover(ctx, ticket, report); err != nil {
			return 0, err
		}
	}
	reporter.openTicketWindow = report.Window
	opened := ticketRow{Writer: reporter.writerID, Number: report.Number, Hash: report.Hash, Open: true}
	write, err := encodeRow(key, version, opened)
	if err != nil {
		return 0, err
	}
	if err := reporter.store.Commit(ctx, write, reporter.lease.Condition()); err != nil {
		return 0, err
	}
	_, version, err = reporter.readTicket(ctx, key)
	return version, err
}

// readTicket returns version 0 for a ticket that does not exist.
func (reporter *WindowReporter) readTicket(ctx context.Context, key string) (ticketRow, uint64, error) {
	var ticket ticketRow
	version, err := reporter.readRow(ctx, key, &ticket)
	if code.Is(err, code.RowMissing) {
		return ticket, 0, nil
	}
	return ticket, version, err
}

func (reporter *WindowReporter) checkTakeover(ctx context.Context, ticket ticketRow, report Report) error {
	if ticket.Hash != report.Hash || ticket.Number != report.Number {
		return code.Errorf(code.RowMalformed, "the ticket of window %d has a different report number or hash", report.Window)
	}
	if reporter.settings.writerEnded == nil {
		return nil
	}
	ended, err := reporter.settings.writerEnded(ctx, ticket.Writer)
	if err != nil {
		return err
	}
	if !ended {
		return code.Errorf(code.OrderOpen, "the report of window %d may be in flight from %s", report.Window, ticket.Writer)
	}
	return nil
}

// releaseTicket ends the ticket that may have been left open when the lease was
// lost. No report of this WindowReporter is in flight at this point.
func (reporter *WindowReporter) releaseTicket(ctx context.Context) {
	if reporter.openTicketWindow == 0 {
		return
	}
	if err := reporter.closeOrAbandonTicket(ctx); err != nil {
		reporter.settings.logger.Warn().Err(err).Msg("cannot release a usage report ticket")
		return
	}
	reporter.openTicketWindow = 0
}

// closeOrAbandonTicket closes the ticket if the platform accepted the report,
// and otherwise clears its writer, so that a successor can take it over.
func (reporter *WindowReporter) closeOrAbandonTicket(ctx context.Context) error {
	key := ticketKey(reporter.openTicketWindow)
	ticket, version, err := reporter.readTicket(ctx, key)
	if err != nil || ticket.Writer != reporter.writerID || !ticket.Open {
		return err
	}
	if reporter.acceptedWindow == reporter.openTicketWindow {
		var before headRow
		headVersion, err := reporter.readRow(ctx, headKey, &before)
		if err != nil {
			return err
		}
		report := Report{Number: ticket.Number, Window: reporter.openTicketWindow, Hash: ticket.Hash}
		return reporter.closeTicket(ctx, report, version, before, headVersion)
	}
	ticket.Writer = ""
	write, err := encodeRow(key, version, ticket)
	if err != nil {
		return err
	}
	return reporter.store.Commit(ctx, write)
}

func (reporter *WindowReporter) sendReport(ctx context.Context, report Report) error {
	if !reporter.lease.Held() {
		return code.Errorf(code.LeaseLost, "the lease for usage reports was lost")
	}
	ctx, cancel := context.WithTimeout(ctx, reporter.settings.reportTimeout)
	defer cancel()
	return reporter.sender.SendReport(ctx, report)
}

// closeTicket does not depend on the lease: it records what the platform has
// accepted, and fails if another writer has taken the ticket over.
func (reporter *WindowReporter) closeTicket(ctx context.Context, report Report, version uint64, before headRow, headVersion uint64) error {
	closed := ticketRow{Writer: reporter.writerID, Number: report.Number, Hash: report.Hash}
	ticketWrite, err := encodeRow(ticketKey(report.Window), version, closed)
	if err != nil {
		return err
	}
	after := before
	after.LastReported = report.Window
	headWrite, err := encodeRow(headKey, headVersion, after)
	if err != nil {
		return err
	}
	if err := reporter.store.Commit(ctx, ticketWrite, headWrite); err != nil {
		return err
	}
	reporter.openTicketWindow = 0
	reporter.metrics.reported.Inc()
	reporter.deleteExpiredRows(ctx, after)
	return nil
}

// deleteExpiredRows deletes the rows of windows older than the retention. It
// runs once per batch of windows.
func (reporter *WindowReporter) deleteExpiredRows(ctx context.Context, head headRow) {
	const batch = 32
	oldest := head.LastReported - reporter.settings.retention
	if head.LastReported%batch != 0 {
		return
	}
	var writes []table.Write
	for _, prefix := range []string{windowPrefix, ticketPrefix} {
		rows, err := reporter.store.List(ctx, prefix, "", 2*batch)
		if err != nil {
			return
		}
		for _, row := range rows {
			if row.Key < prefix+windowKey(oldest)[len(windowPrefix):] {
				writes = append(writes, table.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
			}
		}
	}
	if len(writes) == 0 {
		return
	}
	if err := reporter.store.Commit(ctx, writes...); err != nil {
		reporter.settings.logger.Warn().Err(err).Msg("cannot delete the rows of expired usage windows")
	}
}
