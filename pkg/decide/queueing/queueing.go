// Package queueing decides which calls a backend server runs next and which are
// refused because they can't be answered in time. All functions are pure.
package queueing

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

// Job is a call that asks for a slot.
type Job struct {
	// Rank orders jobs, 0 first.
	Rank int
	// Usual is its time at usual speed, Floor the least slowdown of the backend
	// server lately; up to 1 is usual.
	Usual time.Duration
	Floor float64
	// Objective is when its answer loses most of its value, Deadline when nobody
	// waits for it any more. Both are points in time of the executor.
	Objective time.Time
	Deadline  time.Time
	// Patience is the longest expected time that its sender accepts, because
	// another backend server is expected to take that long; 0 accepts any.
	Patience time.Duration
}

// Before reports whether a is served before b: by rank, then by objective.
func Before(a, b Job) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Objective.Before(b.Objective)
}

// Refusal says why a job is not taken.
type Refusal uint8

// Refusals.
const (
	// Accepted means that the job is taken.
	Accepted Refusal = iota
	// Slower means that another backend server is expected to be faster.
	Slower
	// TooLate means that the job can't be answered before its deadline.
	TooLate
	// Full means that the queue is full.
	Full
)

// Verdict is the decision on a new job.
type Verdict struct {
	Refusal Refusal
	// Expected is the expected time until its answer.
	Expected time.Duration
	// Wait is the expected time until a slot is free.
	Wait time.Duration
}

// mostWaiting bounds the queue by the calls that wait per slot: more could not
// be answered in any usual objective.
const mostWaiting = 8

// Judge decides on a new job. Load counts all running jobs and those waiting
// jobs that are served before it.
func Judge(job Job, load estimate.Load, now time.Time) Verdict {
	v := Verdict{Expected: estimate.Finish(load, job.Usual), Wait: estimate.Wait(load)}
	switch {
	case load.Waiting >= mostWaiting*max(1, load.Slots):
		v.Refusal = Full
	case now.Add(leastWork(job)).After(job.Deadline):
		v.Refusal = TooLate
	case busy(load) && now.Add(v.Wait+likelyWork(job, load)).After(job.Objective):
		v.Refusal = TooLate
	case job.Patience > 0 && v.Expected > job.Patience:
		v.Refusal = Slower
	}
	return v
}

// leastShare is the share of its usual time that a job takes at least. Works
// vary by about a third around their mean.
const leastShare = 0.6

func leastWork(job Job) time.Duration {
	return time.Duration(leastShare * max(1, job.Floor) * float64(job.Usual))
}

// likelyShare is the share of its expected time that a job is given when a
// waiting one is judged. About two thirds of all jobs need less.
const likelyShare = 0.9

func likelyWork(job Job, load estimate.Load) time.Duration {
	return time.Duration(likelyShare * float64(load.Work(job.Usual)))
}

// busyShare is the share of slots in use from which on a late answer is likely
// to take the place of one in time.
const busyShare = 0.8

func busy(load estimate.Load) bool {
	return float64(load.Running+load.Waiting) >= busyShare*float64(load.Slots)
}

// Expires returns when a waiting job can't meet its objective any more. It is
// refused then: a late answer has lost most of its value and would take the
// slot of one that is in time, and the caller may still come back.
func Expires(job Job) time.Time {
	return job.Objective.Add(-leastWork(job))
}

// Bounds of the advice when to come back. The least lets one call of a usual
// service end.
const (
	leastRetryAfter = 20 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
)

// RetryAfter returns when a refused caller should come back: when the queue
// that refused it is expected to have room, but while its call can still meet
// the objective, else while it can still be answered.
func RetryAfter(wait, objectiveLeft, deadlineLeft, usual time.Duration) time.Duration {
	advice := max(wait, leastRetryAfter)
	needed := time.Duration(neededShare * float64(usual))
	switch {
	case objectiveLeft-needed > leastRetryAfter:
		advice = min(advice, objectiveLeft-needed)
	case deadlineLeft-needed > leastRetryAfter:
		advice = min(advice, deadlineLeft-needed)
	}
	return min(advice, mostRetryAfter)
}

// neededShare is the time that a call which comes back needs, relative to its
// usual time: the ways, and a host that is not always at its usual speed.
const neededShare = 1.3

// Next returns the index of the job that gets a free slot: the first by rank
// and objective among those that can still meet their objective, else the
// first of all. An answer after its objective has lost most of its value, so
// it must not keep another one from being in time.
func Next(jobs []Job, now time.Time) int {
	best, bestLate := 0, true
	for i, job := range jobs {
		late := now.Add(leastWork(job)).After(job.Objective)
		switch {
		case i == 0, bestLate && !late:
			best, bestLate = i, late
		case late == bestLate && Before(job, jobs[best]):
			best = i
		}
	}
	return best
}
