// Package twochoices compares two random instances by the load that their
// backend servers report and takes the less loaded one. It is the usual
// baseline for benchmarks; the reports are stale by the time they are used.
package twochoices

import "mangostand.example/mangostand/pkg/board"

type picker struct{ endpoints []*board.Endpoint }

// New returns a picker over the endpoints.
func New(endpoints []*board.Endpoint) board.Picker { return &picker{endpoints: endpoints} }

// Pick implements board.Picker.
func (p *picker) Pick(req *board.PickRequest) *board.Endpoint {
	n := uint64(len(p.endpoints))
	if n == 0 {
		return nil
	}
	first := p.available(req, req.Random%n, nil)
	second := p.available(req, (req.Random>>32)%n, first)
	if second == nil || (first != nil && reportedLoad(first) <= reportedLoad(second)) {
		return first
	}
	return second
}

// available returns the first endpoint from start that accepts the call and is
// not other.
func (p *picker) available(req *board.PickRequest, start uint64, other *board.Endpoint) *board.Endpoint {
	n := uint64(len(p.endpoints))
	for i := range n {
		endpoint := p.endpoints[(start+i)%n]
		if endpoint != other && endpoint.AcceptsCalls() && !req.Excludes(endpoint.Member.Instance) {
			return endpoint
		}
	}
	return nil
}

// reportedLoad returns the reported number of calls per slot. An instance
// without a report counts as idle.
func reportedLoad(endpoint *board.Endpoint) float64 {
	report := endpoint.LatestLoadReport()
	if report == nil {
		return 0
	}
	return float64(report.ServerReportedInFlight) / float64(max(endpoint.Member.Slots, 1))
}
