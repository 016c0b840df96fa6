package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/pick/earliest"
)

const (
	// offersWithMaxResponseTime is the number of first offers that an executor refuses
	// when it expects to be slower than the next best one.
	offersWithMaxResponseTime = 3
	// minAlternativeGain is the gain below which another offer is not worth its way.
	minAlternativeGain = 15 * time.Millisecond
	// sameDomainLatency and otherDomainWay are the times of one way between nodes.
	sameDomainLatency  = 200 * time.Microsecond
	crossDomainLatency = 1100 * time.Microsecond
	// crossDomainByteCost is the time that an answer's byte across failure domains counts
	// as. At the price of that traffic a bundle of 90 kB costs over half of what
	// its answer is worth; half of that is left to the objective.
	crossDomainByteCost = 2500 * time.Nanosecond
	// expectedTimeTolerance is the difference in expected time below which executors
	// are equal: figures are never exact to this.
	expectedTimeTolerance = 2 * time.Millisecond
)

// pickEndpoint returns the executor to ask and how long the call may be expected to
// take there before it asks another one.
func (f *forwarder) pickEndpoint() (*board.MeshCell, time.Duration) {
	endpoints := f.eligibleEndpoints()
	if len(endpoints) == 0 {
		return nil, 0
	}
	now := time.Now()
	nominalTime, responseBytes := f.nominalTime(), f.entry.Board.Works.Of(f.call.Rule).Bytes()
	candidates := make([]earliest.Candidate, len(endpoints))
	for i, endpoint := range endpoints {
		candidates[i] = f.newCandidate(endpoint, nominalTime, responseBytes, now)
	}
	choice, _ := earliest.Choose(candidates, nominalTime, expectedTimeTolerance, rand.Uint64())
	endpoint := endpoints[choice.Index]
	f.expectedTime, f.loadAge = choice.Expected, candidates[choice.Index].LoadAge
	if f.offers >= offersWithMaxResponseTime || choice.Next == 0 {
		return endpoint, 0
	}
	next := choice.Next - candidates[choice.Index].Cost
	return endpoint, max(next, estimate.Speed{}.Work(nominalTime)) + minAlternativeGain
}

// eligibleEndpoints returns the executors that may be asked.
func (f *forwarder) eligibleEndpoints() []*board.MeshCell {
	var healthy, suspected []*board.MeshCell
	for _, endpoint := range f.entry.Board.Fleet.Load().ByService[f.call.Service] {
		switch {
		case slices.Contains(f.excluded, endpoint.Record.Instance), endpoint.Reach.Replaced():
		case endpoint.Reach.Suspected():
			suspected = append(suspected, endpoint)
		default:
			healthy = append(healthy, endpoint)
		}
	}
	if len(healthy) == 0 && !f.triedSuspected {
		// One of them may be back; more than one question would only delay the
		// refusal.
		f.triedSuspected = true
		return suspected
	}
	return healthy
}

// nominalTime returns the nominalTime time of the call.
func (f *forwarder) nominalTime() time.Duration { return nominalTimeOf(f.entry.Board.Works, f.call) }

// nominalTimeOf returns the usual time of a call.
func nominalTimeOf(works *board.Works, c *Call) time.Duration {
	if d := works.Of(c.Rule).Time(); d > 0 {
		return d
	}
	return c.Objective.Sub(c.Received) / defaultNominalTimeDivisor
}

// newCandidate returns what is known of an executor for a call with the usual time
// and bytes of its rule.
func (f *forwarder) newCandidate(endpoint *board.MeshCell, nominalTime time.Duration, responseBytes int64, now time.Time) earliest.Candidate {
	self := f.entry.Board.Self
	report := endpoint.LastReport()
	c := earliest.Candidate{
		Load:    estimate.Load{Running: int(endpoint.EstimatedInFlight()), Slots: endpoint.Record.Slots, Mean: nominalTime},
		LoadAge: -1,
		Failing: endpoint.FailureShare(now),
	}
	if endpoint.Record.Instance != self.Instance {
		c.Distance = sameDomainLatency
		c.Bytes, c.LinkRate = responseBytes, endpoint.Record.LinkRate
		if endpoint.Record.FailureDomain != self.FailureDomain {
			c.Distance = crossDomainLatency
			c.Cost = time.Duration(responseBytes) * crossDomainByteCost
		}
		if report != nil {
			c.Backlog = time.Duration(report.LinkMicros) * time.Microsecond
		}
	}
	if report == nil {
		return c
	}
	c.LoadAge = now.Sub(report.ReceivedAt)
	c.Load.Slots = int(report.Limit)
	c.Load.Speed = estimate.Speed{Slowdown: float64(report.SlowdownPercent) / 100, Floor: float64(report.FloorPercent) / 100}
	if report.LatencyMicros > 0 {
		c.Load.Mean = time.Duration(report.LatencyMicros) * time.Microsecond
	}
	return c
}
