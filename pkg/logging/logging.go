// Package logging sets up zerolog to write JSON lines at a level that can be
// changed at run time.
package logging

import (
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON lines to w. All loggers of the process
// share one level, see SetLevel.
func New(w io.Writer, instance string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldUnit = time.Millisecond
	return zerolog.New(w).With().Timestamp().Str("instance", instance).Logger()
}

// SetLevel changes the level of all loggers of the process. The name is debug,
// info, warn or error.
func SetLevel(name string) error {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return errors.Errorf("log level %q: expected debug, info, warn or error", name)
	}
	zerolog.SetGlobalLevel(level)
	return nil
}

// maxInfoLinesPerSecond is the rate limit of RateLimitInfo. It keeps the volume
// of the log bounded under overload.
const maxInfoLinesPerSecond = 100

// RateLimitInfo returns a logger that writes at most maxInfoLinesPerSecond lines
// per second at info level and drops the rest. Other levels are not limited.
func RateLimitInfo(log zerolog.Logger) zerolog.Logger {
	return log.Sample(zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{Burst: maxInfoLinesPerSecond, Period: time.Second}})
}
