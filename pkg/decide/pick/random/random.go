// Package random chooses an instance uniformly at random. It is a baseline for
// benchmarks.
package random

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
	start := req.Random % n
	for i := range n {
		endpoint := p.endpoints[(start+i)%n]
		if endpoint.AcceptsCalls() && !req.Excludes(endpoint.Member.Instance) {
			return endpoint
		}
	}
	return nil
}
