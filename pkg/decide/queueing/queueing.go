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
	// NominalTime is its time at usual speed, Floor the least slowdown of the backend
	// server lately; up to 1 is usual.
	NominalTime time.Duration
	MinSlowdown float64
	// Objective is when its answer loses most of its value, Deadline when nobody
	// waits for it any more. Both are points in time of the executor.
	Objective time.Time
	Deadline  time.Time
	// MaxResponseTime is the longest expected time that its sender accepts, because
	// another backend server is expected to take that long; 0 accepts any.
	MaxResponseTime time.Duration
}

// ServedBefore reports whether a is served before b: by rank, then by objective.
func ServedBefore(a, b Job) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Objective.Before(b.Objective)
}

// Result says why a job is not taken.
type Result uint8

// Refusals.
const (
	// Accepted means that the job is taken.
	Accepted Result = iota
	// SlowerThanAlternative means that another backend server is expected to be faster.
	SlowerThanAlternative
	// TooLate means that the job can't be answered before its deadline.
	TooLate
	// QueueFull means that the queue is full.
	QueueFull
)

// Decision is the decision on a new job.
type Decision struct {
	Result Result
	// ResponseTime is the expected time until its answer.
	ResponseTime time.Duration
	// QueueWait is the expected time until a slot is free.
	QueueWait time.Duration
}

// maxWaitingPerSlot bounds the queue by the calls that wait per slot: more could not
// be answered in any usual objective.
const maxWaitingPerSlot = 8

// Admit decides on a new job. Load counts all running jobs and those waiting
// jobs that are served before it.
func Admit(job Job, load estimate.Load, now time.Time) Decision {
	v := Decision{ResponseTime: estimate.ResponseTime(load, job.NominalTime), QueueWait: estimate.QueueWait(load)}
	switch {
	case load.Waiting >= maxWaitingPerSlot*max(1, load.Slots):
		v.Result = QueueFull
	case now.Add(minServiceTime(job)).After(job.Deadline):
		v.Result = TooLate
	case busy(load) && now.Add(v.QueueWait+likelyServiceTime(job, load)).After(job.Objective):
		v.Result = TooLate
	case job.MaxResponseTime > 0 && v.ResponseTime > job.MaxResponseTime:
		v.Result = SlowerThanAlternative
	}
	return v
}

// minServiceShare is the share of its usual time that a job takes at least. Works
// vary by about a third around their mean.
const minServiceShare = 0.6

func minServiceTime(job Job) time.Duration {
	return time.Duration(minServiceShare * max(1, job.MinSlowdown) * float64(job.NominalTime))
}

// likelyServiceShare is the share of its expected time that a job is given when a
// waiting one is judged. About two thirds of all jobs need less.
const likelyServiceShare = 0.9

func likelyServiceTime(job Job, load estimate.Load) time.Duration {
	return time.Duration(likelyServiceShare * float64(load.ServiceTime(job.NominalTime)))
}

// busyThreshold is the share of slots in use from which on a late answer is likely
// to take the place of one in time.
const busyThreshold = 0.8

func busy(load estimate.Load) bool {
	return float64(load.Running+load.Waiting) >= busyThreshold*float64(load.Slots)
}

// LatestStart returns when a waiting job can't meet its objective any more. It is
// refused then: a late answer has lost most of its value and would take the
// slot of one that is in time, and the caller may still come back.
func LatestStart(job Job) time.Time {
	return job.Objective.Add(-minServiceTime(job))
}

// Bounds of the advice when to come back. The least lets one call of a usual
// service end.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns when a refused caller should come back: when the queue
// that refused it is expected to have room, but while its call can still meet
// the objective, else while it can still be answered.
func RetryAfter(wait, objectiveLeft, deadlineLeft, usual time.Duration) time.Duration {
	advice := max(wait, minRetryAfter)
	needed := time.Duration(retryTimeFactor * float64(usual))
	switch {
	case objectiveLeft-needed > minRetryAfter:
		advice = min(advice, objectiveLeft-needed)
	case deadlineLeft-needed > minRetryAfter:
		advice = min(advice, deadlineLeft-needed)
	}
	return min(advice, maxRetryAfter)
}

// retryTimeFactor is the time that a call which comes back needs, relative to its
// usual time: the ways, and a host that is not always at its usual speed.
const retryTimeFactor = 1.3

// Next returns the index of the job that gets a free slot: the first by rank
// and objective among those that can still meet their objective, else the
// first of all. An answer after its objective has lost most of its value, so
// it must not keep another one from being in time.
func Next(jobs []Job, now time.Time) int {
	best, bestLate := 0, true
	for i, job := range jobs {
		late := now.Add(minServiceTime(job)).After(job.Objective)
		switch {
		case i == 0, bestLate && !late:
			best, bestLate = i, late
		case late == bestLate && ServedBefore(job, jobs[best]):
			best = i
		}
	}
	return best
}
