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
func (p *forwarder) pickEndpoint() (*board.MeshEndpoint, time.Duration) {
	cells := p.eligibleEndpoints()
	if len(cells) == 0 {
		return nil, 0
	}
	now := time.Now()
	usual, bytes := p.nominalTime(), p.entry.Board.CallStats.ForRule(p.call.Rule).ResponseSize()
	candidates := make([]earliest.Candidate, len(cells))
	for i, cell := range cells {
		candidates[i] = p.newCandidate(cell, usual, bytes, now)
	}
	choice, _ := earliest.Choose(candidates, usual, expectedTimeTolerance, rand.Uint64())
	cell := cells[choice.Index]
	p.expectedTime, p.loadAge = choice.ExpectedTime, candidates[choice.Index].LoadAge
	if p.offers >= offersWithMaxResponseTime || choice.NextBestTime == 0 {
		return cell, 0
	}
	next := choice.NextBestTime - candidates[choice.Index].TransferCost
	return cell, max(next, estimate.Speed{}.ServiceTime(usual)) + minAlternativeGain
}

// eligibleEndpoints returns the executors that may be asked.
func (p *forwarder) eligibleEndpoints() []*board.MeshEndpoint {
	var sound, suspected []*board.MeshEndpoint
	for _, cell := range p.entry.Board.Fleet.Load().ByService[p.call.Service] {
		switch {
		case slices.Contains(p.excluded, cell.Record.Instance), cell.Reachability.Replaced():
		case cell.Reachability.Suspected():
			suspected = append(suspected, cell)
		default:
			sound = append(sound, cell)
		}
	}
	if len(sound) == 0 && !p.triedSuspected {
		// One of them may be back; more than one question would only delay the
		// refusal.
		p.triedSuspected = true
		return suspected
	}
	return sound
}

// nominalTime returns the nominalTime time of the call.
func (p *forwarder) nominalTime() time.Duration { return nominalTime(p.entry.Board.CallStats, p.call) }

// nominalTime returns the usual time of a call.
func nominalTime(works *board.StatsByRule, c *Call) time.Duration {
	if d := works.ForRule(c.Rule).ServiceTime(); d > 0 {
		return d
	}
	return c.Objective.Sub(c.Received) / defaultNominalTimeDivisor
}

// newCandidate returns what is known of an executor for a call with the usual time
// and bytes of its rule.
func (p *forwarder) newCandidate(cell *board.MeshEndpoint, usual time.Duration, bytes int64, now time.Time) earliest.Candidate {
	self := p.entry.Board.Self
	report := cell.LatestLoadReport()
	c := earliest.Candidate{
		Load:         estimate.Load{Running: int(cell.EstimatedInFlight()), Slots: cell.Record.Slots, MeanServiceTime: usual},
		LoadAge:      -1,
		FailureRatio: cell.FailureRatio(now),
	}
	if cell.Record.Instance != self.Instance {
		c.OneWayLatency = sameDomainLatency
		c.ResponseBytes, c.LinkRate = bytes, cell.Record.LinkRate
		if cell.Record.FailureDomain != self.FailureDomain {
			c.OneWayLatency = crossDomainLatency
			c.TransferCost = time.Duration(bytes) * crossDomainByteCost
		}
		if report != nil {
			c.LinkBacklog = time.Duration(report.LinkBacklogMicros) * time.Microsecond
		}
	}
	if report == nil {
		return c
	}
	c.LoadAge = now.Sub(report.ReceivedAt)
	c.Load.Slots = int(report.Limit)
	c.Load.Speed = estimate.Speed{Slowdown: float64(report.SlowdownPercent) / 100, MinSlowdown: float64(report.MinSlowdownPercent) / 100}
	if report.LatencyMicros > 0 {
		c.Load.MeanServiceTime = time.Duration(report.LatencyMicros) * time.Microsecond
	}
	return c
}
