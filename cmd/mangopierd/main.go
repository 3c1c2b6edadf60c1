// Command mangopierd runs one entry instance on the users' platform. It takes
// its settings from the file that the platform names, logs JSON to standard
// output, reloads on SIGHUP and when the file changes, and stops on SIGTERM
// without cutting a request.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/transport/node"
	"mangopier.example/mangopier/platform"
)

// version is set by the linker at a release.
var version = "development"

// Exit statuses of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

// memoryShare is the part of the instance's memory that the runtime aims to
// stay under; the rest is for the program itself and unread bytes.
const memoryShare = 0.6

// command is the command line.
type command struct {
	Settings string `long:"settings" env:"MANGOPIER_SETTINGS" value-name:"FILE" required:"true" description:"settings file of the platform, TOML"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of the log"`
	Metrics  int    `long:"metrics-port" value-name:"PORT" description:"port of the metrics; without it, the second of the internal ports"`
	Check    bool   `long:"check" description:"check the settings and end"`
	Version  bool   `long:"version" description:"print the version and end"`
}

func main() {
	// Before anything else, so that an early signal does not end the process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	os.Exit(run(os.Args[1:], signals))
}

func run(args []string, signals <-chan os.Signal) int {
	var command command
	parser := flags.NewNamedParser("mangopierd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err, command.Version)
	}
	if command.Version {
		fmt.Println(version)
		return 0
	}
	settings, err := platform.LoadSettings(command.Settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mangopierd: %s: %v\n", code.Of(err), err)
		return exitFailure
	}
	if command.Metrics > 0 {
		settings.MetricsPort = command.Metrics
	}
	if command.Check {
		fmt.Printf("the settings of instance %s are valid\n", settings.Instance)
		return 0
	}
	return serve(&command, settings, signals)
}

func usage(err error, versionAsked bool) int {
	var fault *flags.Error
	switch {
	case versionAsked:
		fmt.Println(version)
		return 0
	case errors.As(err, &fault) && fault.Type == flags.ErrHelp:
		fmt.Println(fault.Message)
		return 0
	default:
		fmt.Fprintf(os.Stderr, "mangopierd: %s: %v\n", code.CommandInvalid, err)
		return exitUsage
	}
}

func serve(command *command, settings site.Settings, signals <-chan os.Signal) int {
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	logger, closeLog := newLogger(command.LogLevel, settings.Instance)
	defer closeLog()
	instance := node.New(settings, platform.NewStore(settings.StoreAddress),
		platform.NewControl(settings.DutyAddress), platform.Wire{}, logger)
	logger.Info().Str("part", "mangopierd").Str("version", version).Str("data-center", settings.DataCenter).
		Bool("first-start", settings.FirstStart).Str("address", settings.FrontAddress).Int("metrics-port", settings.MetricsPort).Msg("start")
	if err := instance.Start(context.Background()); err != nil {
		logger.Error().Str("part", "mangopierd").Err(err).Int("code", int(code.Of(err))).Msg("instance does not start")
		return exitFailure
	}
	watch(command.Settings, settings, signals, logger)
	logger.Info().Str("part", "mangopierd").Msg("stop begins")
	cut := instance.Stop()
	logger.Info().Str("part", "mangopierd").Int64("cut", cut).Msg("stop ends")
	return 0
}
