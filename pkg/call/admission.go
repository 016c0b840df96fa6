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

// admissionQueue limits the calls that run concurrently on the backend server
// and queues the others. A call that finds a free slot and an empty queue
// takes no lock; a queued call blocks on a channel.
type admissionQueue struct {
	running atomic.Int64
	waiting atomic.Int64

	mu      sync.Mutex
	waiters []*waiter
}

// waiter is one queued call. A goroutine that takes another one's waiter out
// of the queue sends it exactly one decision; an empty reason grants a slot.
type waiter struct {
	priority dynconf.Priority
	// expiresAt is when the call is refused if it still has no slot.
	expiresAt time.Time
	decision  chan board.Reason
}

// tryAcquire takes a slot if fewer than limit calls run.
func (q *admissionQueue) tryAcquire(limit uint32) bool {
	for {
		running := q.running.Load()
		if running >= int64(limit) {
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
func (q *admissionQueue) release(limit uint32) {
	q.running.Add(-1)
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantSlots(limit)
}

// grantSlots grants free slots to queued calls. The caller must hold mu.
func (q *admissionQueue) grantSlots(limit uint32) {
	for len(q.waiters) > 0 && q.tryAcquire(limit) {
		q.dequeue(0).decision <- ""
	}
}

// dequeue removes the waiter at an index from the queue. The caller must hold
// mu.
func (q *admissionQueue) dequeue(i int) *waiter {
	w := q.waiters[i]
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
	q.waiting.Add(-1)
	return w
}

// enqueue queues or refuses a call that found no free slot. It returns the
// waiter, or the reason for the refusal.
func (q *admissionQueue) enqueue(priority dynconf.Priority, remaining, serviceTime time.Duration, limits *board.Admission) (*waiter, board.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	decision := admission.Admit(q.snapshotFor(priority, serviceTime), priority, remaining, limits)
	if decision.Wait <= 0 {
		return nil, decision.Reason
	}
	if decision.Evict {
		evicted := q.dequeue(len(q.waiters) - 1)
		evicted.decision <- admission.RefusalReason(evicted.priority)
	}
	w := &waiter{priority: priority, expiresAt: now.Add(decision.Wait), decision: make(chan board.Reason, 1)}
	q.insert(w)
	q.grantSlots(limits.ConcurrencyLimit)
	return w, ""
}

// snapshotFor returns the state of the queue from the view of a new call with
// the priority. The caller must hold mu.
func (q *admissionQueue) snapshotFor(priority dynconf.Priority, serviceTime time.Duration) admission.Queue {
	snapshot := admission.Queue{Waiting: len(q.waiters), Ahead: q.insertPosition(priority), ServiceTime: serviceTime}
	if n := len(q.waiters); n > 0 {
		snapshot.HasLowerPriority = q.waiters[n-1].priority < priority
	}
	return snapshot
}

// insertPosition returns the index at which a call with the priority is
// inserted: behind all calls of the same or a higher priority.
func (q *admissionQueue) insertPosition(priority dynconf.Priority) int {
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].priority < priority {
		i--
	}
	return i
}

func (q *admissionQueue) insert(w *waiter) {
	i := q.insertPosition(w.priority)
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = w
	q.waiting.Add(1)
}

// removeWaiter removes a waiter from the queue. It returns false if another
// goroutine has already removed it and sent the decision.
func (q *admissionQueue) removeWaiter(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiters {
		if other == w {
			q.dequeue(i)
			return true
		}
	}
	return false
}

// wait blocks until the decision arrives, the waiter expires or ctx ends.
func (q *admissionQueue) wait(ctx context.Context, w *waiter) board.Reason {
	timer := time.NewTimer(time.Until(w.expiresAt))
	defer timer.Stop()
	var reason board.Reason
	select {
	case reason = <-w.decision:
		return reason
	case <-timer.C:
		reason = admission.RefusalReason(w.priority)
	case <-ctx.Done():
		reason = notRunReason(ctx)
	}
	if q.removeWaiter(w) {
		return reason
	}
	return <-w.decision
}

// notRunReason returns the reason why a call was ended before it started.
func notRunReason(ctx context.Context) board.Reason {
	if noResponseReason(ctx) == board.ReasonCanceledByCaller {
		return board.ReasonCanceledByCaller
	}
	return board.ReasonDeadlineBeforeStart
}

// metricsOrDiscard returns the counters of the executor, or ones that drop
// their counts if it has none.
func (x *Executor) metricsOrDiscard() *metrics.TrafficMetrics {
	if x.Metrics == nil {
		return discardMetrics
	}
	return x.Metrics
}

// admissionLimits returns the current limits. Until the admission controller
// has processed the announcement of the backend server, the announced slots
// are the concurrency limit.
func (x *Executor) admissionLimits(local *board.LocalServer) *board.Admission {
	limits := x.Board.Admission.Load()
	if limits.ConcurrencyLimit == 0 {
		return &board.Admission{ConcurrencyLimit: max(1, local.Slots), MaxQueueLength: limits.MaxQueueLength, MaxQueueWait: limits.MaxQueueWait}
	}
	return limits
}

// acquireSlot takes a slot for a call and waits for one if necessary. If it
// returns a reason, the call is refused and has provably not reached the
// backend server.
func (x *Executor) acquireSlot(ctx context.Context, local *board.LocalServer, message *wire.Call, record *board.RequestRecord) board.Reason {
	limits := x.admissionLimits(local)
	if x.queue.waiting.Load() == 0 && x.queue.tryAcquire(limits.ConcurrencyLimit) {
		return ""
	}
	priority := min(dynconf.Priority(message.Priority), dynconf.PriorityCritical)
	deadline, _ := ctx.Deadline()
	w, reason := x.queue.enqueue(priority, time.Until(deadline), x.Board.ServiceTimes.Median(), limits)
	if w != nil {
		record.Advance(board.RequestQueued)
		x.metricsOrDiscard().AdmissionQueued.Inc(1)
		reason = x.queue.wait(ctx, w)
	}
	if reason != "" {
		x.metricsOrDiscard().AdmissionRejections.Inc(1)
	}
	return reason
}

// finishExecution reports the end of a call to the admission controller and
// frees its slot.
func (x *Executor) finishExecution(local *board.LocalServer, result *Result, serviceTime time.Duration) {
	class := breaker.Classify(result.Outcome, result.Reason, result.Status)
	if class == breaker.Success {
		x.Board.ServiceTimes.Add(serviceTime)
	}
	x.Board.FinishedCalls.Post(board.FinishedCall{
		ServiceTime: serviceTime, Succeeded: class == breaker.Success, Shed: isOverloadStatus(result.Status),
		InFlight: uint32(x.queue.running.Load()), ServerIncarnation: local.Incarnation,
	})
	x.queue.release(x.admissionLimits(local).ConcurrencyLimit)
}

// isOverloadStatus reports whether an HTTP status means that the backend server
// is overloaded.
func isOverloadStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
