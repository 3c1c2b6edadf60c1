package usage

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// report sends the frozen bytes of the first window that is not reported: it
// opens the window's ticket, sends, and closes the ticket together with moving
// the head.
func (freezer *Freezer) report(ctx context.Context, before head, headVersion uint64) error {
	window := before.Reported + 1
	report, err := freezer.loadReport(ctx, window)
	if err != nil {
		return err
	}
	version, err := freezer.openTicket(ctx, report)
	if err != nil {
		return err
	}
	if freezer.taken != window {
		if err := freezer.send(ctx, report); err != nil {
			return err
		}
		freezer.taken = window
	}
	return freezer.closeTicket(ctx, report, version, before, headVersion)
}

func (freezer *Freezer) loadReport(ctx context.Context, window Window) (Report, error) {
	var row frozen
	if _, err := freezer.read(ctx, windowKey(window), &row); err != nil {
		return Report{}, err
	}
	body, err := freezer.fetchBlob(ctx, row.Report)
	return Report{Number: row.Number, Window: window, Hash: row.Report.Hash, Body: body}, err
}

// openTicket makes this Freezer the writer of the window's open ticket, under
// the duty, and returns the ticket's version. The ticket of another writer is
// taken over for a byte-identical repeat, or once that writer is gone.
func (freezer *Freezer) openTicket(ctx context.Context, report Report) (uint64, error) {
	key := ticketKey(report.Window)
	found, version, err := freezer.readTicket(ctx, key)
	if err != nil {
		return 0, err
	}
	if found.Writer == freezer.writer {
		return version, nil
	}
	if version > 0 && found.Writer != "" {
		if err := freezer.mayTakeOver(ctx, found, report); err != nil {
			return 0, err
		}
	}
	freezer.opened = report.Window
	mine := ticket{Writer: freezer.writer, Number: report.Number, Hash: report.Hash, Open: true}
	write, err := encode(key, version, mine)
	if err != nil {
		return 0, err
	}
	if err := freezer.store.Commit(ctx, write, freezer.duty.Check()); err != nil {
		return 0, err
	}
	_, version, err = freezer.readTicket(ctx, key)
	return version, err
}

// readTicket returns version 0 for a ticket that does not exist.
func (freezer *Freezer) readTicket(ctx context.Context, key string) (ticket, uint64, error) {
	var found ticket
	version, err := freezer.read(ctx, key, &found)
	if code.Is(err, code.RowMissing) {
		return found, 0, nil
	}
	return found, version, err
}

func (freezer *Freezer) mayTakeOver(ctx context.Context, found ticket, report Report) error {
	if found.Hash != report.Hash || found.Number != report.Number {
		return code.Errorf(code.RowMalformed, "the ticket of window %d is for other bytes", report.Window)
	}
	if freezer.settings.writerGone == nil {
		return nil
	}
	gone, err := freezer.settings.writerGone(ctx, found.Writer)
	if err != nil {
		return err
	}
	if !gone {
		return code.Errorf(code.OrderOpen, "the report of window %d may be on its way from %s", report.Window, found.Writer)
	}
	return nil
}

// leave ends the ticket that this Freezer may have left open when it lost the
// duty. None of its reports is on its way then.
func (freezer *Freezer) leave(ctx context.Context) {
	if freezer.opened == 0 {
		return
	}
	if err := freezer.leaveTicket(ctx); err != nil {
		freezer.settings.logger.Warn().Err(err).Msg("cannot end a ticket")
		return
	}
	freezer.opened = 0
}

// leaveTicket closes the ticket of a report that the platform took, and gives
// up that of another one, so that a successor may take it over.
func (freezer *Freezer) leaveTicket(ctx context.Context) error {
	key := ticketKey(freezer.opened)
	found, version, err := freezer.readTicket(ctx, key)
	if err != nil || found.Writer != freezer.writer || !found.Open {
		return err
	}
	if freezer.taken == freezer.opened {
		var before head
		headVersion, err := freezer.read(ctx, headKey, &before)
		if err != nil {
			return err
		}
		report := Report{Number: found.Number, Window: freezer.opened, Hash: found.Hash}
		return freezer.closeTicket(ctx, report, version, before, headVersion)
	}
	found.Writer = ""
	write, err := encode(key, version, found)
	if err != nil {
		return err
	}
	return freezer.store.Commit(ctx, write)
}

func (freezer *Freezer) send(ctx context.Context, report Report) error {
	if !freezer.duty.Held() {
		return code.Errorf(code.LeaseLost, "the duty of reporting was lost")
	}
	ctx, cancel := context.WithTimeout(ctx, freezer.settings.reportTimeout)
	defer cancel()
	return freezer.reporter.Report(ctx, report)
}

// closeTicket needs no check of the duty: it states what the platform has
// taken, and fails if another writer took the ticket over.
func (freezer *Freezer) closeTicket(ctx context.Context, report Report, version uint64, before head, headVersion uint64) error {
	closed := ticket{Writer: freezer.writer, Number: report.Number, Hash: report.Hash}
	ticket, err := encode(ticketKey(report.Window), version, closed)
	if err != nil {
		return err
	}
	after := before
	after.Reported = report.Window
	next, err := encode(headKey, headVersion, after)
	if err != nil {
		return err
	}
	if err := freezer.store.Commit(ctx, ticket, next); err != nil {
		return err
	}
	freezer.opened = 0
	freezer.metrics.reported.Inc()
	freezer.prune(ctx, after)
	return nil
}

// prune deletes the rows of windows that are no longer kept, once for every
// batch of them.
func (freezer *Freezer) prune(ctx context.Context, head head) {
	const batch = 32
	oldest := head.Reported - freezer.settings.keep
	if head.Reported%batch != 0 {
		return
	}
	var writes []table.Write
	for _, prefix := range []string{windowPrefix, ticketPrefix} {
		rows, err := freezer.store.List(ctx, prefix, "", 2*batch)
		if err != nil {
			return
		}
		for _, row := range rows {
			if row.Key < prefix+windowKey(oldest)[len(windowPrefix):] {
				writes = append(writes, table.Write{Key: row.Key, Version: row.Version, Delete: true})
			}
		}
	}
	if len(writes) == 0 {
		return
	}
	if err := freezer.store.Commit(ctx, writes...); err != nil {
		freezer.settings.logger.Warn().Err(err).Msg("cannot delete old windows")
	}
}
