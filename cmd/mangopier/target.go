package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/order"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/back"
	"mangopier.example/mangopier/internal/transport/plat"
)

const (
	orderKeyPrefix = "order/"
	rowsPerPage    = 500
)

// printTargets prints one line per target: its reported load and its last order.
func printTargets(ctx context.Context, w io.Writer, platform *plat.Client, catalog *note.Catalog) error {
	tickets, err := listTickets(ctx, platform)
	if err != nil {
		return err
	}
	client := back.New()
	defer client.Close()
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "\nTARGET\tDATA CENTER\tREPORTS\tORDER\tSTATE\tOUTCOME")
	targets := listTargets(ctx, platform, catalog)
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		target := targets[id]
		ticket := tickets[id]
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n", id, target.DataCenter, describeLoad(ctx, client, target),
			orDash(string(ticket.Order.Kind)), orDash(string(ticket.State)), orDash(string(ticket.Outcome)))
	}
	return out.Flush()
}

// listTargets returns the targets of the catalog and, unless the platform lists
// them as ended, the withdrawn ones and those that the platform started for the
// fleet. If the platform's list cannot be read, it is taken as empty.
func listTargets(ctx context.Context, platform *plat.Client, catalog *note.Catalog) map[string]note.Target {
	targets := map[string]note.Target{}
	for id, withdrawn := range catalog.WithdrawnTargets {
		targets[id] = withdrawn.Target
	}
	listed, err := platform.ListTargets(ctx)
	if err != nil {
		listed = nil
	}
	for _, target := range listed {
		targets[target.ID] = target.Target
		if target.Lifecycle == infra.LifecycleEnded {
			delete(targets, target.ID)
		}
	}
	maps.Copy(targets, catalog.Targets)
	return targets
}

func describeLoad(ctx context.Context, client *back.Client, target note.Target) string {
	report, err := client.FetchLoad(ctx, target.Address)
	if err != nil {
		return "no answer"
	}
	text := string(report.Role)
	for _, model := range report.Models {
		text += " " + model.Name + "@" + model.Version
	}
	if report.Draining {
		text += " draining"
	}
	if report.OrderInProgress {
		text += " changing"
	}
	return orDash(text)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// listTickets returns the order tickets by target ID.
func listTickets(ctx context.Context, platform *plat.Client) (map[string]order.Ticket, error) {
	tickets := map[string]order.Ticket{}
	after := ""
	for {
		rows, err := platform.List(ctx, orderKeyPrefix, after, rowsPerPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var ticket order.Ticket
			if err := json.Unmarshal(row.Value, &ticket); err != nil {
				return nil, code.Wrap(err, code.RowMalformed, row.Key)
			}
			tickets[ticket.Target.ID] = ticket
			after = row.Key
		}
		if len(rows) < rowsPerPage {
			return tickets, nil
		}
	}
}
