package main

import (
	"os"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logLines is how many lines wait for a slow reader of standard output before
// the oldest are dropped.
const logLines = 4096

// newLogger returns a logger that never waits for its reader, and a function
// that writes out what is left.
func newLogger(level, instance string) (zerolog.Logger, func()) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	writer := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) {
		_, _ = os.Stderr.WriteString("log lines were dropped\n")
	})
	logger := zerolog.New(writer).Level(parsed).With().Timestamp().Str("instance", instance).Logger()
	return logger, func() { _ = writer.Close() }
}
