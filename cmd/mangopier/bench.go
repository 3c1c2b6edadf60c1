package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/bench"
	"mangopier.example/mangopier/internal/transport/lab"
)

type benchCommand struct {
	List     bool          `long:"list" description:"name the scenarios"`
	Scenario string        `long:"scenario" value-name:"NAME" description:"scenario to run"`
	Seeds    int           `long:"seeds" default:"3" value-name:"N" description:"run each variant with the seeds 1 to N"`
	Duration time.Duration `long:"for" value-name:"DURATION" description:"duration of a workload instead of the scenario's own"`
	Endpoint string        `long:"endpoint" value-name:"FILE" description:"drive the running demo whose ready line the file holds"`
	JSON     bool          `long:"json" description:"print JSON instead of a table"`
	Plot     string        `long:"plot" value-name:"FILE" description:"write a plot as PNG"`
}

// Execute runs a scenario and prints its measurements, or lists the scenarios.
func (command *benchCommand) Execute([]string) error {
	if command.List {
		for _, scenario := range bench.Scenarios() {
			fmt.Printf("%-20s %s\n", scenario.Name, scenario.Description)
		}
		return nil
	}
	scenario, ok := bench.FindScenario(command.Scenario)
	if !ok {
		return code.Errorf(code.CommandInvalid, "no scenario %q; --list names them", command.Scenario)
	}
	opts, err := command.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := bench.Run(ctx, scenario, opts...)
	if err != nil {
		return err
	}
	return command.write(result)
}

func (command *benchCommand) options() ([]bench.Option, error) {
	if command.Seeds < 1 {
		return nil, code.Errorf(code.CommandInvalid, "%d seeds", command.Seeds)
	}
	var seeds []uint64
	for seed := range command.Seeds {
		seeds = append(seeds, uint64(seed)+1)
	}
	opts := []bench.Option{bench.WithSeeds(seeds...), bench.WithProgress(os.Stderr), bench.WithLauncher(lab.Launcher{})}
	if command.Duration > 0 {
		opts = append(opts, bench.WithWorkloadDuration(command.Duration))
	}
	if command.Endpoint == "" {
		return opts, nil
	}
	data, err := os.ReadFile(command.Endpoint)
	if err != nil {
		return nil, code.Wrap(err, code.CommandInvalid, "endpoint")
	}
	var endpoint bench.Endpoint
	if err := json.Unmarshal(data, &endpoint); err != nil {
		return nil, code.Wrap(err, code.CommandInvalid, "endpoint")
	}
	return append(opts, bench.WithEndpoint(endpoint)), nil
}

func (command *benchCommand) write(result bench.Result) error {
	if command.Plot != "" {
		file, err := os.Create(command.Plot)
		if err != nil {
			return code.Wrap(err, code.CommandInvalid, "plot")
		}
		defer func() { _ = file.Close() }()
		if err := result.WritePlot(file); err != nil {
			return err
		}
	}
	if command.JSON {
		return result.WriteJSON(os.Stdout)
	}
	return result.WriteTable(os.Stdout)
}
