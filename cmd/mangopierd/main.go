// Command mangopierd runs one entry instance on the users' platform. It reads
// its settings from the file that the platform names and logs JSON to standard
// output. On SIGHUP, and when the settings file changes, it checks the file
// again. On SIGTERM and SIGINT it drains its requests and exits.
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

// version is set by the linker in release builds.
var version = "development"

// buildName returns the version, and the commit that the program was built from if it
// is known.
func buildName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return version + "-" + setting.Value[:min(len(setting.Value), revisionLength)]
		}
	}
	return version
}

// revisionLength is how much of a commit's hash names it.
const revisionLength = 12

// Exit statuses of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

// memoryLimitRatio is the fraction of the process's memory limit that becomes
// the soft memory limit of the Go runtime. The rest is for the program's code
// and for data that has arrived but was not read yet.
const memoryLimitRatio = 0.6

// options holds the command-line flags.
type options struct {
	Settings string `long:"settings" env:"MANGOPIER_SETTINGS" value-name:"FILE" required:"true" description:"settings file of the platform, TOML"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of the log"`
	Metrics  int    `long:"metrics-port" value-name:"PORT" description:"port of the metrics; without it, the second of the internal ports"`
	Check    bool   `long:"check" description:"check the settings and end"`
	Version  bool   `long:"version" description:"print the version and end"`
}

func main() {
	// Comes first, so that an early signal does not kill the process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	os.Exit(run(os.Args[1:], signals))
}

func run(args []string, signals <-chan os.Signal) int {
	var options options
	parser := flags.NewNamedParser("mangopierd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return handleParseError(err, options.Version)
	}
	if options.Version {
		fmt.Println(version)
		return 0
	}
	settings, err := platform.LoadSettings(options.Settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mangopierd: %s: %v\n", code.FromError(err), err)
		return exitFailure
	}
	if options.Metrics > 0 {
		settings.MetricsPort = options.Metrics
	}
	if options.Check {
		fmt.Printf("the settings of instance %s are valid\n", settings.Instance)
		return 0
	}
	return serve(&options, settings, signals)
}

// handleParseError handles a failed parse of the command line and returns the
// exit status. The version and the help are printed even if a required flag is
// missing.
func handleParseError(err error, versionRequested bool) int {
	var flagsError *flags.Error
	switch {
	case versionRequested:
		fmt.Println(version)
		return 0
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(flagsError.Message)
		return 0
	default:
		fmt.Fprintf(os.Stderr, "mangopierd: %s: %v\n", code.CommandInvalid, err)
		return exitUsage
	}
}

func serve(options *options, settings site.Settings, signals <-chan os.Signal) int {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	logger, logWriter, closeLog := newLogger(options.LogLevel, settings.Instance)
	defer closeLog()
	instance := node.New(settings, platform.NewStore(settings.StoreAddress),
		platform.NewControl(settings.ControlAddress), platform.Codec{}, logger, node.WithBuild(buildName()), node.WithCollector(logWriter))
	logger.Info().Str("part", "mangopierd").Str("version", buildName()).Strs("abilities", node.Abilities()).Str("data-center", settings.DataCenter).
		Bool("first-start", settings.Bootstrap).Str("address", settings.ListenAddress).Int("metrics-port", settings.MetricsPort).Msg("starting the instance")
	if err := instance.Start(context.Background()); err != nil {
		logger.Error().Str("part", "mangopierd").Err(err).Int("code", int(code.FromError(err))).Msg("cannot start the instance")
		return exitFailure
	}
	watchSettings(options.Settings, settings, signals, logger)
	logger.Info().Str("part", "mangopierd").Msg("shutdown started")
	cut := instance.Stop()
	logger.Info().Str("part", "mangopierd").Int64("cut", cut).Msg("shutdown finished")
	return 0
}
