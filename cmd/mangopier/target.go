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
	orderPrefix = "order/"
	pageRows    = 500
)

// printTargets shows per target the state that it reports and its last order.
func printTargets(ctx context.Context, w io.Writer, platform *plat.Client, catalog *note.Catalog) error {
	tickets, err := readTickets(ctx, platform)
	if err != nil {
		return err
	}
	client := back.New()
	defer client.Close()
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "\nTARGET\tDATA CENTER\tREPORTS\tORDER\tSTATE\tOUTCOME")
	targets := allTargets(ctx, platform, catalog)
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		target := targets[id]
		ticket := tickets[id]
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n", id, target.DataCenter, reported(ctx, client, target),
			orDash(string(ticket.Order.Kind)), orDash(string(ticket.State)), orDash(string(ticket.Outcome)))
	}
	return out.Flush()
}

// allTargets returns the targets of the catalog, those that it withdrew and
// those that the system ordered, as far as the platform lists them as not
// ended.
func allTargets(ctx context.Context, platform *plat.Client, catalog *note.Catalog) map[string]note.Target {
	targets := map[string]note.Target{}
	for id, gone := range catalog.WithdrawnTargets {
		targets[id] = gone.Target
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

func reported(ctx context.Context, client *back.Client, target note.Target) string {
	load, err := client.FetchLoad(ctx, target.Address)
	if err != nil {
		return "no answer"
	}
	text := string(load.Role)
	for _, model := range load.Models {
		text += " " + model.Name + "@" + model.Version
	}
	if load.Draining {
		text += " draining"
	}
	if load.OrderInProgress {
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

// readTickets returns the tickets by target.
func readTickets(ctx context.Context, platform *plat.Client) (map[string]order.Ticket, error) {
	tickets := map[string]order.Ticket{}
	after := ""
	for {
		rows, err := platform.List(ctx, orderPrefix, after, pageRows)
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
		if len(rows) < pageRows {
			return tickets, nil
		}
	}
}
