package main

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/transport/logs"
)

// logFlushTimeout bounds the wait for the reader of the log at the end of the
// process.
const logFlushTimeout = 200 * time.Millisecond

// newLogger returns a logger that never blocks on its reader, the writer behind it,
// and a function that flushes it. An unknown level means info.
func newLogger(level, instance string) (zerolog.Logger, *logs.Writer, func()) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	writer := logs.New(os.Stdout, logs.WithInstance(instance))
	logger := zerolog.New(writer).Level(parsed).With().Timestamp().Str("instance", instance).Logger()
	return logger, writer, func() {
		ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		writer.Close(ctx)
	}
}
