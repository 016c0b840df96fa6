// Package roundrobin chooses the instances in turn. It is a baseline of the
// measurements.
package roundrobin

import (
	"sync/atomic"

	"mangostand.example/mangostand/pkg/board"
)

type picker struct {
	cells []*board.Endpoint
	turn  *atomic.Uint64
}

// New returns a picker over the cells. Entries of different rank start at
// different instances.
func New(cells []*board.Endpoint, rank int) board.Picker {
	p := &picker{cells: cells, turn: new(atomic.Uint64)}
	p.turn.Store(uint64(max(0, rank)))
	return p
}

// Pick implements board.Picker.
func (p *picker) Pick(req *board.PickRequest) *board.Endpoint {
	n := uint64(len(p.cells))
	if n == 0 {
		return nil
	}
	start := p.turn.Add(1)
	for i := range n {
		cell := p.cells[(start+i)%n]
		if cell.AcceptsCalls() && !req.Excludes(cell.Member.Instance) {
			return cell
		}
	}
	return nil
}
