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
	ListenAddress string        `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"address of the first entry instance, port 0 for any"`
	Duration      time.Duration `long:"for" value-name:"DURATION" description:"end by itself after this time"`
	LogLevel      string        `long:"log-level" default:"info" value-name:"LEVEL" description:"debug, info, warn or error"`
}

const (
	demoStartTimeout = 20 * time.Second
	// demoDrainTimeout bounds the drain of requests in flight at shutdown; those
	// that are left are aborted.
	demoDrainTimeout = 20 * time.Second
)

// Execute runs a whole system in this process until SIGTERM, SIGINT or the end
// of the given duration.
func (command *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	config := lab.DemoConfig()
	config.ListenAddress = command.ListenAddress
	config.Logger = newLogger(command.LogLevel)
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	system, err := lab.Start(startCtx, config)
	if err != nil {
		return code.Wrap(err, code.CommandInvalid, "demo")
	}
	defer system.Close()
	if err := printEndpoint(system); err != nil {
		return err
	}
	waitForStop(ctx, command.Duration)
	drainCtx, cancelDrain := context.WithTimeout(context.WithoutCancel(ctx), demoDrainTimeout)
	defer cancelDrain()
	aborted := system.Shutdown(drainCtx)
	config.Logger.Info().Str("part", "demo").Int64("cut", aborted).Msg("shutdown finished")
	return nil
}

// printEndpoint prints the addresses and keys of the running system as one line
// of JSON, which also signals that the system is ready.
func printEndpoint(system *lab.System) error {
	line, err := json.Marshal(system.Endpoint(), json.Deterministic(true))
	if err != nil {
		return code.Wrap(err, code.Internal, "encode ready line")
	}
	fmt.Println(string(line))
	return nil
}

// waitForStop returns when ctx is done or after duration. A duration of 0 or less
// means no limit.
func waitForStop(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		<-ctx.Done()
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
