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

	startedAt time.Time
	// busyUntil is when the link is busyUntil, as a time since started.
	busyUntil atomic.Int64
	// pendingBytes counts the bytes of answers that are under way or expected.
	pendingBytes atomic.Int64
}

// NewLinkPacer returns an idle link.
func NewLinkPacer(rate float64) *LinkPacer { return &LinkPacer{Rate: rate, startedAt: time.Now()} }

// Reserve takes the link for bytes and returns how long they have to wait.
func (l *LinkPacer) Reserve(bytes int, now time.Time) time.Duration {
	at := now.Sub(l.startedAt)
	for {
		old := l.busyUntil.Load()
		start, next := pacing.Reserve(time.Duration(old), at, int64(bytes), l.Rate)
		if l.busyUntil.CompareAndSwap(old, int64(next)) {
			return start - at
		}
	}
}

// AddPending adds bytes that will go out; a negative number removes them.
func (l *LinkPacer) AddPending(bytes int64) { l.pendingBytes.Add(bytes) }

// Backlog returns how long the link is busy with what is reserved and owed.
func (l *LinkPacer) Backlog(now time.Time) time.Duration {
	reserved := time.Duration(l.busyUntil.Load()) - now.Sub(l.startedAt)
	return max(0, reserved) + pacing.TransferTime(l.pendingBytes.Load(), l.Rate)
}
