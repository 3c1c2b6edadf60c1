// Command mangopier runs entry instances, which forward requests to model engines
// and plain services. It also publishes and inspects release notes, checks
// settings, and runs demos and benchmarks on fakes of the external systems.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"mangopier.example/mangopier/internal/protocol/code"
)

// version is set by the linker in release builds.
var version = "development"

// Exit statuses of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flags.NewNamedParser("mangopier", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serves language models and their companion services on a limited fleet."
	if err := addCommands(parser); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	_, err := parser.ParseArgs(args)
	return exitStatus(err)
}

// exitStatus prints err and returns the exit status of the program: exitUsage for
// an invalid command line, exitFailure for a command that failed.
func exitStatus(err error) int {
	if err == nil {
		return 0
	}
	var flagsError *flags.Error
	if !errors.As(err, &flagsError) {
		fmt.Fprintf(os.Stderr, "mangopier: %s: %v\n", code.FromError(err), err)
		return exitFailure
	}
	if flagsError.Type == flags.ErrHelp {
		fmt.Println(flagsError.Message)
		return 0
	}
	fmt.Fprintf(os.Stderr, "mangopier: %s: %v\n", code.CommandInvalid, flagsError)
	return exitUsage
}

func addCommands(parser *flags.Parser) error {
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run one entry instance", "Runs one entry instance until it is told to stop by SIGTERM or SIGINT.", &serveCommand{}},
		{"demo", "Run a whole system on loopback", "Runs a stand-in platform, stand-in targets and entry instances in this process.", &demoCommand{}},
		{"bench", "Run an experiment", "Runs an experiment on stand-ins in this process, or drives a running demo.", &benchCommand{}},
		{"version", "Print the version", "Prints the version.", &versionCommand{}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return err
		}
	}
	if err := addNoteCommands(parser); err != nil {
		return err
	}
	return addSettingsCommands(parser)
}

type versionCommand struct{}

// Execute prints the version.
func (*versionCommand) Execute([]string) error {
	fmt.Println(version)
	return nil
}
