package admission

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Queue is the state of the executor's queue that a new call finds.
type Queue struct {
	// Waiting is the number of queued calls, Ahead the number of those that
	// would be served before the new call.
	Waiting, Ahead int
	// HasLowerPriority is set when a call of a lower priority is queued.
	HasLowerPriority bool
	// ServiceTime is the recent median service time, 0 when it is not known.
	ServiceTime time.Duration
}

// Decision is the decision on a call that found no free slot.
type Decision struct {
	// Wait is the longest time that the call may wait; 0 refuses it.
	Wait time.Duration
	// Evict asks to refuse a queued call of the lowest priority to make room.
	Evict bool
	// Reason is set when the call is refused.
	Reason board.Reason
}

// Admit decides on a call, given the time that remains until its deadline.
func Admit(q Queue, priority dynconf.Priority, remaining time.Duration, admission *board.Admission) Decision {
	refusal := Decision{Reason: RefusalReason(priority)}
	maxLength := admission.MaxQueueLength
	if priority == dynconf.PriorityBackground {
		// Half of the queue is reserved for calls that a user waits for.
		maxLength /= 2
	}
	maxWait := min(admission.MaxQueueWait, remaining-q.ServiceTime)
	if maxWait <= 0 || expectedWait(q, admission.ConcurrencyLimit) > maxWait {
		return refusal
	}
	if q.Waiting < maxLength {
		return Decision{Wait: maxWait}
	}
	if q.HasLowerPriority {
		return Decision{Wait: maxWait, Evict: true}
	}
	return refusal
}

// expectedWait returns the expected time until the calls ahead have been
// served and a slot is free.
func expectedWait(q Queue, limit uint32) time.Duration {
	return q.ServiceTime * time.Duration(q.Ahead+1) / time.Duration(max(limit, 1))
}

// RefusalReason returns the reason to give when a call of the priority is
// refused.
func RefusalReason(priority dynconf.Priority) board.Reason {
	if priority == dynconf.PriorityBackground {
		return board.ReasonShedByPriority
	}
	return board.ReasonOverloaded
}
