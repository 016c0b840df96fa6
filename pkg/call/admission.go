package call

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/admission"
	"mangostand.example/mangostand/pkg/decide/breaker"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/wire"
)

// gate admits calls to the backend server. A call that finds a free slot and
// no queue takes no lock; a call that must wait sleeps on a channel.
type gate struct {
	running atomic.Int64
	waiting atomic.Int64

	mu    sync.Mutex
	queue []*waiter
}

// waiter is one queued call. Exactly one verdict is sent: an empty reason
// admits the call. Whoever removes the waiter from the queue sends it.
type waiter struct {
	priority dynconf.Priority
	// expires is when the wait ends without a slot.
	expires time.Time
	verdict chan board.Reason
}

// tryRun takes a slot when fewer than limit calls run.
func (g *gate) tryRun(limit uint32) bool {
	for {
		running := g.running.Load()
		if running >= int64(limit) {
			return false
		}
		if g.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// release frees a slot and hands it to a waiting call. The slot is freed
// before the queue is looked at, and a call enters the queue before it tries
// again, so that no call waits beside a free slot.
func (g *gate) release(limit uint32) {
	g.running.Add(-1)
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(limit)
}

// dispatch admits waiting calls while there are slots. The caller holds mu.
func (g *gate) dispatch(limit uint32) {
	for len(g.queue) > 0 && g.tryRun(limit) {
		g.remove(0).verdict <- ""
	}
}

// remove takes a waiter out of the queue. The caller holds mu.
func (g *gate) remove(i int) *waiter {
	w := g.queue[i]
	g.queue = append(g.queue[:i], g.queue[i+1:]...)
	g.waiting.Add(-1)
	return w
}

// enqueue decides on a call that found no slot. It returns the waiter, or the
// reason for a refusal.
func (g *gate) enqueue(priority dynconf.Priority, remaining, service time.Duration, a *board.Admission) (*waiter, board.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	verdict := admission.Admit(g.view(priority, service), priority, remaining, a)
	if verdict.Wait <= 0 {
		return nil, verdict.Reason
	}
	if verdict.Evict {
		evicted := g.remove(len(g.queue) - 1)
		evicted.verdict <- admission.RefusalReason(evicted.priority)
	}
	w := &waiter{priority: priority, expires: now.Add(verdict.Wait), verdict: make(chan board.Reason, 1)}
	g.insert(w)
	g.dispatch(a.ConcurrencyLimit)
	return w, ""
}

func (g *gate) view(priority dynconf.Priority, service time.Duration) admission.Queue {
	q := admission.Queue{Waiting: len(g.queue), Ahead: g.position(priority), ServiceTime: service}
	if n := len(g.queue); n > 0 {
		q.HasLowerPriority = g.queue[n-1].priority < priority
	}
	return q
}

// position returns where a new call of the priority is inserted: behind all
// calls of its own and of higher priorities.
func (g *gate) position(priority dynconf.Priority) int {
	i := len(g.queue)
	for i > 0 && g.queue[i-1].priority < priority {
		i--
	}
	return i
}

func (g *gate) insert(w *waiter) {
	i := g.position(w.priority)
	g.queue = append(g.queue, nil)
	copy(g.queue[i+1:], g.queue[i:])
	g.queue[i] = w
	g.waiting.Add(1)
}

// withdraw takes a waiter out of the queue. It returns false when the verdict
// has been sent.
func (g *gate) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.queue {
		if other == w {
			g.remove(i)
			return true
		}
	}
	return false
}

// wait sleeps until the verdict, the end of the wait or the end of ctx.
func (g *gate) wait(ctx context.Context, w *waiter) board.Reason {
	timer := time.NewTimer(time.Until(w.expires))
	defer timer.Stop()
	var reason board.Reason
	select {
	case reason = <-w.verdict:
		return reason
	case <-timer.C:
		reason = admission.RefusalReason(w.priority)
	case <-ctx.Done():
		reason = notRunReason(ctx)
	}
	if g.withdraw(w) {
		return reason
	}
	return <-w.verdict
}

// notRunReason says why a call that did not start was given up.
func notRunReason(ctx context.Context) board.Reason {
	if lostReason(ctx) == board.ReasonCanceledByCaller {
		return board.ReasonCanceledByCaller
	}
	return board.ReasonDeadlineBeforeStart
}

func (x *Executor) traffic() *metrics.Traffic {
	if x.Metrics == nil {
		return discard
	}
	return x.Metrics
}

// admission returns the snapshot in force. Until the controller has seen the
// announcement, the announced slots are the limit.
func (x *Executor) admission(local *board.LocalServer) *board.Admission {
	a := x.Board.Admission.Load()
	if a.ConcurrencyLimit == 0 {
		return &board.Admission{ConcurrencyLimit: max(1, local.Slots), MaxQueueLength: a.MaxQueueLength, MaxQueueWait: a.MaxQueueWait}
	}
	return a
}

// admit takes a slot for a call, waits for one or returns the reason for a
// refusal, which proves that the backend server did not see the call.
func (x *Executor) admit(ctx context.Context, local *board.LocalServer, message *wire.Call, record *board.RequestRecord) board.Reason {
	a := x.admission(local)
	if x.gate.waiting.Load() == 0 && x.gate.tryRun(a.ConcurrencyLimit) {
		return ""
	}
	priority := min(dynconf.Priority(message.Priority), dynconf.PriorityCritical)
	deadline, _ := ctx.Deadline()
	w, reason := x.gate.enqueue(priority, time.Until(deadline), x.Board.ServiceTimes.Median(), a)
	if w != nil {
		record.Advance(board.RequestQueued)
		x.traffic().Queued.Inc(1)
		reason = x.gate.wait(ctx, w)
	}
	if reason != "" {
		x.traffic().Rejections.Inc(1)
	}
	return reason
}

// ended reports a call that held a slot and frees the slot.
func (x *Executor) ended(local *board.LocalServer, result *Result, took time.Duration) {
	class := breaker.Classify(result.Outcome, result.Reason, result.Status)
	if class == breaker.Success {
		x.Board.ServiceTimes.Add(took)
	}
	x.Board.FinishedCalls.Post(board.FinishedCall{
		ServiceTime: took, Succeeded: class == breaker.Success, Shed: shedByServer(result.Status),
		InFlight: uint32(x.gate.running.Load()), ServerIncarnation: local.Incarnation,
	})
	x.gate.release(x.admission(local).ConcurrencyLimit)
}

// shedByServer reports whether a status says that the server is overloaded.
func shedByServer(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
