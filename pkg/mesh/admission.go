package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/nesting"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/slotqueue"
)

// slotUse tells calls of callers from nested calls on the slots of the backend server.
type slotUse struct {
	// ordinary counts the calls on slots that are not nested.
	ordinary atomic.Int64
	nested   atomic.Pointer[nesting.Load]
}

// tryOrdinary counts a call that is not nested if fewer than limit hold a slot.
func (u *slotUse) tryOrdinary(limit int) bool {
	for {
		n := u.ordinary.Load()
		if n >= int64(limit) {
			return false
		}
		if u.ordinary.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// addNested records that a nested call held a slot for a time.
func (u *slotUse) addNested(held time.Duration, now time.Time) {
	for {
		old := u.nested.Load()
		var load nesting.Load
		if old != nil {
			load = *old
		}
		load = load.Add(held, now)
		if u.nested.CompareAndSwap(old, &load) {
			return
		}
	}
}

// reserved returns how many of the slots only nested calls may use.
func (u *slotUse) reserved(slots int, now time.Time) int {
	load := u.nested.Load()
	if load == nil {
		return 0
	}
	return nesting.ReservedSlots(load.Mean(now), slots)
}

// slotsFor returns how many of the slots a job may use.
func (x *Executor) slotsFor(job queueing.Job, slots int, now time.Time) int {
	if job.Nested {
		return slots
	}
	return max(1, slots-x.slots.reserved(slots, now))
}

// nextJob returns the function that chooses the waiting job that gets a free slot.
func (x *Executor) nextJob(slots int) slotqueue.Next[queueing.Job] {
	return func(waiting []queueing.Job) int {
		now := time.Now()
		i := queueing.Next(waiting, now)
		if waiting[i].Nested || x.slots.tryOrdinary(x.slotsFor(waiting[i], slots, now)) {
			return i
		}
		return -1
	}
}

// loadFor returns the load with the slots that a job may use and the calls that are ahead
// of it there: the running calls and the queued calls that are served before it.
func (x *Executor) loadFor(job queueing.Job, slots int, now time.Time, base estimate.Load) estimate.Load {
	base.Slots = x.slotsFor(job, slots, now)
	running, ordinary := x.queue.Running(), int(x.slots.ordinary.Load())
	base.Running = ordinary + max(0, running-ordinary-(slots-base.Slots))
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
	if x.tryAcquireSlot(job, slots) {
		return ""
	}
	if reason := x.waitForSlot(ctx, job, slots); reason != "" {
		return reason
	}
	if ctx.Err() != nil {
		x.releaseSlot(job, slots)
		return board.ReasonCanceledByCaller
	}
	return ""
}

// waitForSlot queues a call until it gets a slot, until it is too late to start it
// and still meet its objective, or until ctx ends.
func (x *Executor) waitForSlot(ctx context.Context, job queueing.Job, slots int) board.Reason {
	w, reason := x.queue.Enqueue(slots, func([]queueing.Job) slotqueue.Admission[queueing.Job] {
		return slotqueue.Admission[queueing.Job]{Job: job}
	}, x.nextJob(slots))
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

// tryAcquireSlot takes a slot for a call if no call waits and one is free.
func (x *Executor) tryAcquireSlot(job queueing.Job, slots int) bool {
	if job.Nested {
		return x.queue.TryAcquire(slots)
	}
	if !x.slots.tryOrdinary(x.slotsFor(job, slots, time.Now())) {
		return false
	}
	if !x.queue.TryAcquire(slots) {
		x.slots.ordinary.Add(-1)
		// Another goroutine may have counted this call and left a job waiting.
		x.queue.Grant(slots, x.nextJob(slots))
		return false
	}
	return true
}

// releaseSlot frees the slot of a call.
func (x *Executor) releaseSlot(job queueing.Job, slots int) {
	if !job.Nested {
		x.slots.ordinary.Add(-1)
	}
	x.queue.Release(slots, x.nextJob(slots))
}
