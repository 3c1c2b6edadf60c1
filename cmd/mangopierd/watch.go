package main

import (
	"bytes"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/platform"
)

// settingsLook is the time between looks at the settings file, which may
// change without a signal.
const settingsLook = time.Second

// watch follows the settings file until a signal asks the process to stop.
func watch(path string, settings site.Settings, signals <-chan os.Signal, logger zerolog.Logger) {
	logger = logger.With().Str("part", "mangopierd").Logger()
	content, _ := os.ReadFile(path) // read once already, so that a failure shows at the next look
	ticker := time.NewTicker(settingsLook)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
			signaled = true
		case <-ticker.C:
		}
		changed, err := os.ReadFile(path)
		if err != nil {
			logger.Warn().Err(err).Msg("settings cannot be read; the last ones stay")
			continue
		}
		if !signaled && bytes.Equal(changed, content) {
			continue
		}
		reload(changed, &settings, signaled, logger)
		content = changed
	}
}

// reload checks changed settings. Addresses and names are those of the process
// for its life; what else differs is logged.
func reload(content []byte, settings *site.Settings, signaled bool, logger zerolog.Logger) {
	next, err := platform.DecodeSettings(content)
	if err != nil {
		logger.Error().Err(err).Bool("signaled", signaled).Msg("settings are not valid; the last ones stay")
		return
	}
	next.MetricsPort = settings.MetricsPort // may come from the command line
	logger.Info().Bool("signaled", signaled).Bool("differ", next != *settings).Msg("settings reloaded")
	*settings = next
}
