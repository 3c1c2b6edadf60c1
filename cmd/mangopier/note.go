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
		{"publish", "Publish the next release note", "Publishes a release note. It follows the note that its field after names.", &publishCommand{}},
		{"status", "Show what is in force where", "Shows the note in force at each instance, and per target what was done and what is still to do.", &statusCommand{}},
		{"check", "Check a release note", "Checks a release note against the one in force, or by itself without --platform.", &checkCommand{}},
	}
	for _, command := range commands {
		if _, err := group.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return err
		}
	}
	return nil
}

// platformOption names the platform's interfaces.
type platformOption struct {
	Platform string `long:"platform" required:"true" value-name:"IP:PORT" description:"the platform's interfaces"`
}

const noteTimeout = 20 * time.Second

type publishCommand struct {
	platformOption
	Args struct {
		File string `positional-arg-name:"FILE" description:"release note, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes a note.
func (command *publishCommand) Execute([]string) error {
	change, err := readNote(command.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	number, err := feed.Publish(ctx, plat.NewClient(command.Platform), change)
	if err != nil {
		return err
	}
	fmt.Printf("release note %d is accepted\n", number)
	return nil
}

type checkCommand struct {
	Platform string `long:"platform" value-name:"IP:PORT" description:"check against the note in force there"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"release note, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a note without publishing it.
func (command *checkCommand) Execute([]string) error {
	change, err := readNote(command.Args.File)
	if err != nil {
		return err
	}
	catalog := note.EmptyCatalog()
	if command.Platform != "" {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		if catalog, err = feed.LoadCatalog(ctx, plat.NewClient(command.Platform)); err != nil {
			return err
		}
	} else if change.ParentNumber != 0 {
		fmt.Println("the release note can be read; what it leads to depends on the notes before it")
		return nil
	}
	next, err := catalog.Apply(change)
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
	change, err := note.Decode(data)
	var fault *jsonc.Error
	if errors.As(err, &fault) {
		return nil, code.Errorf(code.NoteInvalid, "%s: %w", path, fault)
	}
	return change, err
}

type statusCommand struct {
	platformOption
}

// Execute prints the state of the notes, instances and targets.
func (command *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	platform := plat.NewClient(command.Platform)
	catalog, err := feed.LoadCatalog(ctx, platform)
	if err != nil {
		return err
	}
	fmt.Printf("accepted: release note %d\n\n", catalog.Number)
	instances, err := platform.ListInstances(ctx)
	if err != nil {
		return err
	}
	statuses := askInstances(ctx, instances)
	printInstances(os.Stdout, instances, statuses, catalog.Number)
	return printTargets(ctx, os.Stdout, platform, catalog)
}

// instanceStatus is an instance's answer or why there is none.
type instanceStatus struct {
	reply *peerpb.StatusReply
	err   error
}

// askParallel bounds the calls under way at once.
const askParallel = 32

func askInstances(ctx context.Context, instances []infra.Instance) []instanceStatus {
	client := peer.NewClient()
	defer client.Close()
	statuses := make([]instanceStatus, len(instances))
	places := make(chan struct{}, askParallel)
	var group sync.WaitGroup
	for i, instance := range instances {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
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
			status.reply.GetNumber(), stateOf(status.reply, accepted), status.reply.GetInFlight(), status.reply.GetMembers())
	}
}

func stateOf(reply *peerpb.StatusReply, accepted uint64) string {
	switch {
	case !reply.GetServing():
		return "refuses: " + reply.GetRefusal()
	case reply.GetNumber() < accepted:
		return "behind"
	default:
		return "in force"
	}
}
