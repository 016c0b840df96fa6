package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/logging"
	"mangostand.example/mangostand/pkg/meshnode"
	"mangostand.example/mangostand/pkg/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes that are not followed by SIGHUP.
const settingsPollInterval = 2 * time.Second

// runPlatformNode runs a node on the deployment platform (see package platform).
func runPlatformNode(file string) int {
	s, problems := settings.LoadMeshNode(file)
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, p)
		}
		return exitInvalidSettings
	}
	stream := logging.NewAsyncWriter(os.Stdout)
	defer func() { _ = stream.Close() }()
	log := logging.New(stream, s.Instance)
	if err := logging.SetLevel(s.LogLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	n, err := meshnode.New(s, log)
	if err != nil {
		log.Error().Err(err).Str("event", "start_failed").Msg("node cannot start")
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go watchSettings(ctx, file, log)
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Str("event", "node_failed").Msg("node failed")
		return exitFailure
	}
	return 0
}

// watchSettings reloads the settings on SIGHUP and when the file has changed. Only
// the log level is applied to a running node; the addresses are fixed by the
// instance that it runs on.
func watchSettings(ctx context.Context, file string, log zerolog.Logger) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	lastModified := modificationTime(file)
	go control.Every(ctx, settingsPollInterval, func(time.Time) {
		if modTime := modificationTime(file); !modTime.Equal(lastModified) {
			lastModified = modTime
			select {
			case reloadSignals <- syscall.SIGHUP:
			default:
			}
		}
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			reloadSettings(file, log)
		}
	}
}

// modificationTime returns the zero time if the file cannot be accessed.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings applies the log level, or keeps the current one if the settings
// are invalid.
func reloadSettings(file string, log zerolog.Logger) {
	s, problems := settings.LoadMeshNode(file)
	if len(problems) > 0 {
		for _, p := range problems {
			log.Error().Err(p).Str("event", "reload_refused").Msg("invalid settings, keeping the current ones")
		}
		return
	}
	if err := logging.SetLevel(s.LogLevel); err != nil {
		log.Error().Err(err).Str("event", "reload_refused").Send()
		return
	}
	log.Info().Str("event", "reload").Str("log_level", s.LogLevel).Send()
}
