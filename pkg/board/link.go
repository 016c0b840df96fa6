package board

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/pacing"
)

// LinkPacer schedules the bytes that this machine sends on its network link.
type LinkPacer struct {
	// Rate is the usable rate in bytes per second, 0 when unknown.
	Rate float64

	startedAt time.Time
	// busyUntil is when the last reserved byte has been sent, in nanoseconds
	// since startedAt.
	busyUntil atomic.Int64
	// pendingBytes counts the response bytes that will be sent but are not
	// reserved yet.
	pendingBytes atomic.Int64
}

// NewLinkPacer returns a pacer for an idle link.
func NewLinkPacer(rate float64) *LinkPacer { return &LinkPacer{Rate: rate, startedAt: time.Now()} }

// Reserve schedules the transmission of bytes and returns how long the sender
// has to wait before it starts.
func (p *LinkPacer) Reserve(bytes int, now time.Time) time.Duration {
	elapsed := now.Sub(p.startedAt)
	for {
		old := p.busyUntil.Load()
		start, next := pacing.Reserve(time.Duration(old), elapsed, int64(bytes), p.Rate)
		if p.busyUntil.CompareAndSwap(old, int64(next)) {
			return start - elapsed
		}
	}
}

// ReserveUpload schedules the reception of a request body if it can arrive early enough,
// see pacing.AcceptUpload, whose backlog this function determines. It returns how long
// the sender has to wait. Bodies that are offered at the same time count for each other.
func (p *LinkPacer) ReserveUpload(upload pacing.Upload, now time.Time) (wait time.Duration, ok bool) {
	elapsed := now.Sub(p.startedAt)
	for {
		old := p.busyUntil.Load()
		start, next := pacing.Reserve(time.Duration(old), elapsed, upload.Bytes, p.Rate)
		upload.Backlog, upload.Rate = start-elapsed, p.Rate
		if !pacing.AcceptUpload(upload) {
			return 0, false
		}
		if p.busyUntil.CompareAndSwap(old, int64(next)) {
			return start - elapsed, true
		}
	}
}

// CancelReservation gives back a reservation whose sender has not started: its size, the
// time at which it was made and the wait that Reserve returned. It has no effect once
// later bytes are reserved, since their senders already wait for their time.
func (p *LinkPacer) CancelReservation(bytes int, reservedAt time.Time, wait time.Duration) {
	start := reservedAt.Sub(p.startedAt) + wait
	_, next := pacing.Reserve(start, start, int64(bytes), p.Rate)
	p.busyUntil.CompareAndSwap(int64(next), int64(start))
}

// AddPending adds bytes that will be sent; a negative number removes them.
func (p *LinkPacer) AddPending(bytes int64) { p.pendingBytes.Add(bytes) }

// Backlog returns how long the link takes to send the reserved and the pending
// bytes.
func (p *LinkPacer) Backlog(now time.Time) time.Duration {
	reserved := time.Duration(p.busyUntil.Load()) - now.Sub(p.startedAt)
	return max(0, reserved) + pacing.TransferTime(p.pendingBytes.Load(), p.Rate)
}
