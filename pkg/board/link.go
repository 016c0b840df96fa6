package board

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/pacing"
)

// LinkPacer follows what goes out on the link of this machine.
type LinkPacer struct {
	// Rate is the rate to plan with in bytes per second, 0 when not known.
	Rate float64

	started time.Time
	// free is when the link is free, as a time since started.
	free atomic.Int64
	// owed counts the bytes of answers that are under way or expected.
	owed atomic.Int64
}

// NewLinkPacer returns an idle link.
func NewLinkPacer(rate float64) *LinkPacer { return &LinkPacer{Rate: rate, started: time.Now()} }

// Reserve takes the link for bytes and returns how long they have to wait.
func (l *LinkPacer) Reserve(bytes int, now time.Time) time.Duration {
	at := now.Sub(l.started)
	for {
		old := l.free.Load()
		start, next := pacing.Reserve(time.Duration(old), at, int64(bytes), l.Rate)
		if l.free.CompareAndSwap(old, int64(next)) {
			return start - at
		}
	}
}

// AddPending adds bytes that will go out; a negative number removes them.
func (l *LinkPacer) AddPending(bytes int64) { l.owed.Add(bytes) }

// Backlog returns how long the link is busy with what is reserved and owed.
func (l *LinkPacer) Backlog(now time.Time) time.Duration {
	reserved := time.Duration(l.free.Load()) - now.Sub(l.started)
	return max(0, reserved) + pacing.TransferTime(l.owed.Load(), l.Rate)
}
