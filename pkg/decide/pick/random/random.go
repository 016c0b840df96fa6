// Package random chooses an instance uniformly at random. It is the baseline
// of the measurements.
package random

import "mangostand.example/mangostand/pkg/board"

type picker struct{ cells []*board.Endpoint }

// New returns a picker over the cells.
func New(cells []*board.Endpoint) board.Picker { return &picker{cells: cells} }

// Pick implements board.Picker.
func (p *picker) Pick(req *board.PickRequest) *board.Endpoint {
	n := uint64(len(p.cells))
	if n == 0 {
		return nil
	}
	start := req.Random % n
	for i := range n {
		cell := p.cells[(start+i)%n]
		if cell.AcceptsCalls() && !req.Excludes(cell.Member.Instance) {
			return cell
		}
	}
	return nil
}
