package queueing

import (
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

// stopServiceShare is the share of its expected service time that a call has to have
// left before its EndBy. Service times vary by about a third around their mean, and a
// call that is cut off at its end may have to be reported as unknown.
const stopServiceShare = 1.3

// endsTooLate reports whether a job that waits for some time is not expected to end
// before its EndBy.
func endsTooLate(job Job, load estimate.Load, wait time.Duration, now time.Time) bool {
	if job.EndBy.IsZero() {
		return false
	}
	service := time.Duration(stopServiceShare * float64(load.ServiceTime(job.NominalTime)))
	return now.Add(wait + service).After(job.EndBy)
}

// Unfinishable returns the indexes, in rising order, of the waiting jobs that are not
// expected to end before their EndBy. A job that is refused makes room for those behind
// it. The load counts no waiting jobs.
func Unfinishable(waiting []Job, load estimate.Load, now time.Time) []int {
	order := make([]int, len(waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case ServedBefore(waiting[a], waiting[b]):
			return -1
		case ServedBefore(waiting[b], waiting[a]):
			return 1
		}
		return 0
	})
	var refused []int
	load.Waiting = 0
	for _, i := range order {
		if endsTooLate(waiting[i], load, estimate.QueueWait(load), now) {
			refused = append(refused, i)
		} else {
			load.Waiting++
		}
	}
	slices.Sort(refused)
	return refused
}

// CanStart reports whether a job that gets its slot now may still end before its EndBy.
func CanStart(job Job, now time.Time) bool {
	return job.EndBy.IsZero() || !now.Add(MinServiceTime(job)).After(job.EndBy)
}
