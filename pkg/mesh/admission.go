package mesh

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// admissionQueue limits the calls that run on the backend server of this
// node and queues the others. A call that finds a free slot and an empty
// queue takes no lock.
type admissionQueue struct {
	running atomic.Int64
	waiting atomic.Int64
	// permit, if set, is asked for each call that has got a slot. If it returns false
	// the call does not get the slot, and permit arranges a later call of grantSlots.
	permit func() bool

	mu      sync.Mutex
	waiters []*waiter
}

// waiter is one queued call. It is removed from the queue either by wait, when
// the call gives up, or by another goroutine, which then sends exactly one
// decision; an empty reason grants a slot.
type waiter struct {
	job      queueing.Job
	decision chan board.Reason
}

// tryAcquire takes a slot for a call if fewer than slots calls run and permit allows
// the call.
func (q *admissionQueue) tryAcquire(slots int) bool {
	if !q.takeSlot(slots) {
		return false
	}
	if q.permit != nil && !q.permit() {
		q.running.Add(-1)
		return false
	}
	return true
}

// takeSlot takes a slot if fewer than slots calls run.
func (q *admissionQueue) takeSlot(slots int) bool {
	for {
		running := q.running.Load()
		if running >= int64(slots) {
			return false
		}
		if q.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// release frees a slot and grants it to a queued call. The slot is freed
// before the queue is read, and enqueue adds a call before it tries for a
// slot, so no call stays queued while a slot is free.
func (q *admissionQueue) release(slots int) {
	q.running.Add(-1)
	q.grantSlots(slots)
}

// grantSlots grants free slots to queued calls.
func (q *admissionQueue) grantSlots(slots int) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiters) > 0 && q.tryAcquire(slots) {
		i := queueing.Next(q.jobs(), time.Now())
		q.dequeue(i).decision <- ""
	}
}

// refuseAll refuses all queued calls.
func (q *admissionQueue) refuseAll(reason board.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiters) > 0 {
		q.dequeue(0).decision <- reason
	}
}

func (q *admissionQueue) jobs() []queueing.Job {
	jobs := make([]queueing.Job, len(q.waiters))
	for i, w := range q.waiters {
		jobs[i] = w.job
	}
	return jobs
}

func (q *admissionQueue) dequeue(i int) *waiter {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.waiting.Add(-1)
	return w
}

// enqueue adds a call to the queue.
func (q *admissionQueue) enqueue(job queueing.Job, slots int) *waiter {
	w := &waiter{job: job, decision: make(chan board.Reason, 1)}
	q.mu.Lock()
	q.waiters = append(q.waiters, w)
	q.waiting.Add(1)
	q.mu.Unlock()
	q.grantSlots(slots)
	return w
}

// loadFor returns base with the calls that are ahead of a job: all running
// calls and the queued calls that are served before it.
func (q *admissionQueue) loadFor(job queueing.Job, base estimate.Load) estimate.Load {
	base.Running = int(q.running.Load())
	if q.waiting.Load() == 0 {
		return base
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters {
		if !queueing.ServedBefore(job, w.job) {
			base.Waiting++
		}
	}
	return base
}

// wait blocks until a decision arrives, until it is too late to start the call
// and still meet its objective, or until ctx ends. If the waiter has already
// been removed from the queue by then, the decision that was sent to it applies.
func (q *admissionQueue) wait(ctx context.Context, w *waiter) board.Reason {
	timer := time.NewTimer(time.Until(queueing.LatestStart(w.job)))
	defer timer.Stop()
	var reason board.Reason
	select {
	case reason = <-w.decision:
		return reason
	case <-timer.C:
		reason = board.ReasonDeadlineBeforeStart
	case <-ctx.Done():
		reason = board.ReasonCanceledByCaller
	}
	q.mu.Lock()
	i := slices.Index(q.waiters, w)
	if i >= 0 {
		q.dequeue(i)
	}
	q.mu.Unlock()
	if i >= 0 {
		return reason
	}
	return <-w.decision
}
