// Package pick builds the picker of a service. Each selection policy lives in
// a package of its own below this one.
package pick

import (
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pick/hotcold"
	"mangostand.example/mangostand/pkg/decide/pick/random"
	"mangostand.example/mangostand/pkg/decide/pick/roundrobin"
	"mangostand.example/mangostand/pkg/decide/pick/twochoices"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Input holds what a policy may use.
type Input struct {
	// Endpoints lists the instances that may be chosen.
	Endpoints []*board.Endpoint
	// Breakers holds the gates of instances whose breaker is not closed.
	Breakers *board.Breakers
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// EntryIndex is the position of the entry among all entries, see Subset.
	EntryIndex int
	Balancing  dynconf.Balancing
}

// New returns a picker of the named policy. The configuration has checked the
// name; an unknown one gets the default policy.
func New(policy string, in Input) board.Picker {
	cells := Subset(in.Endpoints, in.EntryIndex, in.Balancing.Subset)
	closed, halfOpen := splitByBreaker(cells, in.Breakers)
	inner := newPolicy(policy, closed, in)
	if len(halfOpen) == 0 {
		return inner
	}
	return &trialPicker{inner: inner, halfOpen: halfOpen}
}

func newPolicy(policy string, cells []*board.Endpoint, in Input) board.Picker {
	switch policy {
	case "random":
		return random.New(cells)
	case "roundrobin":
		return roundrobin.New(cells, in.EntryIndex)
	case "twochoices":
		return twochoices.New(cells)
	default:
		return hotcold.New(cells, in.FailureDomain, in.Balancing)
	}
}

// halfOpenEndpoint is a half-open instance with its gate.
type halfOpenEndpoint struct {
	endpoint *board.Endpoint
	breaker  *board.Breaker
}

// splitByBreaker separates the cells by their breaker. When no breaker is closed, all
// cells count as closed: refusing everything would turn a fault of part of the
// calls into a loss of the service.
func splitByBreaker(cells []*board.Endpoint, breakers *board.Breakers) (closed []*board.Endpoint, halfOpen []halfOpenEndpoint) {
	if breakers == nil {
		return cells, nil
	}
	for _, cell := range cells {
		gate := breakers.ByInstance[cell.Member.Instance]
		switch {
		case gate == nil || gate.State == board.BreakerClosed:
			closed = append(closed, cell)
		case gate.State == board.BreakerHalfOpen:
			halfOpen = append(halfOpen, halfOpenEndpoint{endpoint: cell, breaker: gate})
		}
	}
	if len(closed) == 0 {
		closed = cells
	}
	return closed, halfOpen
}

// trialPicker sends one call to each half-open instance and leaves the others
// to the policy.
type trialPicker struct {
	inner    board.Picker
	halfOpen []halfOpenEndpoint
}

// Pick implements board.Picker.
func (p *trialPicker) Pick(req *board.PickRequest) *board.Endpoint {
	for _, t := range p.halfOpen {
		if !req.Excludes(t.endpoint.Member.Instance) && t.endpoint.AcceptsCalls() && t.breaker.AcquireTrial() {
			return t.endpoint
		}
	}
	return p.inner.Pick(req)
}
