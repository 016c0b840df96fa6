// Package roundrobin chooses the instances in turn. It is a baseline of the
// measurements.
package roundrobin

import (
	"sync/atomic"

	"mangostand.example/mangostand/pkg/board"
)

type picker struct {
	endpoints []*board.Endpoint
	next      *atomic.Uint64
}

// New returns a picker over the cells. Entries of different rank start at
// different instances.
func New(cells []*board.Endpoint, rank int) board.Picker {
	p := &picker{endpoints: cells, next: new(atomic.Uint64)}
	p.next.Store(uint64(max(0, rank)))
	return p
}

// Pick implements board.Picker.
func (p *picker) Pick(req *board.PickRequest) *board.Endpoint {
	n := uint64(len(p.endpoints))
	if n == 0 {
		return nil
	}
	start := p.next.Add(1)
	for i := range n {
		cell := p.endpoints[(start+i)%n]
		if cell.AcceptsCalls() && !req.Excludes(cell.Member.Instance) {
			return cell
		}
	}
	return nil
}
