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

// policy is a combination of decisions to compare.
type policy struct {
	name string
	// pickServer selects the server for an offer.
	pickServer func(m *simulation, c *call) *server
	// priorityOrder takes calls from the queue by queueing.Next, else in order of
	// arrival.
	priorityOrder bool
	// admissionControl lets servers refuse calls by queueing.Admit and
	// queueing.LatestStart.
	admissionControl bool
	// maxOffers is the number of servers to which a call is offered before the
	// caller gets a refusal.
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
	// offerDelay is the time that each further offer takes.
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
	// nextAttemptAt is when the next offer is made.
	nextAttemptAt time.Time
	retries       int
	// triedServers are the servers that refused the call since the last retry.
	triedServers []*server
	// remainingWork is the service time left on an undisturbed server.
	remainingWork time.Duration
	job           queueing.Job
}

// server is a backend server with the queue of its executor.
type server struct {
	slowdown   float64
	running    []*call
	waiting    []*call
	limitState concurrency.State
	// knownLoad is the load that the callers' nodes know from the last offer, at
	// knownLoadAt.
	knownLoad   estimate.Load
	knownLoadAt time.Time
}

// outcomeCounts counts the calls of a class by outcome. A late call was answered
// after its objective, a failed call exceeded its deadline.
type outcomeCounts struct{ total, onTime, late, refused, failed int }

// simulation is the state of one run.
type simulation struct {
	scenario     *scenario
	policy       policy
	rng          *rand.Rand
	now          time.Time
	servers      []*server
	pendingCalls []*call
	outcomes     map[string]*outcomeCounts
}

// simulate runs a scenario under a policy and returns the outcomes by call class.
func simulate(s *scenario, p policy, seed uint64) map[string]*outcomeCounts {
	m := &simulation{scenario: s, policy: p, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), outcomes: map[string]*outcomeCounts{}}
	for range s.serverCount {
		m.servers = append(m.servers, &server{slowdown: 1, knownLoad: estimate.Load{Slots: s.slotsPerServer}})
	}
	for _, class := range s.callClasses {
		m.outcomes[class.name] = &outcomeCounts{}
	}
	end := m.now.Add(s.duration)
	for tick := 0; m.now.Before(end); tick++ {
		if time.Duration(tick)*tickInterval%s.noisePeriod == 0 {
			m.drawNoisyServers()
		}
		m.generateArrivals()
		m.makeDueAttempts()
		for _, srv := range m.servers {
			m.advanceServer(srv)
		}
		m.now = m.now.Add(tickInterval)
	}
	return m.outcomes
}

// drawNoisyServers selects at random the servers that are slow in this noise
// period.
func (m *simulation) drawNoisyServers() {
	for _, srv := range m.servers {
		srv.slowdown = 1
		if m.rng.Float64() < m.scenario.noisyShare {
			srv.slowdown = m.scenario.noisySlowdown
		}
	}
}

// generateArrivals adds the calls that arrive in this tick. Each arrives with the
// probability given by the rate.
func (m *simulation) generateArrivals() {
	for _, class := range m.scenario.callClasses {
		for rate := class.rate * tickInterval.Seconds(); rate > 0; rate-- {
			if m.rng.Float64() >= rate {
				continue
			}
			m.outcomes[class.name].total++
			factor := 1 + serviceTimeSpread*m.rng.NormFloat64()
			m.pendingCalls = append(m.pendingCalls, &call{
				class: class, arrivedAt: m.now, nextAttemptAt: m.now, remainingWork: time.Duration(max(0.2, factor) * float64(class.serviceTime)),
				job: queueing.Job{Rank: class.rank, NominalTime: class.serviceTime, Objective: m.now.Add(class.responseTimeObjective), Deadline: m.now.Add(class.deadline)},
			})
		}
	}
}

// makeDueAttempts offers the pending calls whose time has come.
func (m *simulation) makeDueAttempts() {
	pending := m.pendingCalls
	m.pendingCalls = nil
	for _, c := range pending {
		if c.nextAttemptAt.After(m.now) {
			m.pendingCalls = append(m.pendingCalls, c)
			continue
		}
		m.offerCall(c)
	}
}

// offerCall offers the call to a server, which queues or refuses it. Before the
// last offer, a call also asks for a response time close to that of an idle
// server.
func (m *simulation) offerCall(c *call) {
	srv := m.policy.pickServer(m, c)
	load := m.loadOf(srv)
	srv.knownLoad, srv.knownLoadAt = load, m.now
	if m.policy.admissionControl {
		lastOffer := len(c.triedServers)+1 >= m.policy.maxOffers
		job := c.job
		if !lastOffer {
			job.MaxResponseTime = estimate.Speed{}.ServiceTime(c.class.serviceTime) + 5*offerDelay
		}
		if decision := queueing.Admit(job, load, m.now); decision.Result != queueing.Accepted {
			m.handleRefusal(c, srv, decision, lastOffer)
			return
		}
	}
	srv.waiting = append(srv.waiting, c)
}

// handleRefusal schedules the offer to the next server or, after the last offer,
// the caller's retry.
func (m *simulation) handleRefusal(c *call, srv *server, decision queueing.Decision, lastOffer bool) {
	c.triedServers = append(c.triedServers, srv)
	if !lastOffer {
		c.nextAttemptAt = m.now.Add(offerDelay)
		m.pendingCalls = append(m.pendingCalls, c)
		return
	}
	retryAfter := queueing.RetryAfter(decision.QueueWait, c.job.Objective.Sub(m.now), c.job.Deadline.Sub(m.now), c.class.serviceTime)
	if c.retries >= maxRetries || m.now.Add(retryAfter).After(c.job.Deadline) {
		m.outcomes[c.class.name].refused++
		return
	}
	c.retries++
	c.triedServers = nil
	c.nextAttemptAt = m.now.Add(min(retryAfter, c.job.Deadline.Sub(m.now)/3))
	m.pendingCalls = append(m.pendingCalls, c)
}

func (m *simulation) loadOf(srv *server) estimate.Load {
	return estimate.Load{
		Running: len(srv.running), Waiting: len(srv.waiting), Slots: m.concurrencyLimit(srv), Speed: estimate.Speed{Slowdown: srv.slowdown}, MeanServiceTime: m.meanServiceTime(),
	}
}

func (m *simulation) concurrencyLimit(srv *server) int {
	if m.policy.adaptiveLimit {
		return srv.limitState.Limit(m.scenario.slotsPerServer, board.ContentionUnknown, m.now)
	}
	return m.scenario.slotsPerServer
}

func (m *simulation) meanServiceTime() time.Duration {
	total, rate := 0.0, 0.0
	for _, class := range m.scenario.callClasses {
		total += class.rate * float64(class.serviceTime)
		rate += class.rate
	}
	return time.Duration(total / max(rate, 1))
}

// advanceServer runs the calls of a server for one tick.
func (m *simulation) advanceServer(srv *server) {
	m.startWaitingCalls(srv)
	factor := srv.slowdown * m.contentionFactor(len(srv.running))
	running := len(srv.running)
	srv.running = slices.DeleteFunc(srv.running, func(c *call) bool {
		c.remainingWork -= time.Duration(float64(tickInterval) / factor)
		if c.remainingWork > 0 && m.now.Before(c.job.Deadline) {
			return false
		}
		m.recordOutcome(c)
		srv.limitState = concurrency.Next(srv.limitState, concurrency.Sample{
			RelativeTime: m.contentionFactor(running), Running: running, Slots: m.scenario.slotsPerServer, MaxSlowdown: srv.slowdown,
		}, m.now)
		return true
	})
}

// contentionFactor returns the factor by which contention between running calls
// lengthens service times.
func (m *simulation) contentionFactor(running int) float64 {
	excess := float64(running)/float64(m.scenario.slotsPerServer) - m.scenario.contentionThreshold
	if excess <= 0 || m.scenario.contentionThreshold >= 1 {
		return 1
	}
	return 1 + (m.scenario.maxContentionFactor-1)*excess/(1-m.scenario.contentionThreshold)
}

// startWaitingCalls starts waiting calls in free slots. Calls past
// their deadline fail. With admission control, calls that can't meet their
// objective any more are refused.
func (m *simulation) startWaitingCalls(srv *server) {
	for len(srv.waiting) > 0 && len(srv.running) < m.concurrencyLimit(srv) {
		next := 0
		if m.policy.priorityOrder {
			jobs := make([]queueing.Job, len(srv.waiting))
			for i, c := range srv.waiting {
				jobs[i] = c.job
			}
			next = queueing.Next(jobs, m.now)
		}
		c := srv.waiting[next]
		srv.waiting = slices.Delete(srv.waiting, next, next+1)
		switch {
		case m.now.After(c.job.Deadline):
			m.outcomes[c.class.name].failed++
		case m.policy.admissionControl && m.now.After(queueing.LatestStart(c.job)):
			m.outcomes[c.class.name].refused++
		default:
			srv.running = append(srv.running, c)
		}
	}
}

func (m *simulation) recordOutcome(c *call) {
	counts := m.outcomes[c.class.name]
	switch {
	case c.remainingWork > 0:
		counts.failed++
	case m.now.After(c.job.Objective):
		counts.late++
	default:
		counts.onTime++
	}
}

func pickRandom(m *simulation, _ *call) *server { return m.servers[m.rng.IntN(len(m.servers))] }

func pickTwoChoices(m *simulation, c *call) *server {
	a, b := pickRandom(m, c), pickRandom(m, c)
	if len(a.running)+len(a.waiting) <= len(b.running)+len(b.waiting) {
		return a
	}
	return b
}

// pickEarliest selects the server with the least expected response time. The
// numbers of running and waiting calls are current; speed, limit and mean service
// time are those known from the last offer.
func pickEarliest(m *simulation, c *call) *server {
	candidates := make([]earliest.Candidate, len(m.servers))
	for i, srv := range m.servers {
		candidates[i] = earliest.Candidate{Load: srv.knownLoad, LoadAge: m.now.Sub(srv.knownLoadAt), Excluded: slices.Contains(c.triedServers, srv)}
		candidates[i].Load.Running, candidates[i].Load.Waiting = len(srv.running), len(srv.waiting)
	}
	choice, _ := earliest.Choose(candidates, c.class.serviceTime, offerDelay, m.rng.Uint64())
	return m.servers[choice.Index]
}
