// Package queueing decides which waiting call a backend server runs next and
// which calls it refuses because they can't be answered in time. All functions
// are pure.
package queueing

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/fairshare"
)

// Job is a call that asks for an execution slot of a backend server.
type Job struct {
	// Nested is set for a call that a backend server makes while it runs another one.
	// It is served first: its parent holds a slot meanwhile, and the work of the parent
	// is lost without the response.
	Nested bool
	// CustomerRank is the priority of the customer and Rank that of the rule; 0 is
	// served first.
	CustomerRank int
	Rank         int
	// NominalTime is its service time at normal speed. MinSlowdown is the
	// minimum recent slowdown of the backend server; values up to 1 are
	// normal.
	NominalTime time.Duration
	MinSlowdown float64
	// Objective is the soft deadline, after which a response has lost most of
	// its value. Deadline is the time at which the caller stops waiting. Both
	// are on the clock of the executor.
	Objective time.Time
	Deadline  time.Time
	// EndBy is when the node of the entry or that of the executor ends, zero if neither
	// stops. A call that is at work then is lost.
	EndBy time.Time
	// Entry is the peer address of the entry, "" for the node itself.
	Entry string
	// MaxResponseTime is the longest expected response time that the sender
	// accepts, since another backend server is expected to take that long; 0
	// accepts any.
	MaxResponseTime time.Duration
	// Customer identifies the customer, 0 for none.
	Customer fairshare.Customer
	// Retry is set if the caller retries after a refusal.
	Retry bool
	// Standing is the place among the calls of other customers, see SetStandings.
	Standing fairshare.Standing
}

// ServedBefore reports whether a is served before b: by the class of the standing, nested
// calls first, then by the rank of the customer, the rank of the rule, the standings,
// then by objective.
func ServedBefore(a, b Job) bool {
	if a.Standing.Class != b.Standing.Class {
		return a.Standing.Class < b.Standing.Class
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	if a.CustomerRank != b.CustomerRank {
		return a.CustomerRank < b.CustomerRank
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if order := fairshare.Compare(a.Standing, b.Standing); order != 0 {
		return order < 0
	}
	return a.Objective.Before(b.Objective)
}

// Result is the outcome of admission.
type Result uint8

// Results of admission.
const (
	// Accepted means that the job is admitted.
	Accepted Result = iota
	// SlowerThanAlternative means that another backend server is expected to
	// be faster.
	SlowerThanAlternative
	// TooLate means that the job can't be answered before its deadline, or
	// that the backend server is busy and the job is not expected to meet its
	// objective.
	TooLate
	// QueueFull means that the queue has no room.
	QueueFull
	// NodeStops means that the job is not expected to end before its EndBy.
	NodeStops
)

// Decision is the admission decision on a new job.
type Decision struct {
	Result Result
	// ResponseTime is the expected time until the response.
	ResponseTime time.Duration
	// QueueWait is the expected time until a slot is free.
	QueueWait time.Duration
}

// maxWaitShare bounds the expected wait of a call as a share of the time to its
// objective. Without it the queue of a service with too much load grows until each call
// is answered just before its objective, if its host and its nested calls are as fast as
// expected, and late otherwise. A shorter queue serves as many calls, and sooner.
const maxWaitShare = 0.3

// maxWaitingPerSlot bounds the number of waiting calls per slot. Calls beyond
// it would miss any common objective.
const maxWaitingPerSlot = 8

// Admit decides on a new job. The load counts all running jobs and those
// waiting jobs that are served before it.
func Admit(job Job, load estimate.Load, now time.Time) Decision {
	decision := Decision{ResponseTime: estimate.ResponseTime(load, job.NominalTime), QueueWait: estimate.QueueWait(load)}
	switch {
	case endsTooLate(job, load, decision.QueueWait, now):
		decision.Result = NodeStops
	case load.Waiting >= maxWaitingPerSlot*max(1, load.Slots):
		decision.Result = QueueFull
	case now.Add(MinServiceTime(job)).After(job.Deadline):
		decision.Result = TooLate
	case !job.Nested && busy(load) && float64(decision.QueueWait) > maxWaitShare*float64(job.Objective.Sub(now)):
		decision.Result = TooLate
	case busy(load) && now.Add(decision.QueueWait+likelyServiceTime(job, load)).After(job.Objective):
		decision.Result = TooLate
	case job.MaxResponseTime > 0 && decision.ResponseTime > job.MaxResponseTime:
		decision.Result = SlowerThanAlternative
	}
	return decision
}

// minServiceShare is the smallest share of its nominal time that a job is
// assumed to need. Service times vary by about a third around their mean.
const minServiceShare = 0.6

// MinServiceTime returns the shortest service time to assume for a job.
func MinServiceTime(job Job) time.Duration {
	return time.Duration(minServiceShare * max(1, job.MinSlowdown) * float64(job.NominalTime))
}

// likelyServiceShare is the share of its expected service time that a job is
// assumed to need on a busy backend server. About two thirds of all jobs need
// less.
const likelyServiceShare = 0.9

// likelyServiceTime returns the service time to assume for a job on a busy
// backend server.
func likelyServiceTime(job Job, load estimate.Load) time.Duration {
	return time.Duration(likelyServiceShare * float64(load.ServiceTime(job.NominalTime)))
}

// busyThreshold is the share of slots in use from which a late call is likely
// to delay a call that could meet its objective.
const busyThreshold = 0.8

// busy reports whether the load has reached busyThreshold.
func busy(load estimate.Load) bool {
	return float64(load.Running+load.Waiting) >= busyThreshold*float64(load.Slots)
}

// LatestStart returns the time after which a waiting job can no longer meet its
// objective. It is refused then: a late response has lost most of its value, the
// job would take the slot of one that can be in time, and the caller may still
// retry.
func LatestStart(job Job) time.Time {
	return job.Objective.Add(-MinServiceTime(job))
}

// Bounds of the Retry-After advice. The lower one is long enough for one call
// of a typical service to end.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns how long a refused caller should wait before it retries.
// That is the expected queue wait, shortened so that the retry can still meet
// the objective or, when that is not possible, the deadline.
func RetryAfter(wait, objectiveLeft, deadlineLeft, nominal time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), latestRetry(objectiveLeft, deadlineLeft, nominal))
}

// latestRetry returns the longest useful advice: the retry can meet the objective
// or, when that is not possible, the deadline.
func latestRetry(objectiveLeft, deadlineLeft, nominal time.Duration) time.Duration {
	needed := time.Duration(retryTimeFactor * float64(nominal))
	switch {
	case objectiveLeft-needed > minRetryAfter:
		return min(objectiveLeft-needed, maxRetryAfter)
	case deadlineLeft-needed > minRetryAfter:
		return min(deadlineLeft-needed, maxRetryAfter)
	}
	return maxRetryAfter
}

// retrySpread is the width of the range of SpreadRetryAfter, relative to the
// advice.
const retrySpread = 0.5

// SpreadRetryAfter returns the advice of RetryAfter at a position from 0 to 1 within
// a range of half its length, so that callers that were refused together do not
// retry together. The range begins at the advice, or ends at the latest useful one.
func SpreadRetryAfter(wait, objectiveLeft, deadlineLeft, nominal time.Duration, position float64) time.Duration {
	advice := RetryAfter(wait, objectiveLeft, deadlineLeft, nominal)
	width := time.Duration(retrySpread * float64(advice))
	last := min(advice+width, latestRetry(objectiveLeft, deadlineLeft, nominal))
	first := max(last-width, minRetryAfter)
	return first + time.Duration(position*float64(last-first))
}

// Spread returns a fixed Retry-After at a position from 0 to 1 within the range from
// it to half more.
func Spread(advice time.Duration, position float64) time.Duration {
	return advice + time.Duration(position*retrySpread*float64(advice))
}

// IsRetry reports whether a caller has been refused before, from the time that its
// earlier attempts have taken: a refused caller waits at least minRetryAfter.
func IsRetry(timeUsed time.Duration) bool { return timeUsed >= minRetryAfter }

// retryTimeFactor is the time that a retry needs, as a multiple of the nominal
// time. It covers the network latency and a host below normal speed.
const retryTimeFactor = 1.3

// Next returns the index of the job that gets a free slot: the first by rank
// and objective among the jobs that can still meet their objective, else the
// first of all. A response after its objective has lost most of its value, so
// a late job must not make another one late.
func Next(jobs []Job, now time.Time) int {
	best, bestLate := 0, true
	for i, job := range jobs {
		late := now.Add(MinServiceTime(job)).After(job.Objective)
		switch {
		case i == 0, bestLate && !late:
			best, bestLate = i, late
		case late == bestLate && ServedBefore(job, jobs[best]):
			best = i
		}
	}
	return best
}

// NextNested returns the index of the nested job that gets a free slot which other jobs
// may not use, or -1 if no nested job waits.
func NextNested(jobs []Job, now time.Time) int {
	var nested []Job
	var indexes []int
	for i, job := range jobs {
		if job.Nested {
			nested, indexes = append(nested, job), append(indexes, i)
		}
	}
	if len(nested) == 0 {
		return -1
	}
	return indexes[Next(nested, now)]
}
