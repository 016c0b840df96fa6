package mesh

import (
	"context"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/nesting"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/slotqueue"
)

// hasCustomers reports whether the order among customers applies: it does if the
// configuration in force has customers.
func (x *Executor) hasCustomers() bool { return x.Board.Routes.Load().Customers.Len() > 0 }

// newJob returns what the queue needs to know of a call.
func (x *Executor) newJob(c *Call, speed estimate.Speed, maxResponseTime time.Duration) queueing.Job {
	nested := x.observeOrigin(c)
	job := queueing.Job{
		Nested: nested, CustomerRank: c.CustomerRank, Rank: c.Rank, NominalTime: nominalTime(x.Board.CallStats, c), MinSlowdown: speed.MinSlowdown,
		Objective: nesting.Objective(nested, c.Objective, c.Deadline), Deadline: c.Deadline, MaxResponseTime: maxResponseTime,
		Entry: c.EntryAddr, EndBy: x.endBy(c.EndBy),
	}
	if x.hasCustomers() {
		job.Customer, job.Retry = x.Board.CustomerService.ID(c.Customer), c.Retry
	}
	return job
}

// setStandings sets the standings of jobs, if there are customers.
func (x *Executor) setStandings(jobs []queueing.Job, now time.Time) {
	if !x.hasCustomers() {
		return
	}
	service := queueing.Service{ByJob: make([]time.Duration, len(jobs))}
	service.Keyless, service.Customers = x.Board.CustomerService.ByClass(now)
	for i, job := range jobs {
		if job.Customer == 0 {
			continue
		}
		if first := slices.IndexFunc(jobs[:i], func(other queueing.Job) bool { return other.Customer == job.Customer }); first >= 0 {
			service.ByJob[i] = service.ByJob[first]
			continue
		}
		service.ByJob[i] = x.Board.CustomerService.Received(job.Customer, now)
	}
	queueing.SetStandings(jobs, service, now)
}

// nextJob returns the function that chooses the waiting job that gets a free slot. It
// counts the expected service of the job: further slots may become free before the call
// starts.
func (x *Executor) nextJob(slots int) slotqueue.Next[queueing.Job] {
	return func(waiting []queueing.Job) int {
		now := time.Now()
		x.setStandings(waiting, now)
		next := queueing.Next(waiting, now)
		if !waiting[next].Nested && !x.slotUse.tryOrdinary(x.slotsFor(waiting[next], slots, now)) {
			// The free slot is reserved for nested calls.
			if next = queueing.NextNested(waiting, now); next < 0 {
				return -1
			}
		}
		if !x.permitSend() {
			x.slotUse.release(waiting[next])
			return -1
		}
		x.addService(waiting[next], queueing.ExpectedService(waiting[next]), now)
		return next
	}
}

// addService adds to the service that the customer of a job received.
func (x *Executor) addService(job queueing.Job, service time.Duration, now time.Time) {
	if x.hasCustomers() {
		x.Board.CustomerService.Add(job.Customer, service, now)
	}
}

// loadFor returns the load with the slots that a job may use and the calls that are ahead
// of it there: the running calls and the queued calls that are served before it.
func (x *Executor) loadFor(job queueing.Job, slots int, now time.Time, base estimate.Load) estimate.Load {
	base.Slots = x.slotsFor(job, slots, now)
	running, ordinary := x.queue.Running(), int(x.slotUse.ordinary.Load())
	base.Running = ordinary + max(0, running-ordinary-(slots-base.Slots))
	if !x.hasCustomers() {
		base.Waiting = x.queue.Count(func(other queueing.Job) bool { return !queueing.ServedBefore(job, other) })
		return base
	}
	jobs := append(x.queue.Jobs(), job)
	x.setStandings(jobs, now)
	job, jobs = jobs[len(jobs)-1], jobs[:len(jobs)-1]
	for _, other := range jobs {
		if !queueing.ServedBefore(job, other) {
			base.Waiting++
		}
	}
	return base
}

// acquireSlot acquires a slot for a call, or returns why the call is
// refused.
func (x *Executor) acquireSlot(ctx context.Context, job queueing.Job, slots int) board.Reason {
	if x.tryAcquireSlot(job, slots) {
		x.addService(job, queueing.ExpectedService(job), time.Now())
		return ""
	}
	if reason := x.waitForSlot(ctx, job, slots); reason != "" {
		return reason
	}
	if ctx.Err() != nil {
		x.releaseSlot(job, 0, slots)
		return board.ReasonCanceledByCaller
	}
	return ""
}

// refusedInQueue returns the result of a call that was admitted and then got no slot.
// A call of a customer was overtaken by those of others, and one that would not end
// before its node does was in its turn, so the caller is told the expected wait again.
func refusedInQueue(job queueing.Job, reason board.Reason, expectedWait time.Duration) *Result {
	result := notSent(reason)
	if job.Customer != 0 || reason == board.ReasonNodeStopping {
		result.QueueWait = expectedWait
	}
	return result
}

// waitForSlot queues a call until it gets a slot, until it is too late to start it
// and still meet its objective, or until ctx ends.
func (x *Executor) waitForSlot(ctx context.Context, job queueing.Job, slots int) board.Reason {
	w, reason := x.queue.Enqueue(slots, func(waiting []queueing.Job) slotqueue.Admission[queueing.Job] {
		return x.admitToQueue(waiting, job, slots)
	}, x.nextJob(slots))
	if w == nil {
		return reason
	}
	end, reason := x.queue.Wait(ctx, w, queueing.LatestStart(job))
	switch end {
	case slotqueue.Expired:
		return board.ReasonDeadlineBeforeStart
	case slotqueue.Canceled:
		return board.ReasonCanceledByCaller
	}
	return reason
}

// admitToQueue adds a job to the queue. If the queue is full of calls that are
// served later, the last one of these makes room.
func (x *Executor) admitToQueue(waiting []queueing.Job, job queueing.Job, slots int) slotqueue.Admission[queueing.Job] {
	admitted := slotqueue.Admission[queueing.Job]{Job: job}
	if !x.hasCustomers() {
		return admitted
	}
	jobs := append(waiting, job)
	x.setStandings(jobs, time.Now())
	switch last := queueing.Overflow(jobs, slots); last {
	case -1:
	case len(waiting):
		admitted.Refusal = board.ReasonOverloaded
	default:
		admitted.Evict = &slotqueue.Eviction{Index: last, Reason: board.ReasonOverloaded}
	}
	return admitted
}

// releaseSlot frees the slot of a call that had it for some time, and replaces the
// expected service by that time.
func (x *Executor) releaseSlot(job queueing.Job, held time.Duration, slots int) {
	x.addService(job, held-queueing.ExpectedService(job), time.Now())
	x.slotUse.release(job)
	x.queue.Release(slots, x.nextJob(slots))
}
