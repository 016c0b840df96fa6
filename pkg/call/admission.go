package call

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/admission"
	"mangostand.example/mangostand/pkg/decide/breaker"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/slotqueue"
	"mangostand.example/mangostand/pkg/wire"
)

// queuedCall is one call that waits for a slot.
type queuedCall struct {
	priority dynconf.Priority
	// expiresAt is when the call is refused if it still has no slot.
	expiresAt time.Time
}

// nextByPriority returns the index of the call that gets a free slot: the first
// one of the highest priority.
func nextByPriority(waiting []queuedCall) int {
	first := 0
	for i, c := range waiting {
		if c.priority > waiting[first].priority {
			first = i
		}
	}
	return first
}

// lastByPriority returns the index of the call that is served last: the last one
// of the lowest priority.
func lastByPriority(waiting []queuedCall) int {
	last := 0
	for i, c := range waiting {
		if c.priority <= waiting[last].priority {
			last = i
		}
	}
	return last
}

// admitToQueue decides on a call that found no free slot.
func admitToQueue(waiting []queuedCall, priority dynconf.Priority, remaining, serviceTime time.Duration, limits *board.Admission) slotqueue.Admission[queuedCall] {
	now := time.Now()
	decision := admission.Admit(snapshotFor(waiting, priority, serviceTime), priority, remaining, limits)
	if decision.Wait <= 0 {
		return slotqueue.Admission[queuedCall]{Refusal: decision.Reason}
	}
	admitted := slotqueue.Admission[queuedCall]{Job: queuedCall{priority: priority, expiresAt: now.Add(decision.Wait)}}
	if decision.Evict {
		last := lastByPriority(waiting)
		admitted.Evict = &slotqueue.Eviction{Index: last, Reason: admission.RefusalReason(waiting[last].priority)}
	}
	return admitted
}

// snapshotFor returns the state of the queue from the view of a new call with
// the priority.
func snapshotFor(waiting []queuedCall, priority dynconf.Priority, serviceTime time.Duration) admission.Queue {
	snapshot := admission.Queue{Waiting: len(waiting), ServiceTime: serviceTime}
	for _, c := range waiting {
		if c.priority >= priority {
			snapshot.Ahead++
		} else {
			snapshot.HasLowerPriority = true
		}
	}
	return snapshot
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
	if x.queue.TryAcquire(int(limits.ConcurrencyLimit)) {
		return ""
	}
	priority := min(dynconf.Priority(message.Priority), dynconf.PriorityCritical)
	deadline, _ := ctx.Deadline()
	w, reason := x.queue.Enqueue(int(limits.ConcurrencyLimit), func(waiting []queuedCall) slotqueue.Admission[queuedCall] {
		return admitToQueue(waiting, priority, time.Until(deadline), x.Board.ServiceTimes.Median(), limits)
	}, nextByPriority)
	if w != nil {
		record.Advance(board.RequestQueued)
		x.metricsOrDiscard().AdmissionQueued.Inc(1)
		reason = x.wait(ctx, w)
	}
	if reason != "" {
		x.metricsOrDiscard().AdmissionRejections.Inc(1)
	}
	return reason
}

// wait blocks until the decision on a queued call and returns why it is refused,
// or "" if it has a slot.
func (x *Executor) wait(ctx context.Context, w *slotqueue.Waiter[queuedCall]) board.Reason {
	end, reason := x.queue.Wait(ctx, w, w.Job().expiresAt)
	switch end {
	case slotqueue.Expired:
		return admission.RefusalReason(w.Job().priority)
	case slotqueue.Canceled:
		return notRunReason(ctx)
	}
	return reason
}

// release frees the slot of a call.
func (x *Executor) release(local *board.LocalServer) {
	x.queue.Release(int(x.admissionLimits(local).ConcurrencyLimit), nextByPriority)
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
		InFlight: uint32(x.queue.Running()), ServerIncarnation: local.Incarnation,
	})
	x.release(local)
}

// isOverloadStatus reports whether an HTTP status means that the backend server
// is overloaded.
func isOverloadStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
