package main

import (
	"os"

	"github.com/rs/zerolog"
)

// newLogger logs to standard error, since standard output is for results.
func newLogger(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()
}
