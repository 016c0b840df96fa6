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
	// offersWithPatience is the number of first offers that an executor refuses
	// when it expects to be slower than the next best one.
	offersWithPatience = 3
	// patienceMargin is the gain below which another offer is not worth its way.
	patienceMargin = 15 * time.Millisecond
	// sameDomainWay and otherDomainWay are the times of one way between nodes.
	sameDomainWay  = 200 * time.Microsecond
	otherDomainWay = 1100 * time.Microsecond
	// byteCost is the time that an answer's byte across failure domains counts
	// as. At the price of that traffic a bundle of 90 kB costs over half of what
	// its answer is worth; half of that is left to the objective.
	byteCost = 2500 * time.Nanosecond
	// placeTolerance is the difference in expected time below which executors
	// are equal: figures are never exact to this.
	placeTolerance = 2 * time.Millisecond
)

// choose returns the executor to ask and how long the call may be expected to
// take there before it asks another one.
func (p *passage) choose() (*board.MeshEndpoint, time.Duration) {
	cells := p.cells()
	if len(cells) == 0 {
		return nil, 0
	}
	now := time.Now()
	usual, bytes := p.usual(), p.entry.Board.CallStats.ForRule(p.call.Rule).ResponseSize()
	candidates := make([]earliest.Candidate, len(cells))
	for i, cell := range cells {
		candidates[i] = p.candidate(cell, usual, bytes, now)
	}
	choice, _ := earliest.Choose(candidates, usual, placeTolerance, rand.Uint64())
	cell := cells[choice.Index]
	p.expected, p.loadAge = choice.ExpectedTime, candidates[choice.Index].LoadAge
	if p.offers >= offersWithPatience || choice.NextBestTime == 0 {
		return cell, 0
	}
	next := choice.NextBestTime - candidates[choice.Index].TransferCost
	return cell, max(next, estimate.Speed{}.ServiceTime(usual)) + patienceMargin
}

// cells returns the executors that may be asked.
func (p *passage) cells() []*board.MeshEndpoint {
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
	if len(sound) == 0 && !p.unreachable {
		// One of them may be back; more than one question would only delay the
		// refusal.
		p.unreachable = true
		return suspected
	}
	return sound
}

// usual returns the usual time of the call.
func (p *passage) usual() time.Duration { return usualTime(p.entry.Board.CallStats, p.call) }

// usualTime returns the usual time of a call.
func usualTime(works *board.StatsByRule, c *Call) time.Duration {
	if d := works.ForRule(c.Rule).ServiceTime(); d > 0 {
		return d
	}
	return c.Objective.Sub(c.Received) / defaultWork
}

// candidate returns what is known of an executor for a call with the usual time
// and bytes of its rule.
func (p *passage) candidate(cell *board.MeshEndpoint, usual time.Duration, bytes int64, now time.Time) earliest.Candidate {
	self := p.entry.Board.Self
	report := cell.LatestLoadReport()
	c := earliest.Candidate{
		Load:         estimate.Load{Running: int(cell.EstimatedInFlight()), Slots: cell.Record.Slots, MeanServiceTime: usual},
		LoadAge:      -1,
		FailureRatio: cell.FailureRatio(now),
	}
	if cell.Record.Instance != self.Instance {
		c.OneWayLatency = sameDomainWay
		c.ResponseBytes, c.LinkRate = bytes, cell.Record.LinkRate
		if cell.Record.FailureDomain != self.FailureDomain {
			c.OneWayLatency = otherDomainWay
			c.TransferCost = time.Duration(bytes) * byteCost
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
