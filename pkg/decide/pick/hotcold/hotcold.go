// Package hotcold chooses by in-flight count and latency: instances whose
// in-flight count is high among the candidates are hot and avoided; among the
// cold ones the lowest latency wins. The rule follows Prequal (NSDI 2024).
package hotcold

import (
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// sampleSize is the number of candidates compared for one call.
const sampleSize = 16

type picker struct {
	cells     []*board.Cell
	domain    string
	balancing dynconf.Balancing
}

// New returns a picker for an entry in a failure domain.
func New(cells []*board.Cell, failureDomain string, balancing dynconf.Balancing) board.Picker {
	return &picker{cells: cells, domain: failureDomain, balancing: balancing}
}

// Pick implements board.Picker.
func (p *picker) Pick(req *board.PickRequest) *board.Cell {
	var sample [sampleSize]*board.Cell
	var loads [sampleSize]float64
	n := p.sample(req, &sample)
	if n == 0 {
		return nil
	}
	for i, cell := range sample[:n] {
		loads[i] = load(cell)
	}
	threshold := quantile(loads[:n], p.balancing.HotQuantile)
	best := sample[0]
	bestHot, bestCost := true, float64(0)
	for i, cell := range sample[:n] {
		hot := loads[i] > threshold
		cost := float64(p.distance(cell) + cell.Latency())
		if hot {
			cost = loads[i]
		}
		if i == 0 || better(hot, cost, bestHot, bestCost) {
			best, bestHot, bestCost = cell, hot, cost
		}
	}
	return best
}

func better(hot bool, cost float64, bestHot bool, bestCost float64) bool {
	if hot != bestHot {
		return !hot
	}
	return cost < bestCost
}

// sample fills the array with different candidates from a random start.
func (p *picker) sample(req *board.PickRequest, sample *[sampleSize]*board.Cell) int {
	count := uint64(len(p.cells))
	if count == 0 {
		return 0
	}
	start := req.Random % count
	n := 0
	for i := uint64(0); i < count && n < sampleSize; i++ {
		cell := p.cells[(start+i)%count]
		if !req.Excludes(cell.Member.Instance) {
			sample[n] = cell
			n++
		}
	}
	return n
}

func (p *picker) distance(cell *board.Cell) time.Duration {
	if cell.Member.FailureDomain == p.domain {
		return 0
	}
	return p.balancing.DomainPenalty
}

// load is the estimated in-flight count per slot.
func load(cell *board.Cell) float64 {
	limit := cell.Member.Slots
	if r := cell.LastReport(); r != nil && r.Limit > 0 {
		limit = r.Limit
	}
	return float64(cell.EstimatedInFlight()) / float64(max(limit, 1))
}

func quantile(values []float64, q float64) float64 {
	var sorted [sampleSize]float64
	n := copy(sorted[:], values)
	slices.Sort(sorted[:n])
	return sorted[min(n-1, int(q*float64(n)))]
}
