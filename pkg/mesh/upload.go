package mesh

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pacing"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// bodyTransferSlack is how many times the transfer time of a large body an executor
// waits for it, besides bodyTimeout: the link of the sender may be slower or in use.
const bodyTransferSlack = 3

// paceUpload waits until the next bytes of a request body may be sent on the link of
// this machine, so that calls and responses pass between them.
func (f *forwarder) paceUpload(bytes int) {
	if wait := f.entry.Board.Link.Reserve(bytes, time.Now()); wait >= pacing.MinWait {
		time.Sleep(wait)
	}
}

// awaitLink waits until the link of this machine has room for a large body of a call
// that another node forwards. It returns why the call is refused, or "".
func (x *Executor) awaitLink(ctx context.Context, c *Call, job queueing.Job, from sender) board.Reason {
	link := x.Board.InboundLink
	if _, local := from.(localSender); local || c.BodyBytes == 0 || link.Rate <= 0 {
		return ""
	}
	now := time.Now()
	upload := pacing.Upload{Bytes: c.BodyBytes, ServiceTime: queueing.MinServiceTime(job), TimeLeft: c.Objective.Sub(now)}
	wait, ok := link.ReserveUpload(upload, now)
	if !ok {
		return board.ReasonDeadlineBeforeStart
	}
	if wait < pacing.MinWait {
		return ""
	}
	from.NotifyQueued()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ""
	case <-ctx.Done():
		link.CancelReservation(int(c.BodyBytes), now, wait)
		return board.ReasonCanceledByCaller
	}
}

// bodyTimeoutFor returns how long the executor waits for the body of a call after it
// has accepted the call.
func (x *Executor) bodyTimeoutFor(c *Call) time.Duration {
	return bodyTimeout + bodyTransferSlack*pacing.TransferTime(c.BodyBytes, x.Board.InboundLink.Rate)
}
