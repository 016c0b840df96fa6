// Package roundrobin chooses the instances in turn. It is a baseline for
// benchmarks.
package roundrobin

import (
	"sync/atomic"

	"mangostand.example/mangostand/pkg/board"
)

type picker struct {
	endpoints []*board.Endpoint
	next      *atomic.Uint64
}

// New returns a picker over the endpoints. Entries with different indexes
// start at different instances.
func New(endpoints []*board.Endpoint, entryIndex int) board.Picker {
	p := &picker{endpoints: endpoints, next: new(atomic.Uint64)}
	p.next.Store(uint64(max(0, entryIndex)))
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
		endpoint := p.endpoints[(start+i)%n]
		if endpoint.AcceptsCalls() && !req.Excludes(endpoint.Member.Instance) {
			return endpoint
		}
	}
	return nil
}
