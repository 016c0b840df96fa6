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

// admissionQueue holds the calls that run on the own backend server and those that wait
// for a slot. A call that finds a slot and no queue takes no lock.
type admissionQueue struct {
	running atomic.Int64
	waiting atomic.Int64

	mu      sync.Mutex
	waiters []*waiter
}

// waiter is one waiting call. Exactly one verdict is sent by whoever takes the
// waiter out of the queue; an empty reason grants a slot.
type waiter struct {
	job      queueing.Job
	decision chan board.Reason
}

// tryAcquire takes a slot when fewer than slots calls run.
func (q *admissionQueue) tryAcquire(slots int) bool {
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

// release frees a slot and hands it on. The slot is freed before the queue is
// looked at, and a call enters the queue before it tries again, so that no call
// waits beside a free slot.
func (q *admissionQueue) release(slots int) {
	q.running.Add(-1)
	q.grantSlots(slots)
}

// grantSlots grants free slots to waiting calls.
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

// refuseAll refuses every waiting call.
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

// loadFor returns the loadFor that a job sees: all running calls, and the waiting
// ones that are served before it.
func (q *admissionQueue) loadFor(job queueing.Job, base estimate.Load) estimate.Load {
	base.Running = int(q.running.Load())
	if q.waiting.Load() == 0 {
		return base
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters {
		if !queueing.Before(job, w.job) {
			base.Waiting++
		}
	}
	return base
}

// wait sleeps until the verdict, until the call can't be answered any more, or
// until ctx ends.
func (q *admissionQueue) wait(ctx context.Context, w *waiter) board.Reason {
	timer := time.NewTimer(time.Until(queueing.Expires(w.job)))
	defer timer.Stop()
	var reason board.Reason
	select {
	case reason = <-w.decision:
		return reason
	case <-timer.C:
		reason = board.ReasonDeadlineNotRun
	case <-ctx.Done():
		reason = board.ReasonCanceled
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
