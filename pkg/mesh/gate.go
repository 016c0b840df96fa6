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

// gate holds the calls that run on the own backend server and those that wait
// for a slot. A call that finds a slot and no queue takes no lock.
type gate struct {
	running atomic.Int64
	waiting atomic.Int64

	mu    sync.Mutex
	queue []*ticket
}

// ticket is one waiting call. Exactly one verdict is sent by whoever takes the
// ticket out of the queue; an empty reason grants a slot.
type ticket struct {
	job     queueing.Job
	verdict chan board.Reason
}

// tryRun takes a slot when fewer than slots calls run.
func (g *gate) tryRun(slots int) bool {
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
func (g *gate) release(slots int) {
	g.running.Add(-1)
	g.advance(slots)
}

// advance grants free slots to waiting calls.
func (g *gate) advance(slots int) {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.queue) > 0 && g.tryRun(slots) {
		i := queueing.Next(g.jobs(), time.Now())
		g.remove(i).verdict <- ""
	}
}

// refuseAll refuses every waiting call.
func (g *gate) refuseAll(reason board.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.queue) > 0 {
		g.remove(0).verdict <- reason
	}
}

func (g *gate) jobs() []queueing.Job {
	jobs := make([]queueing.Job, len(g.queue))
	for i, t := range g.queue {
		jobs[i] = t.job
	}
	return jobs
}

func (g *gate) remove(i int) *ticket {
	t := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	g.waiting.Add(-1)
	return t
}

// enter adds a call to the queue.
func (g *gate) enter(job queueing.Job, slots int) *ticket {
	t := &ticket{job: job, verdict: make(chan board.Reason, 1)}
	g.mu.Lock()
	g.queue = append(g.queue, t)
	g.waiting.Add(1)
	g.mu.Unlock()
	g.advance(slots)
	return t
}

// load returns the load that a job sees: all running calls, and the waiting
// ones that are served before it.
func (g *gate) load(job queueing.Job, base estimate.Load) estimate.Load {
	base.Running = int(g.running.Load())
	if g.waiting.Load() == 0 {
		return base
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.queue {
		if !queueing.ServedBefore(job, t.job) {
			base.Waiting++
		}
	}
	return base
}

// wait sleeps until the verdict, until the call can't be answered any more, or
// until ctx ends.
func (g *gate) wait(ctx context.Context, t *ticket) board.Reason {
	timer := time.NewTimer(time.Until(queueing.LatestStart(t.job)))
	defer timer.Stop()
	var reason board.Reason
	select {
	case reason = <-t.verdict:
		return reason
	case <-timer.C:
		reason = board.ReasonDeadlineBeforeStart
	case <-ctx.Done():
		reason = board.ReasonCanceledByCaller
	}
	g.mu.Lock()
	i := slices.Index(g.queue, t)
	if i >= 0 {
		g.remove(i)
	}
	g.mu.Unlock()
	if i >= 0 {
		return reason
	}
	return <-t.verdict
}
