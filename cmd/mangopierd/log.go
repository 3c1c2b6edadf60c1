package main

import (
	"os"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBufferLines is the number of log lines that are buffered for a slow
// reader of standard output; beyond it the oldest are dropped.
const logBufferLines = 4096

// newLogger returns a logger that never blocks on its reader, and a function
// that flushes it. An unknown level means info.
func newLogger(level, instance string) (zerolog.Logger, func()) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	writer := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) {
		_, _ = os.Stderr.WriteString("log lines were dropped\n")
	})
	logger := zerolog.New(writer).Level(parsed).With().Timestamp().Str("instance", instance).Logger()
	return logger, func() { _ = writer.Close() }
}
