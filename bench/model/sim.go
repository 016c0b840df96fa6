package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/pick/earliest"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// policy is a combination of load balancing, queueing and admission decisions.
type policy struct {
	name string
	// pickServer selects the server for an offer.
	pickServer func(sim *simulation, c *call) *server
	// priorityOrder takes calls from the queue in the order of queueing.Next
	// instead of the order of arrival.
	priorityOrder bool
	// admissionControl lets servers refuse calls by queueing.Admit and
	// queueing.LatestStart.
	admissionControl bool
	// maxOffers is the number of servers to which a call is offered before it is
	// refused to the caller.
	maxOffers int
	// adaptiveLimit applies the adaptive concurrency limit of a server.
	adaptiveLimit bool
}

var policies = []policy{
	{name: "random, fifo", pickServer: pickRandom, maxOffers: 1},
	{name: "two choices, fifo", pickServer: pickTwoChoices, maxOffers: 1},
	{name: "two choices, ranked", pickServer: pickTwoChoices, priorityOrder: true, maxOffers: 1},
	{name: "earliest, fifo", pickServer: pickEarliest, maxOffers: 1},
	{name: "earliest, ranked", pickServer: pickEarliest, priorityOrder: true, maxOffers: 1},
	{name: "earliest, ranked, refusals", pickServer: pickEarliest, priorityOrder: true, admissionControl: true, maxOffers: 1},
	{name: "with offers", pickServer: pickEarliest, priorityOrder: true, admissionControl: true, maxOffers: 4},
	{name: "in use", pickServer: pickEarliest, priorityOrder: true, admissionControl: true, maxOffers: 4, adaptiveLimit: true},
}

const (
	// tickInterval is the resolution of the simulated clock.
	tickInterval = time.Millisecond
	// offerDelay is the time until a refused call is offered to the next server.
	offerDelay = 2 * time.Millisecond
	// maxRetries is how often a caller retries a refused call.
	maxRetries = 1
	// serviceTimeSpread is the standard deviation of service times relative to
	// their mean.
	serviceTimeSpread = 0.3
)

// call is a call with all its offers and retries.
type call struct {
	class     *callClass
	arrivedAt time.Time
	// nextOfferAt is when the next offer is made.
	nextOfferAt time.Time
	retries     int
	// triedServers are the servers that refused the call since the last retry.
	triedServers []*server
	// remainingWork is the remaining service time on a server without slowdown.
	remainingWork time.Duration
	job           queueing.Job
}

// server is a backend server with the queue of its executor.
type server struct {
	slowdown   float64
	running    []*call
	waiting    []*call
	limitState concurrency.State
	// knownLoad is the load that the entry nodes learned at the last offer, which
	// was at knownLoadAt.
	knownLoad   estimate.Load
	knownLoadAt time.Time
}

// outcomeCounts counts the calls of a class by outcome. A late call got its
// response after its objective, a failed call exceeded its deadline.
type outcomeCounts struct{ total, onTime, late, refused, failed int }

// simulation is the state of one run.
type simulation struct {
	scenario     *scenario
	policy       policy
	rng          *rand.Rand
	now          time.Time
	servers      []*server
	callsToOffer []*call
	outcomes     map[string]*outcomeCounts
}

// simulate runs a scenario under a policy and returns the outcomes by call class.
func simulate(s *scenario, p policy, seed uint64) map[string]*outcomeCounts {
	sim := &simulation{scenario: s, policy: p, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), outcomes: map[string]*outcomeCounts{}}
	for range s.serverCount {
		sim.servers = append(sim.servers, &server{slowdown: 1, knownLoad: estimate.Load{Slots: s.slotsPerServer}})
	}
	for _, class := range s.callClasses {
		sim.outcomes[class.name] = &outcomeCounts{}
	}
	end := sim.now.Add(s.duration)
	for tick := 0; sim.now.Before(end); tick++ {
		if time.Duration(tick)*tickInterval%s.noisePeriod == 0 {
			sim.drawNoisyServers()
		}
		sim.generateArrivals()
		sim.makeDueOffers()
		for _, srv := range sim.servers {
			sim.advanceServer(srv)
		}
		sim.now = sim.now.Add(tickInterval)
	}
	return sim.outcomes
}

// drawNoisyServers selects at random the servers that are slow in this noise
// period.
func (sim *simulation) drawNoisyServers() {
	for _, srv := range sim.servers {
		srv.slowdown = 1
		if sim.rng.Float64() < sim.scenario.noisyShare {
			srv.slowdown = sim.scenario.noisySlowdown
		}
	}
}

// generateArrivals adds the calls that arrive in this tick. Their number is random;
// its mean is the rate of the class times the tick.
func (sim *simulation) generateArrivals() {
	for _, class := range sim.scenario.callClasses {
		for rate := class.rate * tickInterval.Seconds(); rate > 0; rate-- {
			if sim.rng.Float64() >= rate {
				continue
			}
			sim.outcomes[class.name].total++
			factor := 1 + serviceTimeSpread*sim.rng.NormFloat64()
			sim.callsToOffer = append(sim.callsToOffer, &call{
				class: class, arrivedAt: sim.now, nextOfferAt: sim.now, remainingWork: time.Duration(max(0.2, factor) * float64(class.serviceTime)),
				job: queueing.Job{Rank: class.rank, NominalTime: class.serviceTime, Objective: sim.now.Add(class.responseTimeObjective), Deadline: sim.now.Add(class.deadline)},
			})
		}
	}
}

// makeDueOffers makes the offers that are due.
func (sim *simulation) makeDueOffers() {
	pending := sim.callsToOffer
	sim.callsToOffer = nil
	for _, c := range pending {
		if c.nextOfferAt.After(sim.now) {
			sim.callsToOffer = append(sim.callsToOffer, c)
			continue
		}
		sim.offerCall(c)
	}
}

// offerCall offers the call to a server, which queues or refuses it. In all
// offers but the last, the server must also expect a response time close to that
// of an idle server.
func (sim *simulation) offerCall(c *call) {
	srv := sim.policy.pickServer(sim, c)
	load := sim.loadOf(srv)
	srv.knownLoad, srv.knownLoadAt = load, sim.now
	if sim.policy.admissionControl {
		lastOffer := len(c.triedServers)+1 >= sim.policy.maxOffers
		job := c.job
		if !lastOffer {
			job.MaxResponseTime = estimate.Speed{}.ServiceTime(c.class.serviceTime) + 5*offerDelay
		}
		if decision := queueing.Admit(job, load, sim.now); decision.Result != queueing.Accepted {
			sim.handleRefusal(c, srv, decision, lastOffer)
			return
		}
	}
	srv.waiting = append(srv.waiting, c)
}

// handleRefusal schedules the offer to the next server or, after the last offer,
// the caller's retry.
func (sim *simulation) handleRefusal(c *call, srv *server, decision queueing.Decision, lastOffer bool) {
	c.triedServers = append(c.triedServers, srv)
	if !lastOffer {
		c.nextOfferAt = sim.now.Add(offerDelay)
		sim.callsToOffer = append(sim.callsToOffer, c)
		return
	}
	retryAfter := queueing.RetryAfter(decision.QueueWait, c.job.Objective.Sub(sim.now), c.job.Deadline.Sub(sim.now), c.class.serviceTime)
	if c.retries >= maxRetries || sim.now.Add(retryAfter).After(c.job.Deadline) {
		sim.outcomes[c.class.name].refused++
		return
	}
	c.retries++
	c.triedServers = nil
	c.nextOfferAt = sim.now.Add(min(retryAfter, c.job.Deadline.Sub(sim.now)/3))
	sim.callsToOffer = append(sim.callsToOffer, c)
}

func (sim *simulation) loadOf(srv *server) estimate.Load {
	return estimate.Load{
		Running: len(srv.running), Waiting: len(srv.waiting), Slots: sim.concurrencyLimit(srv), Speed: estimate.Speed{Slowdown: srv.slowdown}, MeanServiceTime: sim.meanServiceTime(),
	}
}

func (sim *simulation) concurrencyLimit(srv *server) int {
	if sim.policy.adaptiveLimit {
		return srv.limitState.Limit(sim.scenario.slotsPerServer, board.ContentionUnknown, true, sim.now)
	}
	return sim.scenario.slotsPerServer
}

func (sim *simulation) meanServiceTime() time.Duration {
	total, rate := 0.0, 0.0
	for _, class := range sim.scenario.callClasses {
		total += class.rate * float64(class.serviceTime)
		rate += class.rate
	}
	return time.Duration(total / max(rate, 1))
}

// advanceServer runs the calls of a server for one tick.
func (sim *simulation) advanceServer(srv *server) {
	sim.startWaitingCalls(srv)
	factor := srv.slowdown * sim.contentionFactor(len(srv.running))
	running := len(srv.running)
	srv.running = slices.DeleteFunc(srv.running, func(c *call) bool {
		c.remainingWork -= time.Duration(float64(tickInterval) / factor)
		if c.remainingWork > 0 && sim.now.Before(c.job.Deadline) {
			return false
		}
		sim.recordOutcome(c)
		srv.limitState = concurrency.Next(srv.limitState, concurrency.Sample{
			RelativeTime: sim.contentionFactor(running), Running: running, Slots: sim.scenario.slotsPerServer, MaxSlowdown: srv.slowdown,
		}, sim.now)
		return true
	})
}

// contentionFactor returns the factor by which contention between running calls
// lengthens service times.
func (sim *simulation) contentionFactor(running int) float64 {
	excess := float64(running)/float64(sim.scenario.slotsPerServer) - sim.scenario.contentionThreshold
	if excess <= 0 || sim.scenario.contentionThreshold >= 1 {
		return 1
	}
	return 1 + (sim.scenario.maxContentionFactor-1)*excess/(1-sim.scenario.contentionThreshold)
}

// startWaitingCalls starts waiting calls in free slots. Calls past their deadline
// fail. With admission control, calls that can no longer meet their objective are
// refused.
func (sim *simulation) startWaitingCalls(srv *server) {
	for len(srv.waiting) > 0 && len(srv.running) < sim.concurrencyLimit(srv) {
		next := 0
		if sim.policy.priorityOrder {
			jobs := make([]queueing.Job, len(srv.waiting))
			for i, c := range srv.waiting {
				jobs[i] = c.job
			}
			next = queueing.Next(jobs, sim.now)
		}
		c := srv.waiting[next]
		srv.waiting = slices.Delete(srv.waiting, next, next+1)
		switch {
		case sim.now.After(c.job.Deadline):
			sim.outcomes[c.class.name].failed++
		case sim.policy.admissionControl && sim.now.After(queueing.LatestStart(c.job)):
			sim.outcomes[c.class.name].refused++
		default:
			srv.running = append(srv.running, c)
		}
	}
}

func (sim *simulation) recordOutcome(c *call) {
	counts := sim.outcomes[c.class.name]
	switch {
	case c.remainingWork > 0:
		counts.failed++
	case sim.now.After(c.job.Objective):
		counts.late++
	default:
		counts.onTime++
	}
}

func pickRandom(sim *simulation, _ *call) *server { return sim.servers[sim.rng.IntN(len(sim.servers))] }

func pickTwoChoices(sim *simulation, c *call) *server {
	a, b := pickRandom(sim, c), pickRandom(sim, c)
	if len(a.running)+len(a.waiting) <= len(b.running)+len(b.waiting) {
		return a
	}
	return b
}

// pickEarliest selects the server with the least expected response time. The
// numbers of running and waiting calls are current; speed, limit and mean service
// time are those known from the last offer.
func pickEarliest(sim *simulation, c *call) *server {
	candidates := make([]earliest.Candidate, len(sim.servers))
	for i, srv := range sim.servers {
		candidates[i] = earliest.Candidate{Load: srv.knownLoad, LoadAge: sim.now.Sub(srv.knownLoadAt), Excluded: slices.Contains(c.triedServers, srv)}
		candidates[i].Load.Running, candidates[i].Load.Waiting = len(srv.running), len(srv.waiting)
	}
	choice, _ := earliest.Choose(candidates, c.class.serviceTime, offerDelay, sim.rng.Uint64())
	return sim.servers[choice.Index]
}
