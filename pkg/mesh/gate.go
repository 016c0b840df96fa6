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
func (g *admissionQueue) tryAcquire(slots int) bool {
	for {
		running := g.running.Load()
		if running >= int64(slots) {
			return false
		}
		if g.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// release frees a slot and hands it on. The slot is freed before the queue is
// looked at, and a call enters the queue before it tries again, so that no call
// waits beside a free slot.
func (g *admissionQueue) release(slots int) {
	g.running.Add(-1)
	g.grantSlots(slots)
}

// grantSlots grants free slots to waiting calls.
func (g *admissionQueue) grantSlots(slots int) {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.waiters) > 0 && g.tryAcquire(slots) {
		i := queueing.Next(g.jobs(), time.Now())
		g.dequeue(i).decision <- ""
	}
}

// refuseAll refuses every waiting call.
func (g *admissionQueue) refuseAll(reason board.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.waiters) > 0 {
		g.dequeue(0).decision <- reason
	}
}

func (g *admissionQueue) jobs() []queueing.Job {
	jobs := make([]queueing.Job, len(g.waiters))
	for i, t := range g.waiters {
		jobs[i] = t.job
	}
	return jobs
}

func (g *admissionQueue) dequeue(i int) *waiter {
	t := g.waiters[i]
	g.waiters = slices.Delete(g.waiters, i, i+1)
	g.waiting.Add(-1)
	return t
}

// enqueue adds a call to the queue.
func (g *admissionQueue) enqueue(job queueing.Job, slots int) *waiter {
	t := &waiter{job: job, decision: make(chan board.Reason, 1)}
	g.mu.Lock()
	g.waiters = append(g.waiters, t)
	g.waiting.Add(1)
	g.mu.Unlock()
	g.grantSlots(slots)
	return t
}

// loadFor returns the loadFor that a job sees: all running calls, and the waiting
// ones that are served before it.
func (g *admissionQueue) loadFor(job queueing.Job, base estimate.Load) estimate.Load {
	base.Running = int(g.running.Load())
	if g.waiting.Load() == 0 {
		return base
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.waiters {
		if !queueing.ServedBefore(job, t.job) {
			base.Waiting++
		}
	}
	return base
}

// wait sleeps until the verdict, until the call can't be answered any more, or
// until ctx ends.
func (g *admissionQueue) wait(ctx context.Context, t *waiter) board.Reason {
	timer := time.NewTimer(time.Until(queueing.LatestStart(t.job)))
	defer timer.Stop()
	var reason board.Reason
	select {
	case reason = <-t.decision:
		return reason
	case <-timer.C:
		reason = board.ReasonDeadlineBeforeStart
	case <-ctx.Done():
		reason = board.ReasonCanceledByCaller
	}
	g.mu.Lock()
	i := slices.Index(g.waiters, t)
	if i >= 0 {
		g.dequeue(i)
	}
	g.mu.Unlock()
	if i >= 0 {
		return reason
	}
	return <-t.decision
}
