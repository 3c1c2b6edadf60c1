package main

import (
	"os"

	"github.com/rs/zerolog"
)

// newLogger returns a logger that writes to standard error, because standard
// output carries the results of commands. An unknown level means info.
func newLogger(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()
}
