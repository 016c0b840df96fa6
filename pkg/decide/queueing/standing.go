package queueing

import (
	"cmp"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/decide/fairshare"
)

// Service is the service that calls received lately at a backend server.
type Service struct {
	// ByJob is the service of the customer of each job, in the order of the jobs.
	ByJob []time.Duration
	// Keyless and Customers are those of all calls without and with a customer.
	Keyless, Customers time.Duration
}

// SetStandings sets the standings of all jobs that wait for a slot of a backend
// server. A job of a customer counts the jobs of the same customer that go before
// it as served, so that the order of the jobs is that in which they get slots while
// no other job arrives, and the number of jobs before a new one is not that of its
// customer's first job.
func SetStandings(jobs []Job, service Service, now time.Time) {
	keylessClass := fairshare.Regular
	if !fairshare.KeylessFirst(service.Keyless, service.Customers) {
		keylessClass = fairshare.Deferred
	}
	byCustomer := make([]int, 0, len(jobs))
	for i := range jobs {
		if jobs[i].Customer == 0 {
			jobs[i].Standing = fairshare.Standing{Class: keylessClass}
			continue
		}
		byCustomer = append(byCustomer, i)
	}
	slices.SortFunc(byCustomer, func(i, j int) int {
		return cmp.Or(cmp.Compare(jobs[i].Customer, jobs[j].Customer), compareOfCustomer(jobs[i], jobs[j], now), cmp.Compare(i, j))
	})
	var ahead time.Duration
	for n, i := range byCustomer {
		if n == 0 || jobs[byCustomer[n-1]].Customer != jobs[i].Customer {
			ahead = 0
		}
		jobs[i].Standing = fairshare.Standing{Customer: true, Service: service.ByJob[i] + ahead}
		ahead += max(1, ExpectedService(jobs[i]))
	}
}

// ExpectedService returns the time on a slot to assume for a job that has not run.
func ExpectedService(job Job) time.Duration {
	return time.Duration(max(1, job.MinSlowdown) * float64(job.NominalTime))
}

// compareOfCustomer orders two jobs of one customer: by rank, then by urgency, then
// by objective.
func compareOfCustomer(a, b Job, now time.Time) int {
	return cmp.Or(cmp.Compare(a.CustomerRank, b.CustomerRank), cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(urgencyOf(a, now), urgencyOf(b, now)), a.Objective.Compare(b.Objective))
}

// urgency orders the jobs of one customer and rank.
type urgency uint8

const (
	// pressingRetry and pressingNew are jobs that can't be in time once another
	// call has run before them.
	pressingRetry urgency = iota
	pressingNew
	// waitingRetry and waitingNew are jobs that can be in time then. A caller that
	// retries has been refused before and has less time left for further attempts.
	waitingRetry
	waitingNew
)

func urgencyOf(job Job, now time.Time) urgency {
	u := waitingNew
	if now.Add(ExpectedService(job)).After(LatestStart(job)) {
		u = pressingNew
	}
	if job.Retry {
		u--
	}
	return u
}

// Overflow returns the index of the waiting job that is refused because the queue
// of a backend server with customers is too long, or -1 if there is room for all.
// It is the job that is served last, so a customer with many waiting calls makes
// room for the others.
func Overflow(jobs []Job, slots int) int {
	if len(jobs) <= maxWaitingPerSlot*max(1, slots) {
		return -1
	}
	last := 0
	for i := range jobs {
		if !ServedBefore(jobs[i], jobs[last]) {
			last = i
		}
	}
	return last
}
