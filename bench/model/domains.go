package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/locality"
	"mangostand.example/mangostand/pkg/decide/pick/earliest"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// domainShape is a failure domain of a scenario. Servers and demand are relative to
// those of the other domains.
type domainShape struct {
	name            string
	servers, demand float64
}

// fleetVariant is a size of the fleet and the age that load reports reach before the
// next one arrives.
type fleetVariant struct {
	nodes     int
	reportAge time.Duration
}

// Variants that are compared.
var (
	defaultFleetSizes = []int{10, 70, 300, 600}
	reportAges        = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}
)

// domainPolicy decides to which server an entry offers a call.
type domainPolicy struct {
	name string
	// latency is the latency to other domains that the policy assumes.
	latency func(oneWay time.Duration) time.Duration
	// cost is the cost of leaving the domain.
	cost func(t locality.Traffic) time.Duration
	// ownOnly excludes other domains while the own one has servers.
	ownOnly bool
	// gradual makes the decision with locality.Decide.
	gradual bool
}

func assumedLatency(time.Duration) time.Duration { return locality.DefaultCrossLatency }

// measuredLatency returns what nodes measure: the round trips between the domains, and
// next to none within one.
func measuredLatency(oneWay time.Duration) time.Duration {
	return locality.Latency(2*oneWay+2*locality.SameDomainLatency, 2*locality.SameDomainLatency)
}

func noCost(locality.Traffic) time.Duration { return 0 }

func defaultCost(t locality.Traffic) time.Duration {
	return locality.Cost(t, locality.DefaultTimePerMB)
}

var domainPolicies = []domainPolicy{
	{name: "own domain only", latency: assumedLatency, cost: noCost, ownOnly: true},
	{name: "least time, any domain", latency: func(time.Duration) time.Duration { return locality.SameDomainLatency }, cost: noCost},
	{name: "fixed distance", latency: assumedLatency, cost: defaultCost},
	{name: "measured distance", latency: measuredLatency, cost: defaultCost},
	{name: "share by age", latency: measuredLatency, cost: defaultCost, gradual: true},
}

const (
	// domainOffers is the number of offers of a call, as on the path of the product.
	domainOffers = 5
	// offersWithLimit is the number of offers after which an executor no longer
	// refuses for a faster alternative, and alternativeGain the time that the
	// alternative must save.
	offersWithLimit = 3
	alternativeGain = 15 * time.Millisecond
	// equalTimes is the difference in expected time below which servers are equal.
	equalTimes = 2 * time.Millisecond
	// offerBytes is the size of the headers of an offer and its response.
	offerBytes = 900
	// flowWindow is the window over which the flow between domains is counted.
	flowWindow = 250 * time.Millisecond
	// failedWork is the time in which a failing server answers.
	failedWork = 5 * time.Millisecond
	// failureStep and failureDecay follow board.EndpointStats.
	failureStep  = 1.0 / 8
	failureDecay = time.Second
)

// domainResult is the outcome of a run.
type domainResult struct {
	// total and inTime count the calls by the domain of their callers, left those that
	// ran in another domain.
	total, inTime, left []int
	responseTimes       []time.Duration
	crossBytes          int
	// swing is the mean change of the share of calls that leaves its domain between
	// two windows, in percentage points, averaged over the domains.
	swing float64
}

func (r *domainResult) percentile(p float64) time.Duration {
	if len(r.responseTimes) == 0 {
		return 0
	}
	return r.responseTimes[int(p*float64(len(r.responseTimes)-1))]
}

func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// leftShare returns the share of calls that ran in another domain.
func (r *domainResult) leftShare() float64 {
	return float64(sum(r.left)) / float64(max(1, sum(r.total)))
}

// inTimeShare returns the share of calls in time of callers in a domain.
func (r *domainResult) inTimeShare(domain int) float64 {
	return float64(r.inTime[domain]) / float64(max(1, r.total[domain]))
}

// domainCall is a call with all its offers.
type domainCall struct {
	class     *callClass
	entry     int
	arrivedAt time.Time
	work      time.Duration
	job       queueing.Job
	tried     []int
	offers    int
	repeated  locality.Cause
	// server has the latest offer.
	server int
}

// domainServer is a backend server with the queue of its executor.
type domainServer struct {
	domain           int
	slowdown         float64
	running, waiting []*domainCall
	failing          bool
}

// pairState is what an entry knows of a server.
type pairState struct {
	own, other          int16
	reportTick, failure int32
	slowdown, failRatio float32
}

type domainEntry struct {
	domain int
	known  []pairState
	states map[*callClass]locality.State
}

// domainSim is the state of a run.
type domainSim struct {
	scenario *scenario
	variant  fleetVariant
	policy   domainPolicy
	rng      *rand.Rand
	tick     int
	start    time.Time
	servers  []*domainServer
	entries  []*domainEntry
	// entriesOf holds the entries of each domain.
	entriesOf [][]int
	// events holds what happens at a later tick.
	events     map[int][]func()
	scratch    earliest.Scratch
	candidates []earliest.Candidate
	result     domainResult
	// offered and offeredAway count the calls of the window by domain.
	offered, offeredAway []int
	lastShare            []float64
	changes              int
}

func (sim *domainSim) now() time.Time { return sim.start.Add(time.Duration(sim.tick) * tickInterval) }

// newDomainSim places the nodes and the servers of a scenario.
func newDomainSim(s *scenario, v fleetVariant, p domainPolicy, seed uint64) *domainSim {
	n := len(s.domains)
	sim := &domainSim{
		scenario: s, variant: v, policy: p, rng: rand.New(rand.NewPCG(seed, seed)), start: time.Unix(1000, 0), events: map[int][]func(){},
		entriesOf: make([][]int, n), offered: make([]int, n), offeredAway: make([]int, n), lastShare: make([]float64, n),
		result: domainResult{total: make([]int, n), inTime: make([]int, n), left: make([]int, n)},
	}
	weight := 0.0
	for _, d := range s.domains {
		weight += d.servers
	}
	for i, d := range s.domains {
		for range max(1, int(math.Round(float64(v.nodes)*d.servers/weight))) {
			sim.entriesOf[i] = append(sim.entriesOf[i], len(sim.entries))
			sim.entries = append(sim.entries, &domainEntry{domain: i, states: map[*callClass]locality.State{}})
		}
		for range int(math.Round(float64(v.nodes) / 2 * d.servers / weight)) {
			sim.servers = append(sim.servers, &domainServer{domain: i, slowdown: 1})
		}
	}
	for _, e := range sim.entries {
		e.known = make([]pairState, len(sim.servers))
		for i := range e.known {
			e.known[i].slowdown = 1
		}
	}
	return sim
}

func (sim *domainSim) reportTicks() int { return max(1, int(sim.variant.reportAge/tickInterval)) }

// run simulates the scenario. The hook, if not nil, is called before each tick.
func (sim *domainSim) run(hook func(elapsed time.Duration)) *domainResult {
	ticks := int(sim.scenario.duration / tickInterval)
	for sim.tick = 0; sim.tick < ticks; sim.tick++ {
		elapsed := time.Duration(sim.tick) * tickInterval
		if hook != nil {
			hook(elapsed)
		}
		if elapsed%sim.scenario.noisePeriod == 0 {
			for _, srv := range sim.servers {
				srv.slowdown = 1
				if sim.rng.Float64() < sim.scenario.noisyShare {
					srv.slowdown = sim.scenario.noisySlowdown
				}
			}
		}
		for _, event := range sim.events[sim.tick] {
			event()
		}
		delete(sim.events, sim.tick)
		sim.generateCalls(elapsed)
		for i, srv := range sim.servers {
			sim.advance(i, srv)
		}
		sim.deliverReports()
		if elapsed > 0 && elapsed%flowWindow == 0 {
			sim.closeWindow()
		}
	}
	slices.Sort(sim.result.responseTimes)
	sim.result.swing /= float64(max(1, sim.changes))
	return &sim.result
}

// after runs a function after a delay.
func (sim *domainSim) after(d time.Duration, f func()) {
	at := sim.tick + max(1, int(math.Round(float64(d)/float64(tickInterval))))
	sim.events[at] = append(sim.events[at], f)
}

// closeWindow adds the change of the flow since the window before.
func (sim *domainSim) closeWindow() {
	for d := range sim.offered {
		if sim.offered[d] == 0 {
			continue
		}
		share := 100 * float64(sim.offeredAway[d]) / float64(sim.offered[d])
		if time.Duration(sim.tick)*tickInterval > time.Second {
			sim.result.swing += math.Abs(share - sim.lastShare[d])
			sim.changes++
		}
		sim.lastShare[d], sim.offered[d], sim.offeredAway[d] = share, 0, 0
	}
}

// generateCalls adds the calls of a tick.
func (sim *domainSim) generateCalls(elapsed time.Duration) {
	demand, rates := 0.0, 0.0
	for _, d := range sim.scenario.domains {
		demand += d.demand
	}
	for _, class := range sim.scenario.callClasses {
		rates += class.rate
	}
	for d, shape := range sim.scenario.domains {
		phase := 2 * math.Pi * (float64(elapsed)/float64(sim.scenario.wavePeriod) + float64(d)/float64(len(sim.scenario.domains)))
		wave := 1 + sim.scenario.waveShare*math.Sin(phase)
		for _, class := range sim.scenario.callClasses {
			capacity := float64(len(sim.servers)*sim.scenario.slotsPerServer) / class.serviceTime.Seconds()
			rate := sim.scenario.load * capacity * wave * shape.demand / demand * class.rate / rates
			for left := rate * tickInterval.Seconds(); left > 0; left-- {
				if sim.rng.Float64() < left {
					sim.newCall(d, class)
				}
			}
		}
	}
}

func (sim *domainSim) newCall(domain int, class *callClass) {
	now := sim.now()
	sim.result.total[domain]++
	factor := max(0.2, 1+serviceTimeSpread*sim.rng.NormFloat64())
	sim.offer(&domainCall{
		class: class, entry: sim.entriesOf[domain][sim.rng.IntN(len(sim.entriesOf[domain]))], arrivedAt: now,
		work: time.Duration(factor * float64(class.serviceTime)),
		job:  queueing.Job{Rank: class.rank, NominalTime: class.serviceTime, Objective: now.Add(class.responseTimeObjective), Deadline: now.Add(class.deadline)},
	})
}

// offer offers a call to the server that the policy chooses.
func (sim *domainSim) offer(c *domainCall) {
	if c.offers >= domainOffers || len(c.tried) >= len(sim.servers) || sim.now().After(c.job.Deadline) {
		return
	}
	entry := sim.entries[c.entry]
	index, maxResponseTime := sim.pick(entry, c)
	srv, known := sim.servers[index], &entry.known[index]
	c.offers++
	if c.offers > offersWithLimit {
		maxResponseTime = 0
	}
	if c.repeated == locality.Stays {
		sim.offered[entry.domain]++
		if srv.domain != entry.domain {
			sim.offeredAway[entry.domain]++
		}
	}
	oneWay := time.Duration(0)
	if srv.domain != entry.domain {
		oneWay = sim.scenario.oneWay
		sim.result.crossBytes += offerBytes
	}
	known.own++
	c.server = index
	sim.after(oneWay, func() { sim.receive(c, srv, maxResponseTime, oneWay) })
}

// receive admits or refuses an offered call at a server.
func (sim *domainSim) receive(c *domainCall, srv *domainServer, maxResponseTime, oneWay time.Duration) {
	job := c.job
	job.MaxResponseTime = maxResponseTime
	load := sim.loadOf(srv)
	if decision := queueing.Admit(job, load, sim.now()); decision.Result != queueing.Accepted {
		sim.after(oneWay, func() {
			if decision.Result != queueing.SlowerThanAlternative {
				c.tried = append(c.tried, c.server)
			}
			c.repeated = locality.Refused
			sim.returned(c, srv, false)
			sim.offer(c)
		})
		return
	}
	// The body follows after the executor has taken the call.
	sim.after(2*oneWay, func() { srv.waiting = append(srv.waiting, c) })
}

// returned updates what the entry knows of a server when an offer ends.
func (sim *domainSim) returned(c *domainCall, srv *domainServer, failed bool) {
	known := &sim.entries[c.entry].known[c.server]
	known.own--
	sim.report(known, srv)
	sample := 0.0
	if failed {
		sample = 1
	}
	known.failRatio = float32(sim.failRatio(known)*(1-failureStep) + sample*failureStep)
	known.failure = int32(sim.tick)
}

func (sim *domainSim) failRatio(known *pairState) float64 {
	age := float64(sim.tick-int(known.failure)) * float64(tickInterval)
	return float64(known.failRatio) * float64(failureDecay) / (float64(failureDecay) + age)
}

func (sim *domainSim) report(known *pairState, srv *domainServer) {
	total := int16(len(srv.running) + len(srv.waiting))
	known.other, known.reportTick, known.slowdown = max(0, total-known.own), int32(sim.tick), float32(srv.slowdown)
}

// deliverReports delivers the reports that are due. Each entry gets those of each
// server at times of its own, as in exchanges between random nodes, unless the
// scenario has shared reports, which all entries get at once.
func (sim *domainSim) deliverReports() {
	period, stride := sim.reportTicks(), reportStride
	if sim.scenario.sharedReports {
		stride = 0
	}
	for i, e := range sim.entries {
		for j := (sim.tick + i*stride) % period; j < len(sim.servers); j += period {
			sim.report(&e.known[j], sim.servers[j])
		}
	}
}

// reportStride spreads the reports of a server to different entries over the period.
const reportStride = 7919

func (sim *domainSim) loadOf(srv *domainServer) estimate.Load {
	return estimate.Load{
		Running: len(srv.running), Waiting: len(srv.waiting), Slots: sim.scenario.slotsPerServer,
		Speed: estimate.Speed{Slowdown: srv.slowdown}, MeanServiceTime: sim.scenario.callClasses[0].serviceTime,
	}
}

// pick returns the server for the next offer and the longest expected response time
// that the entry accepts.
func (sim *domainSim) pick(e *domainEntry, c *domainCall) (int, time.Duration) {
	nominal := c.class.serviceTime
	cost := sim.policy.cost(locality.Traffic{Nominal: nominal, ResponseBytes: int64(c.class.responseBytes), FirstOffer: c.offers == 0})
	latency := sim.policy.latency(sim.scenario.oneWay)
	ownServers := false
	sim.candidates = sim.candidates[:0]
	for i, srv := range sim.servers {
		known := &e.known[i]
		candidate := earliest.Candidate{
			Load: estimate.Load{
				Running: int(known.own + known.other), Slots: sim.scenario.slotsPerServer, MeanServiceTime: nominal,
				Speed: estimate.Speed{Slowdown: float64(known.slowdown), MinSlowdown: 1},
			},
			LoadAge: time.Duration(sim.tick-int(known.reportTick)) * tickInterval, OneWayLatency: locality.SameDomainLatency,
			Excluded: slices.Contains(c.tried, i), FailureRatio: sim.failRatio(known),
		}
		if srv.domain != e.domain {
			candidate.OtherDomain, candidate.OneWayLatency, candidate.TransferCost = true, latency, cost
		} else if !candidate.Excluded {
			ownServers = true
		}
		sim.candidates = append(sim.candidates, candidate)
	}
	if sim.policy.ownOnly && ownServers {
		for i := range sim.candidates {
			sim.candidates[i].Excluded = sim.candidates[i].Excluded || sim.candidates[i].OtherDomain
		}
	}
	var choice earliest.Choice
	if sim.policy.gradual {
		decision, _ := locality.Decide(locality.Input{
			Candidates: sim.candidates, Nominal: nominal, Tolerance: equalTimes, Repeated: c.repeated,
			Previous: e.states[c.class], Now: sim.now(), Random: sim.rng.Uint64(),
		}, &sim.scratch)
		e.states[c.class] = decision.State
		choice = decision.Choice
	} else {
		choice, _ = earliest.Choose(sim.candidates, nominal, equalTimes, sim.rng.Uint64())
	}
	if choice.NextBestTime == 0 {
		return choice.Index, 0
	}
	next := choice.NextBestTime - sim.candidates[choice.Index].TransferCost
	return choice.Index, max(next, estimate.Speed{}.ServiceTime(nominal)) + alternativeGain
}

// advance runs the calls of a server for one tick.
func (sim *domainSim) advance(index int, srv *domainServer) {
	for len(srv.waiting) > 0 && len(srv.running) < sim.scenario.slotsPerServer {
		jobs := make([]queueing.Job, len(srv.waiting))
		for i, c := range srv.waiting {
			jobs[i] = c.job
		}
		next := queueing.Next(jobs, sim.now())
		c := srv.waiting[next]
		srv.waiting = slices.Delete(srv.waiting, next, next+1)
		if sim.now().After(queueing.LatestStart(c.job)) {
			sim.returned(c, srv, false)
			continue
		}
		if srv.failing {
			c.work = min(c.work, failedWork)
		}
		srv.running = append(srv.running, c)
	}
	srv.running = slices.DeleteFunc(srv.running, func(c *domainCall) bool {
		c.work -= time.Duration(float64(tickInterval) / srv.slowdown)
		if c.work > 0 {
			return false
		}
		sim.finish(c, srv)
		return true
	})
}

// finish sends the response of a call to its entry.
func (sim *domainSim) finish(c *domainCall, srv *domainServer) {
	entry, failed := sim.entries[c.entry], srv.failing
	oneWay := time.Duration(0)
	if srv.domain != entry.domain {
		oneWay = sim.scenario.oneWay
		sim.result.crossBytes += c.class.responseBytes
	}
	sim.after(oneWay, func() {
		sim.returned(c, srv, failed)
		if failed {
			c.tried, c.repeated, c.work = append(c.tried, c.server), locality.Lost, c.class.serviceTime
			sim.offer(c)
			return
		}
		if srv.domain != entry.domain {
			sim.result.left[entry.domain]++
		}
		took := sim.now().Sub(c.arrivedAt)
		sim.result.responseTimes = append(sim.result.responseTimes, took)
		if took <= c.class.responseTimeObjective {
			sim.result.inTime[entry.domain]++
		}
	})
}

// printDomainTable prints the outcome of each policy for a scenario with failure
// domains.
func printDomainTable(s *scenario, sizes []int, seed uint64) {
	names := make([]string, len(s.domains))
	for i, d := range s.domains {
		names[i] = d.name
	}
	fmt.Printf("| nodes | reports up to | policy | in time %s | p50 | p99 | leave | MB across | swing |\n|---|---|---|---|---|---|---|---|---|\n", strings.Join(names, " / "))
	for _, nodes := range sizes {
		for _, age := range reportAges {
			rows := make([]string, len(domainPolicies))
			var group sync.WaitGroup
			for i, p := range domainPolicies {
				group.Go(func() { rows[i] = domainRow(s, fleetVariant{nodes, age}, p, seed) })
			}
			group.Wait()
			fmt.Println(strings.Join(rows, "\n"))
		}
	}
}

// runsPerRow is the number of runs with consecutive seeds whose mean is printed. The
// shares in time of single runs differ by some hundredths.
const runsPerRow = 3

// domainRow returns the row of the table for a policy.
func domainRow(s *scenario, v fleetVariant, p domainPolicy, seed uint64) string {
	inTime := make([]float64, len(s.domains))
	var p50, p99 time.Duration
	left, megabytes, swing := 0.0, 0.0, 0.0
	for run := range uint64(runsPerRow) {
		r := newDomainSim(s, v, p, seed+run).run(nil)
		for i := range inTime {
			inTime[i] += r.inTimeShare(i) / runsPerRow
		}
		p50 += r.percentile(0.5) / runsPerRow
		p99 += r.percentile(0.99) / runsPerRow
		left += r.leftShare() / runsPerRow
		megabytes += float64(r.crossBytes) / 1e6 / runsPerRow
		swing += r.swing / runsPerRow
	}
	shares := make([]string, len(inTime))
	for i, share := range inTime {
		shares[i] = fmt.Sprintf("%.3f", share)
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %d ms | %d ms | %.3f | %.1f | %.1f |", v.nodes, v.reportAge, p.name, strings.Join(shares, " / "),
		p50.Milliseconds(), p99.Milliseconds(), left, megabytes, swing)
}
