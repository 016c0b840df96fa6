// Package random chooses an instance uniformly at random. It is the baseline
// of the measurements.
package random

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
	start := req.Random % n
	for i := range n {
		cell := p.endpoints[(start+i)%n]
		if cell.AcceptsCalls() && !req.Excludes(cell.Member.Instance) {
			return cell
		}
	}
	return nil
}
