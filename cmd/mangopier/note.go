package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"mangopier.example/mangopier/internal/coordination/feed"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/jsonc"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/transport/peer"
	"mangopier.example/mangopier/internal/transport/plat"
)

func addNoteCommands(parser *flags.Parser) error {
	group, err := parser.AddCommand("note", "Publish release notes and read what became of them",
		"Publishes release notes and reads what became of them.", &struct{}{})
	if err != nil {
		return err
	}
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"publish", "Publish the next release note", "Publishes a release note. It follows the note that its field after names.", &notePublishCommand{}},
		{"status", "Show what is in force where", "Shows the note in force at each instance, and per target what was done and what is still to do.", &noteStatusCommand{}},
		{"check", "Check a release note", "Checks a release note against the one in force, or by itself without --platform.", &noteCheckCommand{}},
	}
	for _, command := range commands {
		if _, err := group.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return err
		}
	}
	return nil
}

// platformOption is the flag shared by the commands that call the platform.
type platformOption struct {
	PlatformAddress string `long:"platform" required:"true" value-name:"IP:PORT" description:"the platform's interfaces"`
}

const noteCommandTimeout = 20 * time.Second

type notePublishCommand struct {
	platformOption
	Args struct {
		File string `positional-arg-name:"FILE" description:"release note, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes a release note.
func (command *notePublishCommand) Execute([]string) error {
	candidate, err := readNote(command.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteCommandTimeout)
	defer cancel()
	number, err := feed.Publish(ctx, plat.NewClient(command.PlatformAddress), candidate)
	if err != nil {
		return err
	}
	fmt.Printf("release note %d is accepted\n", number)
	return nil
}

type noteCheckCommand struct {
	PlatformAddress string `long:"platform" value-name:"IP:PORT" description:"check against the note in force there"`
	Args            struct {
		File string `positional-arg-name:"FILE" description:"release note, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a release note without publishing it.
func (command *noteCheckCommand) Execute([]string) error {
	candidate, err := readNote(command.Args.File)
	if err != nil {
		return err
	}
	catalog := note.EmptyCatalog()
	if command.PlatformAddress != "" {
		ctx, cancel := context.WithTimeout(context.Background(), noteCommandTimeout)
		defer cancel()
		if catalog, err = feed.LoadCatalog(ctx, plat.NewClient(command.PlatformAddress)); err != nil {
			return err
		}
	} else if candidate.ParentNumber != 0 {
		fmt.Println("the release note can be read; what it leads to depends on the notes before it")
		return nil
	}
	next, err := catalog.Apply(candidate)
	if err != nil {
		return err
	}
	fmt.Printf("the release note is valid and would become number %d\n", next.Number)
	return nil
}

func readNote(path string) (*note.Note, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, code.Wrap(err, code.NoteInvalid, "read release note")
	}
	candidate, err := note.Decode(data)
	var decodeError *jsonc.Error
	if errors.As(err, &decodeError) {
		return nil, code.Errorf(code.NoteInvalid, "%s: %w", path, decodeError)
	}
	return candidate, err
}

type noteStatusCommand struct {
	platformOption
}

// Execute prints the newest accepted release note, the note in force at each
// instance and the state of each target.
func (command *noteStatusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), noteCommandTimeout)
	defer cancel()
	platform := plat.NewClient(command.PlatformAddress)
	catalog, err := feed.LoadCatalog(ctx, platform)
	if err != nil {
		return err
	}
	fmt.Printf("accepted: release note %d\n\n", catalog.Number)
	instances, err := platform.ListInstances(ctx)
	if err != nil {
		return err
	}
	statuses := fetchStatuses(ctx, instances)
	printInstances(os.Stdout, instances, statuses, catalog.Number)
	return printTargets(ctx, os.Stdout, platform, catalog)
}

// instanceStatus is the reply of an instance, or the error of the call.
type instanceStatus struct {
	reply *peerpb.StatusReply
	err   error
}

// maxParallelCalls bounds the concurrent status calls.
const maxParallelCalls = 32

func fetchStatuses(ctx context.Context, instances []infra.Instance) []instanceStatus {
	client := peer.NewClient()
	defer client.Close()
	statuses := make([]instanceStatus, len(instances))
	slots := make(chan struct{}, maxParallelCalls)
	var group sync.WaitGroup
	for i, instance := range instances {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			reply, err := client.Status(ctx, instance.PeerAddress)
			statuses[i] = instanceStatus{reply: reply, err: err}
		})
	}
	group.Wait()
	return statuses
}

func printInstances(w io.Writer, instances []infra.Instance, statuses []instanceStatus, accepted uint64) {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = out.Flush() }()
	_, _ = fmt.Fprintln(out, "INSTANCE\tDATA CENTER\tNOTE\tSTATE\tIN FLIGHT\tMEMBERS")
	for i, instance := range instances {
		status := statuses[i]
		if status.err != nil {
			_, _ = fmt.Fprintf(out, "%s\t%s\t-\tno answer (%s)\t-\t-\n", instance.ID, instance.DataCenter, instance.Lifecycle)
			continue
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%d\t%d\n", instance.ID, instance.DataCenter,
			status.reply.GetNumber(), noteState(status.reply, accepted), status.reply.GetInFlight(), status.reply.GetMembers())
	}
}

func noteState(reply *peerpb.StatusReply, accepted uint64) string {
	switch {
	case !reply.GetServing():
		return "refuses: " + reply.GetRefusal()
	case reply.GetNumber() < accepted:
		return "behind"
	default:
		return "in force"
	}
}
