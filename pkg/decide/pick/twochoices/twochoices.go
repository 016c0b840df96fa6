// Package twochoices compares two random instances by the load that their
// backend servers reported themselves and takes the lower one. It is the usual
// baseline: the reports are stale when they are used.
package twochoices

import "mangostand.example/mangostand/pkg/board"

type picker struct{ endpoints []*board.Endpoint }

// New returns a picker over the cells.
func New(cells []*board.Endpoint) board.Picker { return &picker{endpoints: cells} }

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

// available returns the first instance from start that can take the call and
// is not other.
func (p *picker) available(req *board.PickRequest, start uint64, other *board.Endpoint) *board.Endpoint {
	n := uint64(len(p.endpoints))
	for i := range n {
		cell := p.endpoints[(start+i)%n]
		if cell != other && cell.AcceptsCalls() && !req.Excludes(cell.Member.Instance) {
			return cell
		}
	}
	return nil
}

// reportedLoad is the reported reportedLoad per slot; an instance without a report counts as
// idle.
func reportedLoad(cell *board.Endpoint) float64 {
	r := cell.LatestLoadReport()
	if r == nil {
		return 0
	}
	return float64(r.ServerReportedInFlight) / float64(max(cell.Member.Slots, 1))
}
