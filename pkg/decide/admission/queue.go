package admission

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Queue is the state of the executor's queue as a new call finds it.
type Queue struct {
	// Waiting counts the calls in the queue, Ahead those that would be served
	// before the new call.
	Waiting, Ahead int
	// HasLowerPriority is set when a call of a lower priority waits.
	HasLowerPriority bool
	// ServiceTime is the recent median, 0 when not known.
	ServiceTime time.Duration
}

// Decision says what happens to a call that found no free slot.
type Decision struct {
	// Wait is the longest time that the call may wait; 0 refuses it.
	Wait time.Duration
	// Evict asks to refuse a waiting call of the lowest priority in its place.
	Evict bool
	// Reason is set when the call is refused.
	Reason board.Reason
}

// Admit decides on a call with the remaining time of its deadline.
func Admit(q Queue, priority dynconf.Priority, remaining time.Duration, a *board.Admission) Decision {
	refusal := Decision{Reason: RefusalReason(priority)}
	length := a.MaxQueueLength
	if priority == dynconf.PriorityBackground {
		// Half of the queue stays free for calls that someone waits for.
		length /= 2
	}
	wait := min(a.MaxQueueWait, remaining-q.ServiceTime)
	if wait <= 0 || expectedWait(q, a.ConcurrencyLimit) > wait {
		return refusal
	}
	if q.Waiting < length {
		return Decision{Wait: wait}
	}
	if q.HasLowerPriority {
		return Decision{Wait: wait, Evict: true}
	}
	return refusal
}

// expectedWait is the time until enough calls ended to serve those ahead.
func expectedWait(q Queue, limit uint32) time.Duration {
	return q.ServiceTime * time.Duration(q.Ahead+1) / time.Duration(max(limit, 1))
}

// RefusalReason returns the reason for the refusal of a call of a priority.
func RefusalReason(priority dynconf.Priority) board.Reason {
	if priority == dynconf.PriorityBackground {
		return board.ReasonShedByPriority
	}
	return board.ReasonOverloaded
}
