package board

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/pacing"
)

// Link follows what goes out on the link of this machine.
type Link struct {
	// Rate is the rate to plan with in bytes per second, 0 when not known.
	Rate float64

	started time.Time
	// free is when the link is free, as a time since started.
	free atomic.Int64
	// owed counts the bytes of answers that are under way or expected.
	owed atomic.Int64
}

// NewLink returns an idle link.
func NewLink(rate float64) *Link { return &Link{Rate: rate, started: time.Now()} }

// Reserve takes the link for bytes and returns how long they have to wait.
func (l *Link) Reserve(bytes int, now time.Time) time.Duration {
	at := now.Sub(l.started)
	for {
		old := l.free.Load()
		start, next := pacing.Reserve(time.Duration(old), at, int64(bytes), l.Rate)
		if l.free.CompareAndSwap(old, int64(next)) {
			return start - at
		}
	}
}

// Owe adds bytes that will go out; a negative number removes them.
func (l *Link) Owe(bytes int64) { l.owed.Add(bytes) }

// Backlog returns how long the link is busy with what is reserved and owed.
func (l *Link) Backlog(now time.Time) time.Duration {
	reserved := time.Duration(l.free.Load()) - now.Sub(l.started)
	return max(0, reserved) + pacing.TransferTime(l.owed.Load(), l.Rate)
}
