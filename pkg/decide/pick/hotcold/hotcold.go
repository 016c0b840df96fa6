// Package hotcold chooses an instance by calls in flight and latency.
// Instances with many calls in flight, compared to the other candidates, are
// hot and avoided; among the cold ones the least expected response time wins.
// The rule follows Prequal (NSDI 2024).
//
// It uses the load and the latency that the executors observe, not the load that
// the backend servers report, which lags and can be false.
package hotcold

import (
	"slices"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// sampleSize is the number of candidates compared for one call.
const sampleSize = 16

type picker struct {
	endpoints     []*board.Endpoint
	failureDomain string
	balancing     dynconf.Balancing
}

// New returns a picker for an entry in a failure domain. Consecutive endpoints
// should be unrelated, since a sample takes neighbours.
func New(endpoints []*board.Endpoint, failureDomain string, balancing dynconf.Balancing) board.Picker {
	return &picker{endpoints: endpoints, failureDomain: failureDomain, balancing: balancing}
}

// Pick implements board.Picker.
func (p *picker) Pick(req *board.PickRequest) *board.Endpoint {
	var s sample
	p.fill(&s, req)
	if s.count == 0 {
		return nil
	}
	threshold := quantile(s.estimateLoads(), s.count, p.balancing.HotQuantile)
	best := &s.candidates[0]
	best.score(threshold)
	for i := 1; i < s.count; i++ {
		c := &s.candidates[i]
		c.score(threshold)
		if c.betterThan(best) {
			best = c
		}
	}
	return best.endpoint
}

// fill adds up to sampleSize endpoints, starting at a random one.
func (p *picker) fill(s *sample, req *board.PickRequest) {
	count := uint64(len(p.endpoints))
	if count == 0 {
		return
	}
	start := req.Random % count
	for i := uint64(0); i < count && s.count < sampleSize; i++ {
		endpoint := p.endpoints[(start+i)%count]
		if endpoint.AcceptsCalls() && !req.Excludes(endpoint.Member.Instance) {
			s.candidates[s.count] = newCandidate(endpoint, req.Now, p.failureDomain, &p.balancing)
			s.count++
		}
	}
}

// quantile returns the value below which a share q of the first n values lies.
func quantile(values [sampleSize]float64, n int, q float64) float64 {
	slices.Sort(values[:n])
	return values[min(n-1, int(q*float64(n)))]
}
