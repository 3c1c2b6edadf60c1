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

// settingsPollInterval is the interval at which the settings file is polled,
// because it may change without a signal.
const settingsPollInterval = time.Second

// watchSettings reloads the settings file when it changes or SIGHUP arrives,
// and returns the settings that are valid last when another signal asks the process to stop.
func watchSettings(path string, settings site.Settings, signals <-chan os.Signal, logger zerolog.Logger) site.Settings {
	logger = logger.With().Str("part", "mangopierd").Logger()
	content, _ := os.ReadFile(path) // read at startup already; an error here shows at the next poll
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return settings
			}
			signaled = true
		case <-ticker.C:
		}
		latest, err := os.ReadFile(path)
		if err != nil {
			logger.Warn().Err(err).Msg("cannot read the settings file; keeping the previous settings")
			continue
		}
		if !signaled && bytes.Equal(latest, content) {
			continue
		}
		reloadSettings(latest, &settings, signaled, logger)
		content = latest
	}
}

// reloadSettings validates the content of the settings file and logs the result.
// Of new settings only the grace period of a stop takes effect: the process keeps the
// addresses and names that it started with.
func reloadSettings(content []byte, settings *site.Settings, signaled bool, logger zerolog.Logger) {
	next, err := platform.DecodeSettings(content)
	if err != nil {
		logger.Error().Err(err).Bool("signaled", signaled).Msg("invalid settings file; keeping the previous settings")
		return
	}
	next.MetricsPort = settings.MetricsPort // may come from the command line
	logger.Info().Bool("signaled", signaled).Bool("differ", next != *settings).Msg("settings reloaded")
	*settings = next
}
