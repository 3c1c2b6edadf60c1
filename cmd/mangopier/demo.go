package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/lab"
)

type demoCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"address of the first entry instance, port 0 for any"`
	For      time.Duration `long:"for" value-name:"DURATION" description:"end by itself after this time"`
	LogLevel string        `long:"log-level" default:"info" value-name:"LEVEL" description:"debug, info, warn or error"`
}

const (
	demoStartTimeout = 20 * time.Second
	// demoGrace is how long requests in flight may take to end, after which
	// they are cut.
	demoGrace = 20 * time.Second
)

// Execute runs a whole system until a signal or the given time ends it.
func (command *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	plan := lab.Demo()
	plan.Listen = command.Listen
	plan.Logger = newLogger(command.LogLevel)
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	running, err := lab.Start(startCtx, plan)
	if err != nil {
		return code.Wrap(err, code.CommandInvalid, "demo")
	}
	defer running.Close()
	if err := printReady(running); err != nil {
		return err
	}
	awaitEnd(ctx, command.For)
	graceCtx, cancelGrace := context.WithTimeout(context.WithoutCancel(ctx), demoGrace)
	defer cancelGrace()
	cut := running.Shutdown(graceCtx)
	plan.Logger.Info().Str("part", "demo").Int64("cut", cut).Msg("stop ends")
	return nil
}

// printReady prints the line that tells that the demo is ready.
func printReady(running *lab.Lab) error {
	line, err := json.Marshal(running.Endpoint(), json.Deterministic(true))
	if err != nil {
		return code.Wrap(err, code.Internal, "encode ready line")
	}
	fmt.Println(string(line))
	return nil
}

// awaitEnd returns when ctx ends or, where a time is given, after that time.
func awaitEnd(ctx context.Context, after time.Duration) {
	if after <= 0 {
		<-ctx.Done()
		return
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
