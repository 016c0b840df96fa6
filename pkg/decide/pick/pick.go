// Package pick builds the picker of a service. Each load balancing policy is a
// package of its own below this one.
package pick

import (
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pick/hotcold"
	"mangostand.example/mangostand/pkg/decide/pick/random"
	"mangostand.example/mangostand/pkg/decide/pick/roundrobin"
	"mangostand.example/mangostand/pkg/decide/pick/twochoices"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Input holds what a policy may use. The entry is the node that received the
// call from its caller.
type Input struct {
	// Endpoints lists the instances that may be chosen.
	Endpoints []*board.Endpoint
	// Breakers holds the circuit breakers that are not closed.
	Breakers *board.Breakers
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// EntryIndex is the position of the entry among all entries, see Subset.
	EntryIndex int
	Balancing  dynconf.Balancing
}

// New returns a picker with the named policy. The names are validated with the
// configuration; an unknown one gets the default policy.
func New(policy string, in Input) board.Picker {
	endpoints := Subset(in.Endpoints, in.EntryIndex, in.Balancing.SubsetSize)
	closed, halfOpen := splitByBreaker(endpoints, in.Breakers)
	inner := newPolicy(policy, closed, in)
	if len(halfOpen) == 0 {
		return inner
	}
	return &trialPicker{inner: inner, halfOpen: halfOpen}
}

func newPolicy(policy string, endpoints []*board.Endpoint, in Input) board.Picker {
	switch policy {
	case "random":
		return random.New(endpoints)
	case "roundrobin":
		return roundrobin.New(endpoints, in.EntryIndex)
	case "twochoices":
		return twochoices.New(endpoints)
	default:
		return hotcold.New(endpoints, in.FailureDomain, in.Balancing)
	}
}

// halfOpenEndpoint is an endpoint with its half-open breaker.
type halfOpenEndpoint struct {
	endpoint *board.Endpoint
	breaker  *board.Breaker
}

// splitByBreaker separates the endpoints by the state of their breakers. When
// no breaker is closed, all endpoints count as closed: refusing every call
// would turn a partial fault into an outage of the service.
func splitByBreaker(endpoints []*board.Endpoint, breakers *board.Breakers) (closed []*board.Endpoint, halfOpen []halfOpenEndpoint) {
	if breakers == nil {
		return endpoints, nil
	}
	for _, endpoint := range endpoints {
		breaker := breakers.ByInstance[endpoint.Member.Instance]
		switch {
		case breaker == nil || breaker.State == board.BreakerClosed:
			closed = append(closed, endpoint)
		case breaker.State == board.BreakerHalfOpen:
			halfOpen = append(halfOpen, halfOpenEndpoint{endpoint: endpoint, breaker: breaker})
		}
	}
	if len(closed) == 0 {
		closed = endpoints
	}
	return closed, halfOpen
}

// trialPicker sends one trial call to each half-open endpoint and leaves all
// others to the policy.
type trialPicker struct {
	inner    board.Picker
	halfOpen []halfOpenEndpoint
}

// Pick implements board.Picker.
func (p *trialPicker) Pick(req *board.PickRequest) *board.Endpoint {
	for _, candidate := range p.halfOpen {
		if !req.Excludes(candidate.endpoint.Member.Instance) && candidate.endpoint.AcceptsCalls() && candidate.breaker.AcquireTrial() {
			return candidate.endpoint
		}
	}
	return p.inner.Pick(req)
}
