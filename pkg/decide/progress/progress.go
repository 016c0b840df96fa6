// Package progress decides when a response that is being passed on has stopped. A
// response may last as long as it flows, so the bound is on the progress and not on the
// length. All functions are pure.
package progress

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/pacing"
)

const (
	// Window is the time in which a response makes progress. A packet that is lost once
	// is sent again within 200 ms. With CheckInterval and the way to the caller, a
	// response that has stopped ends within half a second.
	Window = 300 * time.Millisecond
	// MinBytes is the progress in a Window: one piece in which nodes send responses. 80
	// responses that share a link of 10 Mbit/s still get more each. A slower sender does
	// not end in any useful time.
	MinBytes = pacing.ChunkBytes
	// CheckInterval is the time between two observations. A longer interval counts as
	// maxInterval: the process was paused and could not receive either.
	CheckInterval = 60 * time.Millisecond
	maxInterval   = Window / 2
)

// Meter measures the progress of one response. The zero value is that of a response that
// has just begun.
type Meter struct {
	// waited is the time for which the reader has waited for bytes, and received the
	// bytes that have arrived, since the last progress.
	waited   time.Duration
	received int64
}

// Observe returns the meter after an interval in which bytes arrived. waiting is true if
// the reader waits for further bytes. An interval in which it does not, because it paces
// the response or its own reader is slow, does not count.
func (m Meter) Observe(interval time.Duration, bytes int64, waiting bool) Meter {
	m.received += bytes
	if m.received >= MinBytes {
		return Meter{}
	}
	if waiting {
		m.waited += min(interval, maxInterval)
	}
	return m
}

// Stalled reports whether the response has made no progress in a Window.
func (m Meter) Stalled() bool { return m.waited >= Window }

// FirstCheck returns how long before the deadline of a response its observation begins,
// so that one which has stopped before ends at the deadline.
func FirstCheck() time.Duration { return Window + CheckInterval }
