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

// policy is a combination of decisions.
type policy struct {
	name string
	// place chooses the server.
	place func(m *model, c *call) *server
	// ranked orders the queue by rank and objective, else by arrival.
	ranked bool
	// refuses applies queueing.Judge at the server.
	refuses bool
	// offers is the number of servers that are asked.
	offers int
	// limits applies the learnt limit of calls at once.
	limits bool
}

var policies = []policy{
	{name: "random, fifo", place: placeRandom, offers: 1},
	{name: "two choices, fifo", place: placeTwoChoices, offers: 1},
	{name: "two choices, ranked", place: placeTwoChoices, ranked: true, offers: 1},
	{name: "earliest, fifo", place: placeEarliest, offers: 1},
	{name: "earliest, ranked", place: placeEarliest, ranked: true, offers: 1},
	{name: "earliest, ranked, refusals", place: placeEarliest, ranked: true, refuses: true, offers: 1},
	{name: "with offers", place: placeEarliest, ranked: true, refuses: true, offers: 4},
	{name: "in use", place: placeEarliest, ranked: true, refuses: true, offers: 4, limits: true},
}

const (
	// step is the resolution of the simulated time.
	step = time.Millisecond
	// way is the time that one more offer takes.
	way = 2 * time.Millisecond
	// comebacks is how often a refused caller comes back.
	comebacks = 1
	// workSpread is the spread of the work around its mean.
	workSpread = 0.3
)

// call is one call of a caller, with all its attempts.
type call struct {
	kind    *kind
	arrived time.Time
	// due is when the current attempt is made.
	due      time.Time
	attempts int
	asked    []*server
	left     time.Duration
	job      queueing.Job
}

// server is a backend server with the queue of its executor.
type server struct {
	slowdown float64
	running  []*call
	waiting  []*call
	pace     concurrency.State
	// known is what callers' nodes know of it, and since when.
	known   estimate.Load
	knownAt time.Time
}

// outcome counts what callers of a kind got.
type outcome struct{ asked, inTime, late, refused, failed int }

// model is one run.
type model struct {
	scenario *scenario
	policy   policy
	random   *rand.Rand
	now      time.Time
	servers  []*server
	pending  []*call
	results  map[string]*outcome
}

// simulate plays a scenario under a policy.
func simulate(s *scenario, p policy, seed uint64) map[string]*outcome {
	m := &model{scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), results: map[string]*outcome{}}
	for range s.servers {
		m.servers = append(m.servers, &server{slowdown: 1, known: estimate.Load{Slots: s.slots}})
	}
	for _, k := range s.kinds {
		m.results[k.name] = &outcome{}
	}
	end := m.now.Add(s.length)
	for tick := 0; m.now.Before(end); tick++ {
		if time.Duration(tick)*step%s.noisePeriod == 0 {
			m.drawNoise()
		}
		m.arrive()
		m.attempt()
		for _, srv := range m.servers {
			m.advance(srv)
		}
		m.now = m.now.Add(step)
	}
	return m.results
}

func (m *model) drawNoise() {
	for _, srv := range m.servers {
		srv.slowdown = 1
		if m.random.Float64() < m.scenario.noiseShare {
			srv.slowdown = m.scenario.noiseFactor
		}
	}
}

func (m *model) arrive() {
	for _, k := range m.scenario.kinds {
		for rate := k.rate * step.Seconds(); rate > 0; rate-- {
			if m.random.Float64() >= rate {
				continue
			}
			m.results[k.name].asked++
			spread := 1 + workSpread*m.random.NormFloat64()
			m.pending = append(m.pending, &call{
				kind: k, arrived: m.now, due: m.now, left: time.Duration(max(0.2, spread) * float64(k.work)),
				job: queueing.Job{Rank: k.rank, NominalTime: k.work, Objective: m.now.Add(k.objective), Deadline: m.now.Add(k.deadline)},
			})
		}
	}
}

// attempt makes the attempts that are due.
func (m *model) attempt() {
	due := m.pending
	m.pending = nil
	for _, c := range due {
		if c.due.After(m.now) {
			m.pending = append(m.pending, c)
			continue
		}
		m.offer(c)
	}
}

// offer asks a server to take the call.
func (m *model) offer(c *call) {
	srv := m.policy.place(m, c)
	load := m.loadOf(srv)
	srv.known, srv.knownAt = load, m.now
	if m.policy.refuses {
		last := len(c.asked)+1 >= m.policy.offers
		job := c.job
		if !last {
			job.MaxResponseTime = estimate.Speed{}.ServiceTime(c.kind.work) + 5*way
		}
		if verdict := queueing.Admit(job, load, m.now); verdict.Result != queueing.Accepted {
			m.refuse(c, srv, verdict, last)
			return
		}
	}
	srv.waiting = append(srv.waiting, c)
}

// refuse asks the next server, or tells the caller when to come back.
func (m *model) refuse(c *call, srv *server, v queueing.Decision, last bool) {
	c.asked = append(c.asked, srv)
	if !last {
		c.due = m.now.Add(way)
		m.pending = append(m.pending, c)
		return
	}
	advice := queueing.RetryAfter(v.QueueWait, c.job.Objective.Sub(m.now), c.job.Deadline.Sub(m.now), c.kind.work)
	if c.attempts >= comebacks || m.now.Add(advice).After(c.job.Deadline) {
		m.results[c.kind.name].refused++
		return
	}
	c.attempts++
	c.asked = nil
	c.due = m.now.Add(min(advice, c.job.Deadline.Sub(m.now)/3))
	m.pending = append(m.pending, c)
}

func (m *model) loadOf(srv *server) estimate.Load {
	return estimate.Load{
		Running: len(srv.running), Waiting: len(srv.waiting), Slots: m.limit(srv), Speed: estimate.Speed{Slowdown: srv.slowdown}, MeanServiceTime: m.meanWork(),
	}
}

func (m *model) limit(srv *server) int {
	if m.policy.limits {
		return srv.pace.Limit(m.scenario.slots, board.ContentionUnknown, m.now)
	}
	return m.scenario.slots
}

func (m *model) meanWork() time.Duration {
	total, rate := 0.0, 0.0
	for _, k := range m.scenario.kinds {
		total += k.rate * float64(k.work)
		rate += k.rate
	}
	return time.Duration(total / max(rate, 1))
}

// advance runs the calls of a server for one step.
func (m *model) advance(srv *server) {
	m.fill(srv)
	factor := srv.slowdown * m.kneeAt(len(srv.running))
	beside := len(srv.running)
	srv.running = slices.DeleteFunc(srv.running, func(c *call) bool {
		c.left -= time.Duration(float64(step) / factor)
		if c.left > 0 && m.now.Before(c.job.Deadline) {
			return false
		}
		m.end(c)
		srv.pace = concurrency.Next(srv.pace, concurrency.Sample{
			RelativeTime: m.kneeAt(beside), Running: beside, Slots: m.scenario.slots, MaxSlowdown: srv.slowdown,
		}, m.now)
		return true
	})
}

// kneeAt returns how long work takes beside other calls.
func (m *model) kneeAt(running int) float64 {
	over := float64(running)/float64(m.scenario.slots) - m.scenario.knee
	if over <= 0 || m.scenario.knee >= 1 {
		return 1
	}
	return 1 + (m.scenario.kneeFactor-1)*over/(1-m.scenario.knee)
}

// fill gives free slots to waiting calls.
func (m *model) fill(srv *server) {
	for len(srv.waiting) > 0 && len(srv.running) < m.limit(srv) {
		i := 0
		if m.policy.ranked {
			jobs := make([]queueing.Job, len(srv.waiting))
			for j, c := range srv.waiting {
				jobs[j] = c.job
			}
			i = queueing.Next(jobs, m.now)
		}
		c := srv.waiting[i]
		srv.waiting = slices.Delete(srv.waiting, i, i+1)
		switch {
		case m.now.After(c.job.Deadline):
			m.results[c.kind.name].failed++
		case m.policy.refuses && m.now.After(queueing.LatestStart(c.job)):
			m.results[c.kind.name].refused++
		default:
			srv.running = append(srv.running, c)
		}
	}
}

func (m *model) end(c *call) {
	r := m.results[c.kind.name]
	switch {
	case c.left > 0:
		r.failed++
	case m.now.After(c.job.Objective):
		r.late++
	default:
		r.inTime++
	}
}

func placeRandom(m *model, _ *call) *server { return m.servers[m.random.IntN(len(m.servers))] }

func placeTwoChoices(m *model, c *call) *server {
	a, b := placeRandom(m, c), placeRandom(m, c)
	if len(a.running)+len(a.waiting) <= len(b.running)+len(b.waiting) {
		return a
	}
	return b
}

// placeEarliest chooses on what is known since the last offers.
func placeEarliest(m *model, c *call) *server {
	candidates := make([]earliest.Candidate, len(m.servers))
	for i, srv := range m.servers {
		candidates[i] = earliest.Candidate{Load: srv.known, LoadAge: m.now.Sub(srv.knownAt), Excluded: slices.Contains(c.asked, srv)}
		candidates[i].Load.Running, candidates[i].Load.Waiting = len(srv.running), len(srv.waiting)
	}
	choice, _ := earliest.Choose(candidates, c.kind.work, way, m.random.Uint64())
	return m.servers[choice.Index]
}
