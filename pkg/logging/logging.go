// Package logging sets up zerolog: JSON lines with a level that can change at
// run time.
package logging

import (
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON lines to w. The level is global to the
// process, see SetLevel.
func New(w io.Writer, instance string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldUnit = time.Millisecond
	return zerolog.New(w).With().Timestamp().Str("instance", instance).Logger()
}

// SetLevel changes the level of all loggers: debug, info, warn or error.
func SetLevel(word string) error {
	level, err := zerolog.ParseLevel(word)
	if err != nil || word == "" {
		return errors.Errorf("log level %q: expected debug, info, warn or error", word)
	}
	zerolog.SetGlobalLevel(level)
	return nil
}

// infoBurst is the most info lines per second of a sampled logger; an overload
// must not turn into a flood of lines.
const infoBurst = 100

// RateLimitInfo returns a logger that writes at most 100 lines per second at info
// level. Other levels are not limited.
func RateLimitInfo(log zerolog.Logger) zerolog.Logger {
	return log.Sample(zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{Burst: infoBurst, Period: time.Second}})
}
