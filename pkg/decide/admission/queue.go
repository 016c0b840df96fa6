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
	// Lower is set when a call of a lower priority waits.
	Lower bool
	// ServiceTime is the recent median, 0 when not known.
	ServiceTime time.Duration
}

// Verdict says what happens to a call that found no free slot.
type Verdict struct {
	// Wait is the longest time that the call may wait; 0 refuses it.
	Wait time.Duration
	// Evict asks to refuse a waiting call of the lowest priority in its place.
	Evict bool
	// Reason is set when the call is refused.
	Reason board.Reason
}

// Judge decides on a call with the remaining time of its deadline.
func Judge(q Queue, priority dynconf.Priority, remaining time.Duration, a *board.Admission) Verdict {
	refusal := Verdict{Reason: RefusalOf(priority)}
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
		return Verdict{Wait: wait}
	}
	if q.Lower {
		return Verdict{Wait: wait, Evict: true}
	}
	return refusal
}

// expectedWait is the time until enough calls ended to serve those ahead.
func expectedWait(q Queue, limit uint32) time.Duration {
	return q.ServiceTime * time.Duration(q.Ahead+1) / time.Duration(max(limit, 1))
}

// RefusalOf returns the reason for the refusal of a call of a priority.
func RefusalOf(priority dynconf.Priority) board.Reason {
	if priority == dynconf.PriorityBackground {
		return board.ReasonShedByPriority
	}
	return board.ReasonOverloaded
}
