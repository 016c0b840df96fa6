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
	// Cells lists the instances that may be chosen.
	Cells []*board.Endpoint
	// Breakers holds the gates of instances whose breaker is not closed.
	Breakers *board.Breakers
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// Rank is the position of the entry among all entries, see Subset.
	Rank      int
	Balancing dynconf.Balancing
}

// New returns a picker of the named policy. The configuration has checked the
// name; an unknown one gets the default policy.
func New(policy string, in Input) board.Picker {
	cells := Subset(in.Cells, in.Rank, in.Balancing.Subset)
	closed, halfOpen := split(cells, in.Breakers)
	inner := newPolicy(policy, closed, in)
	if len(halfOpen) == 0 {
		return inner
	}
	return &trialPicker{inner: inner, trials: halfOpen}
}

func newPolicy(policy string, cells []*board.Endpoint, in Input) board.Picker {
	switch policy {
	case "random":
		return random.New(cells)
	case "roundrobin":
		return roundrobin.New(cells, in.Rank)
	case "twochoices":
		return twochoices.New(cells)
	default:
		return hotcold.New(cells, in.FailureDomain, in.Balancing)
	}
}

// trial is a half-open instance with its gate.
type trial struct {
	cell *board.Endpoint
	gate *board.Breaker
}

// split separates the cells by their breaker. When no breaker is closed, all
// cells count as closed: refusing everything would turn a fault of part of the
// calls into a loss of the service.
func split(cells []*board.Endpoint, breakers *board.Breakers) (closed []*board.Endpoint, halfOpen []trial) {
	if breakers == nil {
		return cells, nil
	}
	for _, cell := range cells {
		gate := breakers.ByInstance[cell.Member.Instance]
		switch {
		case gate == nil || gate.State == board.BreakerClosed:
			closed = append(closed, cell)
		case gate.State == board.BreakerHalfOpen:
			halfOpen = append(halfOpen, trial{cell: cell, gate: gate})
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
	inner  board.Picker
	trials []trial
}

// Pick implements board.Picker.
func (p *trialPicker) Pick(req *board.PickRequest) *board.Endpoint {
	for _, t := range p.trials {
		if !req.Excludes(t.cell.Member.Instance) && t.cell.AcceptsCalls() && t.gate.AcquireTrial() {
			return t.cell
		}
	}
	return p.inner.Pick(req)
}
