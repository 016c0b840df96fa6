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
	ordered := make([]customerJob, 0, len(jobs))
	for i := range jobs {
		if jobs[i].Customer == 0 {
			jobs[i].Standing = fairshare.Standing{Class: keylessClass}
			continue
		}
		ordered = append(ordered, customerJob{Job: &jobs[i], received: service.ByJob[i], urgency: urgencyOf(jobs[i], now)})
	}
	slices.SortStableFunc(ordered, compareByCustomer)
	var ahead time.Duration
	for i, j := range ordered {
		if i == 0 || ordered[i-1].Customer != j.Customer {
			ahead = 0
		}
		j.Standing = fairshare.Standing{Customer: true, Service: j.received + ahead}
		ahead += max(1, ExpectedService(*j.Job))
	}
}

// customerJob is a waiting job of a customer that received some service.
type customerJob struct {
	*Job
	received time.Duration
	urgency  urgency
}

// compareByCustomer groups jobs by customer. It orders those of one customer by
// rank, then by urgency, then by objective.
func compareByCustomer(a, b customerJob) int {
	switch {
	case a.Customer != b.Customer:
		return cmp.Compare(a.Customer, b.Customer)
	case a.CustomerRank != b.CustomerRank:
		return cmp.Compare(a.CustomerRank, b.CustomerRank)
	case a.Rank != b.Rank:
		return cmp.Compare(a.Rank, b.Rank)
	case a.urgency != b.urgency:
		return cmp.Compare(a.urgency, b.urgency)
	}
	return a.Objective.Compare(b.Objective)
}

// ExpectedService returns the time on a slot to assume for a job that has not run.
func ExpectedService(job Job) time.Duration {
	return time.Duration(max(1, job.MinSlowdown) * float64(job.NominalTime))
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
