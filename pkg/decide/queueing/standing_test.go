package queueing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/fairshare"
)

// jobOfCustomer returns a job of 100 ms of a customer, in time until an objective.
func jobOfCustomer(customer fairshare.Customer, objective time.Duration) Job {
	j := job(1, objective)
	j.Customer = customer
	return j
}

// order returns the indexes of the jobs in the order in which they are served.
func order(jobs []Job, service Service) []int {
	SetStandings(jobs, service, now)
	indexes := make([]int, len(jobs))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(i, j int) int {
		switch {
		case ServedBefore(jobs[i], jobs[j]):
			return -1
		case ServedBefore(jobs[j], jobs[i]):
			return 1
		}
		return 0
	})
	return indexes
}

const s = time.Second

// Guards against a customer with many waiting calls that keeps others waiting.
func TestOrderAmongCustomers(t *testing.T) {
	for name, c := range map[string]struct {
		jobs    []Job
		service Service
		want    []int
	}{
		"least service first": {
			[]Job{jobOfCustomer(1, s), jobOfCustomer(2, 2*s), jobOfCustomer(3, 3*s)}, Service{ByJob: []time.Duration{3 * s, 2 * s, s}, Customers: 6 * s}, []int{2, 1, 0},
		},
		"equal service, earlier objective": {
			[]Job{jobOfCustomer(1, 2*s), jobOfCustomer(2, s)}, Service{ByJob: []time.Duration{s, s}, Customers: 2 * s}, []int{1, 0},
		},
		"customers take turns": {
			[]Job{jobOfCustomer(1, s), jobOfCustomer(1, s), jobOfCustomer(1, s), jobOfCustomer(2, 4*s), jobOfCustomer(2, 4*s)},
			Service{ByJob: make([]time.Duration, 5)}, []int{0, 3, 1, 4, 2},
		},
		"the rank of the customer comes first": {
			[]Job{{Customer: 1, CustomerRank: 1, Objective: now.Add(s)}, {Customer: 2, Objective: now.Add(s)}},
			Service{ByJob: []time.Duration{0, s}, Customers: s}, []int{1, 0},
		},
		"the rank of the rule comes first": {
			[]Job{{Customer: 1, Rank: 1, Objective: now.Add(s)}, {Customer: 2, Objective: now.Add(s)}},
			Service{ByJob: []time.Duration{0, s}, Customers: s}, []int{1, 0},
		},
		"nested calls before new parents": {
			[]Job{jobOfCustomer(1, s), jobOfCustomer(0, 3*s), jobOfCustomer(0, 2*s)},
			Service{ByJob: make([]time.Duration, 3), Keyless: s, Customers: s}, []int{2, 1, 0},
		},
		"calls without a customer have more than their share": {
			[]Job{jobOfCustomer(0, s), jobOfCustomer(1, 2*s), {Customer: 2, Rank: 5, CustomerRank: 3, Objective: now.Add(s)}},
			Service{ByJob: make([]time.Duration, 3), Keyless: 4 * s, Customers: s}, []int{1, 2, 0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, order(c.jobs, c.service))
		})
	}
}

// Guards against callers that retry and are overtaken by new callers of their
// customer until they give up, and against a new call that becomes late because a
// retry that can wait goes first.
func TestRetriesGoBeforeNewCalls(t *testing.T) {
	retry := func(j Job) Job {
		j.Retry = true
		return j
	}
	service := Service{ByJob: make([]time.Duration, 4)}
	require.Equal(t, []int{1, 0}, order([]Job{jobOfCustomer(1, 500*ms), retry(jobOfCustomer(1, 600*ms))}, service))
	require.Equal(t, []int{0, 1}, order([]Job{jobOfCustomer(1, 150*ms), retry(jobOfCustomer(1, 600*ms))}, service), "the new call can't wait")
	require.Equal(t, []int{1, 0}, order([]Job{jobOfCustomer(1, 150*ms), retry(jobOfCustomer(1, 155*ms))}, service), "neither can wait")
	require.Equal(t, []int{0, 1}, order([]Job{jobOfCustomer(2, 500*ms), retry(jobOfCustomer(1, 600*ms))}, service), "another customer")
}

// randomJobs returns jobs that can all be in time.
func randomJobs(r *rand.Rand, customers int) []Job {
	jobs := make([]Job, 1+r.IntN(30))
	for i := range jobs {
		jobs[i] = Job{
			CustomerRank: r.IntN(2), Rank: r.IntN(3), NominalTime: time.Duration(1+r.IntN(100)) * ms, MinSlowdown: 1 + r.Float64(),
			Objective: now.Add(time.Duration(500+r.IntN(1000)) * ms), Retry: r.IntN(3) == 0,
		}
		if customers > 0 {
			jobs[i].Customer = fairshare.Customer(r.IntN(customers))
		}
		if jobs[i].Customer == 0 {
			jobs[i].CustomerRank = 0
		}
	}
	return jobs
}

// Guards against admission and the queue following different orders: the job that
// gets the next slot is the one before which no other is served, and the order is
// transitive, so that the number of jobs before a new one is its place.
func TestNextAgreesWithServedBefore(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		jobs := randomJobs(r, 6)
		service := Service{ByJob: make([]time.Duration, len(jobs)), Keyless: time.Duration(r.IntN(5)) * s, Customers: s}
		byCustomer := map[fairshare.Customer]time.Duration{}
		for i, j := range jobs {
			if _, ok := byCustomer[j.Customer]; !ok {
				byCustomer[j.Customer] = time.Duration(r.IntN(300)) * ms
			}
			service.ByJob[i] = byCustomer[j.Customer]
		}
		indexes := order(jobs, service)
		require.False(t, ServedBefore(jobs[indexes[0]], jobs[Next(jobs, now)]))
		for i, a := range indexes {
			require.False(t, ServedBefore(jobs[a], jobs[a]))
			for _, b := range indexes[i+1:] {
				require.False(t, ServedBefore(jobs[b], jobs[a]))
			}
		}
	}
}

// Guards against a change of the order in deployments without customers: it is that
// of the ranks and the objectives alone.
func TestOrderWithoutCustomersIsUnchanged(t *testing.T) {
	former := func(a, b Job) bool {
		if a.CustomerRank != b.CustomerRank {
			return a.CustomerRank < b.CustomerRank
		}
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.Objective.Before(b.Objective)
	}
	r := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		jobs := randomJobs(r, 0)
		for _, standings := range []bool{false, true} {
			if standings {
				SetStandings(jobs, Service{ByJob: make([]time.Duration, len(jobs)), Keyless: s, Customers: s}, now)
			}
			for _, a := range jobs {
				for _, b := range jobs {
					require.Equal(t, former(a, b), ServedBefore(a, b))
				}
			}
		}
	}
}

// Guards against a queue without bound, and against a small customer that is
// refused for the waiting calls of another one.
func TestOverflowRefusesTheLastJob(t *testing.T) {
	const slots = 2
	jobs := make([]Job, maxWaitingPerSlot*slots)
	for i := range jobs {
		jobs[i] = jobOfCustomer(1, time.Duration(i+1)*s)
	}
	service := Service{ByJob: make([]time.Duration, len(jobs)+1)}
	require.Equal(t, -1, Overflow(jobs, slots))
	withOther := append(slices.Clone(jobs), jobOfCustomer(2, time.Hour))
	SetStandings(withOther, service, now)
	require.Equal(t, len(jobs)-1, Overflow(withOther, slots))
	withSame := append(slices.Clone(jobs), jobOfCustomer(1, time.Hour))
	SetStandings(withSame, service, now)
	require.Equal(t, len(jobs), Overflow(withSame, slots))
}

// Guards against a change of the advice in deployments without customers.
func TestRetryAfterIsUnchanged(t *testing.T) {
	former := func(wait, objectiveLeft, deadlineLeft, nominal time.Duration) time.Duration {
		advice := max(wait, minRetryAfter)
		needed := time.Duration(retryTimeFactor * float64(nominal))
		switch {
		case objectiveLeft-needed > minRetryAfter:
			advice = min(advice, objectiveLeft-needed)
		case deadlineLeft-needed > minRetryAfter:
			advice = min(advice, deadlineLeft-needed)
		}
		return min(advice, maxRetryAfter)
	}
	r := rand.New(rand.NewPCG(5, 6))
	random := func(limit int) time.Duration { return time.Duration(r.IntN(limit)) * ms }
	for range 10_000 {
		wait, objectiveLeft, deadlineLeft, nominal := random(4000), random(1000)-200*ms, random(4000)-200*ms, random(300)
		require.Equal(t, former(wait, objectiveLeft, deadlineLeft, nominal), RetryAfter(wait, objectiveLeft, deadlineLeft, nominal))
	}
}

// Guards against spread advice that is too late for the retry, or too early for a
// call to end, and against a range that shrinks to one moment where there is time.
func TestSpreadRetryAfter(t *testing.T) {
	for name, c := range map[string]struct{ wait, objectiveLeft, deadlineLeft, first, last time.Duration }{
		"from the expected wait":        {100 * ms, 500 * ms, s, 100 * ms, 150 * ms},
		"until the latest useful retry": {s, 330 * ms, s, 100 * ms, 200 * ms},
		"until the deadline":            {s, 0, 530 * ms, 200 * ms, 400 * ms},
		"not before a call can end":     {0, 154 * ms, s, 20 * ms, 24 * ms},
		"too late in any case":          {0, 0, 0, 20 * ms, 30 * ms},
		"long waits":                    {time.Hour, time.Hour, time.Hour, s, 2 * s},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.first, SpreadRetryAfter(c.wait, c.objectiveLeft, c.deadlineLeft, 100*ms, 0))
			require.Equal(t, c.last, SpreadRetryAfter(c.wait, c.objectiveLeft, c.deadlineLeft, 100*ms, 1))
		})
	}
	require.Equal(t, 300*ms, Spread(200*ms, 1))
	require.Equal(t, 200*ms, Spread(200*ms, 0))
}
