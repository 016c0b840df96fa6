package mesh

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/nesting"
	"mangostand.example/mangostand/pkg/decide/queueing"
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
	return max(1, slots-x.slotUse.reserved(slots, now))
}

// release uncounts a call that held a slot.
func (u *slotUse) release(job queueing.Job) {
	if !job.Nested {
		u.ordinary.Add(-1)
	}
}

// tryAcquireSlot takes a slot for a call if no call waits, one is free and the limit of a
// cold backend server permits the call.
func (x *Executor) tryAcquireSlot(job queueing.Job, slots int) bool {
	if !job.Nested && !x.slotUse.tryOrdinary(x.slotsFor(job, slots, time.Now())) {
		return false
	}
	if !x.queue.TryAcquire(slots) {
		x.slotUse.release(job)
		// Another goroutine may have counted this call and left a job waiting.
		x.queue.Grant(slots, x.nextJob(slots))
		return false
	}
	if !x.permitSend() {
		x.slotUse.release(job)
		x.queue.Release(slots, x.nextJob(slots))
		return false
	}
	return true
}
