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

// settingsPoll spaces the looks at the settings file, which may change without
// a signal.
const settingsPoll = 2 * time.Second

// runPlatform runs a node on the users' platform.
func runPlatform(file string) int {
	s, problems := settings.LoadMeshNode(file)
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, p)
		}
		return exitBadSettings
	}
	stream := logging.NewAsyncWriter(os.Stdout)
	defer func() { _ = stream.Close() }()
	log := logging.New(stream, s.Instance)
	if err := logging.SetLevel(s.LogLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	n, err := meshnode.New(s, log)
	if err != nil {
		log.Error().Err(err).Str("event", "start_failed").Msg("node cannot start")
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go reloadSettings(ctx, file, log)
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Str("event", "node_failed").Msg("node failed")
		return exitFailure
	}
	return 0
}

// reloadSettings reads the settings again after SIGHUP and when the file has
// changed. Only the log level can change in a running node; the addresses are
// those of the machine.
func reloadSettings(ctx context.Context, file string, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	modified := modifiedAt(file)
	go control.Every(ctx, settingsPoll, func(time.Time) {
		if at := modifiedAt(file); !at.Equal(modified) {
			modified = at
			select {
			case hangups <- syscall.SIGHUP:
			default:
			}
		}
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reload(file, log)
		}
	}
}

func modifiedAt(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(file string, log zerolog.Logger) {
	s, problems := settings.LoadMeshNode(file)
	if len(problems) > 0 {
		for _, p := range problems {
			log.Error().Err(p).Str("event", "reload_refused").Msg("settings not understood, those in force stay")
		}
		return
	}
	if err := logging.SetLevel(s.LogLevel); err != nil {
		log.Error().Err(err).Str("event", "reload_refused").Send()
		return
	}
	log.Info().Str("event", "reload").Str("log_level", s.LogLevel).Send()
}
