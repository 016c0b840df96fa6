// Package slotqueue limits the calls that run at once on a backend server and
// queues the others. The users of a queue decide on its order and on which calls
// it takes.
package slotqueue

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Queue holds the calls that wait for a slot and counts those that have one. J
// describes a waiting call. A call that finds a free slot and an empty queue takes
// no lock; a queued call blocks on a channel. The zero value is ready to use.
type Queue[J any] struct {
	running atomic.Int64
	// waiting is the length of waiters.
	waiting atomic.Int64

	mu sync.Mutex
	// waiters are in the order of their arrival.
	waiters []*Waiter[J]
}

// Waiter is one queued call. It is removed from the queue either by Wait, when
// the call gives up, or by another goroutine, which then sends exactly one
// decision; an empty reason grants a slot.
type Waiter[J any] struct {
	job      J
	decision chan board.Reason
}

// Next returns the index of the waiting job that gets a free slot, or -1 if none of
// them may have it. The jobs are in the order of their arrival, in a copy that may be
// changed. It is called while the queue is locked.
type Next[J any] func(waiting []J) int

// Eviction is a queued job that is refused to make room for another one.
type Eviction struct {
	Index  int
	Reason board.Reason
}

// Admission is the decision on a job that found no free slot.
type Admission[J any] struct {
	// Refusal is why the job is not queued, "" if it is.
	Refusal board.Reason
	Job     J
	// Evict is the job to refuse, nil for none.
	Evict *Eviction
}

// Running returns the number of calls that have a slot.
func (q *Queue[J]) Running() int { return int(q.running.Load()) }

// Waiting returns the number of queued calls.
func (q *Queue[J]) Waiting() int { return int(q.waiting.Load()) }

// TryAcquire takes a slot if no call waits and fewer than slots calls run.
func (q *Queue[J]) TryAcquire(slots int) bool { return q.waiting.Load() == 0 && q.TakeSlot(slots) }

// TakeSlot takes a slot if fewer than slots calls run, whether or not calls wait.
func (q *Queue[J]) TakeSlot(slots int) bool {
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

// Release frees a slot and grants it to a queued call. The slot is freed before
// the queue is read, and Enqueue adds a call before it tries for a slot, so no
// call stays queued while a slot is free.
func (q *Queue[J]) Release(slots int, next Next[J]) {
	q.running.Add(-1)
	q.Grant(slots, next)
}

// Grant grants free slots to queued calls. Release does so by itself; a user calls it
// when next may choose a job that it has left waiting before.
func (q *Queue[J]) Grant(slots int, next Next[J]) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantSlots(slots, next)
}

// grantSlots grants free slots to queued calls. The caller must hold mu.
func (q *Queue[J]) grantSlots(slots int, next Next[J]) {
	for len(q.waiters) > 0 && q.TakeSlot(slots) {
		i := next(q.jobs())
		if i < 0 {
			q.running.Add(-1)
			return
		}
		q.dequeue(i).decision <- ""
	}
}

// RefuseAll refuses all queued calls.
func (q *Queue[J]) RefuseAll(reason board.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiters) > 0 {
		q.dequeue(0).decision <- reason
	}
}

// Update changes the queued jobs in place.
func (q *Queue[J]) Update(change func(job *J)) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters {
		change(&w.job)
	}
}

// Refuse refuses the queued calls whose indexes choose returns in rising order, and
// returns how many these were. choose is called with the jobs in the order of their
// arrival, in a copy that may be changed, while the queue is locked.
func (q *Queue[J]) Refuse(choose func(waiting []J) []int, reason board.Reason) int {
	if q.waiting.Load() == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	chosen := choose(q.jobs())
	for _, i := range slices.Backward(chosen) {
		q.dequeue(i).decision <- reason
	}
	return len(chosen)
}

// Jobs returns the queued jobs in the order of their arrival.
func (q *Queue[J]) Jobs() []J {
	if q.waiting.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.jobs()
}

// Count returns the number of queued jobs for which a condition holds.
func (q *Queue[J]) Count(condition func(J) bool) int {
	if q.waiting.Load() == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	count := 0
	for _, w := range q.waiters {
		if condition(w.job) {
			count++
		}
	}
	return count
}

// jobs returns the queued jobs, with room for one more.
func (q *Queue[J]) jobs() []J {
	jobs := make([]J, len(q.waiters), len(q.waiters)+1)
	for i, w := range q.waiters {
		jobs[i] = w.job
	}
	return jobs
}

// dequeue removes the waiter at an index. The caller must hold mu.
func (q *Queue[J]) dequeue(i int) *Waiter[J] {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.waiting.Add(-1)
	return w
}

// Enqueue queues or refuses a call, as admit decides from the jobs that wait. It
// returns the waiter, or the reason for the refusal. admit is called while the
// queue is locked.
func (q *Queue[J]) Enqueue(slots int, admit func(waiting []J) Admission[J], next Next[J]) (*Waiter[J], board.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := admit(q.jobs())
	if decision.Refusal != "" {
		return nil, decision.Refusal
	}
	if evict := decision.Evict; evict != nil {
		q.dequeue(evict.Index).decision <- evict.Reason
	}
	w := &Waiter[J]{job: decision.Job, decision: make(chan board.Reason, 1)}
	q.waiters = append(q.waiters, w)
	q.waiting.Add(1)
	q.grantSlots(slots, next)
	return w, ""
}

// Job returns the job of the waiter.
func (w *Waiter[J]) Job() J { return w.job }

// End says how the wait of a call ended.
type End uint8

// Ends of a wait.
const (
	// Decided means that the call got a slot or was refused.
	Decided End = iota
	// Expired means that the call waited as long as it may.
	Expired
	// Canceled means that the context ended.
	Canceled
)

// Wait blocks until a decision arrives, until a time, or until ctx ends. The reason
// belongs to a decision and is empty for a slot. If the waiter has already been
// removed from the queue by then, the decision that was sent to it applies.
func (q *Queue[J]) Wait(ctx context.Context, w *Waiter[J], until time.Time) (End, board.Reason) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	end := Expired
	select {
	case reason := <-w.decision:
		return Decided, reason
	case <-timer.C:
	case <-ctx.Done():
		end = Canceled
	}
	if q.remove(w) {
		return end, ""
	}
	return Decided, <-w.decision
}

// remove removes a waiter. It returns false if another goroutine has already
// removed it and sent the decision.
func (q *Queue[J]) remove(w *Waiter[J]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.dequeue(i)
	return true
}
