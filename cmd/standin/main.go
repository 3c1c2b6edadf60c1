// Command standin serves one fake of an external system: the platform, a model
// engine or a plain service. It lets each part of a deployment run as a process of
// its own.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/jsonc"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/transport/fakes"
	"mangopier.example/mangopier/internal/transport/lab"
)

type options struct {
	ListenAddress string `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"address to serve on"`
}

type platformCommand struct {
	options
	Lists string `long:"lists" value-name:"FILE" description:"instances and targets of the platform's lists, JSON with comments"`
}

type engineCommand struct {
	options
	ID                  string        `long:"id" default:"engine-1" description:"ID of the engine"`
	Model               string        `long:"model" default:"layout" description:"model that it serves"`
	Version             string        `long:"model-version" default:"v1" description:"version of the model"`
	Role                string        `long:"role" default:"mixed" choice:"mixed" choice:"prefill" choice:"decode" description:"role"`
	PrefillTPS          float64       `long:"prefill-tps" default:"20000" description:"prompt tokens per second"`
	DecodeTPS           float64       `long:"decode-tps" default:"2000" description:"generated tokens per second"`
	Slots               int           `long:"slots" default:"32" description:"answers that run at once"`
	LoadReportAge       time.Duration `long:"load-lag" default:"200ms" description:"age of load reports"`
	IgnoresFencingToken bool          `long:"ignores-fence" description:"take orders whatever their fencing number"`
}

type serviceCommand struct {
	options
	CallDuration time.Duration `long:"delay" default:"2ms" description:"time that a call takes"`
}

func main() {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range []struct {
		name, text string
		data       any
	}{
		{"platform", "Serve a platform", &platformCommand{}},
		{"engine", "Serve a model engine", &engineCommand{}},
		{"service", "Serve a plain service", &serviceCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.text, command.text+".", command.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	_, err := parser.Parse()
	var flagsError *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(flagsError.Message)
	default:
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

// platformLists is the content of the file that --lists names.
type platformLists struct {
	Instances []infra.Instance `json:"instances"`
	Targets   []infra.Target   `json:"targets"`
}

// Execute serves a fake platform.
func (command *platformCommand) Execute([]string) error {
	platform := fakes.NewPlatform()
	if command.Lists != "" {
		data, err := os.ReadFile(command.Lists)
		if err != nil {
			return code.Wrap(err, code.CommandInvalid, "lists")
		}
		var lists platformLists
		if err := jsonc.Decode(data, &lists); err != nil {
			return code.Wrap(err, code.CommandInvalid, "lists")
		}
		for _, instance := range lists.Instances {
			platform.SetInstance(instance)
		}
		for _, target := range lists.Targets {
			platform.SetTarget(target)
		}
	}
	return serve(command.ListenAddress, platform.Handler())
}

// Execute serves a fake model engine.
func (command *engineCommand) Execute([]string) error {
	config := lab.StandardEngineConfig(command.ID, command.Model)
	config.Models = lab.LoadedModels(command.Model, command.Version)
	config.Role = note.Role(command.Role)
	config.PrefillTPS, config.DecodeTPS = command.PrefillTPS, command.DecodeTPS
	config.Slots, config.LoadReportAge = command.Slots, command.LoadReportAge
	config.IgnoresFencingToken = command.IgnoresFencingToken
	return serve(command.ListenAddress, fakes.NewEngine(config).Handler())
}

// Execute serves a fake plain service.
func (command *serviceCommand) Execute([]string) error {
	service := &fakes.Service{CallDuration: command.CallDuration}
	return serve(command.ListenAddress, service.Handler())
}

// serve prints the address that it listens on and serves until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server, err := fakes.Listen(address, handler)
	if err != nil {
		return code.Wrap(err, code.CommandInvalid, "listen")
	}
	fmt.Println(server.Address())
	<-ctx.Done()
	server.Close()
	return server.Err()
}
