package mesh

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/slotqueue"
)

// nextJob returns the index of the waiting job that gets a free slot.
func nextJob(waiting []queueing.Job) int { return queueing.Next(waiting, time.Now()) }

// loadFor returns base with the calls that are ahead of a job: all running
// calls and the queued calls that are served before it.
func (x *Executor) loadFor(job queueing.Job, base estimate.Load) estimate.Load {
	base.Running = x.queue.Running()
	for _, waiting := range x.queue.Jobs() {
		if !queueing.ServedBefore(job, waiting) {
			base.Waiting++
		}
	}
	return base
}

// acquireSlot acquires a slot for a call, or returns why the call is
// refused.
func (x *Executor) acquireSlot(ctx context.Context, job queueing.Job, slots int) board.Reason {
	if x.queue.TryAcquire(slots) {
		return ""
	}
	if reason := x.waitForSlot(ctx, job, slots); reason != "" {
		return reason
	}
	if ctx.Err() != nil {
		x.releaseSlot(slots)
		return board.ReasonCanceledByCaller
	}
	return ""
}

// waitForSlot queues a call until it gets a slot, until it is too late to start it
// and still meet its objective, or until ctx ends.
func (x *Executor) waitForSlot(ctx context.Context, job queueing.Job, slots int) board.Reason {
	w, reason := x.queue.Enqueue(slots, func([]queueing.Job) slotqueue.Admission[queueing.Job] {
		return slotqueue.Admission[queueing.Job]{Job: job}
	}, nextJob)
	if w == nil {
		return reason
	}
	end, reason := x.queue.Wait(ctx, w, queueing.LatestStart(job))
	switch end {
	case slotqueue.Expired:
		return board.ReasonDeadlineBeforeStart
	case slotqueue.Canceled:
		return board.ReasonCanceledByCaller
	}
	return reason
}

// releaseSlot frees the slot of a call.
func (x *Executor) releaseSlot(slots int) { x.queue.Release(slots, nextJob) }
