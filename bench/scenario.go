package main

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/loadgen"
)

// scenario is the load and the faults of a run.
type scenario struct {
	name string
	// loadFactor is the call rate relative to the nominal capacity of the site.
	loadFactor float64
	// callTimeout is the deadline of each call; 0 means defaultCallTimeout.
	callTimeout time.Duration
	// serverBehaviour returns the behaviour of the i-th server of the first
	// service. The servers of other services behave normally.
	serverBehaviour func(i int) behaviour
	// onMeasurementStart is called when the warm-up ends, unless it is nil.
	onMeasurementStart func(ctx context.Context, f *fleet)
	// isolateDomain cuts off the last failure domain when the warm-up ends.
	isolateDomain bool
	// discardFleet is set if the fleet can't be reused for another run.
	discardFleet bool
}

const defaultCallTimeout = 500 * time.Millisecond

func normalBehaviour(int) behaviour { return behaviour{slowdown: 1} }

// firstServerOnly changes the behaviour of the first server only.
func firstServerOnly(change func(*behaviour)) func(int) behaviour {
	return func(i int) behaviour {
		b := behaviour{slowdown: 1}
		if i == 0 {
			change(&b)
		}
		return b
	}
}

var scenarios = []scenario{
	{name: "swings-50", loadFactor: 0.5, serverBehaviour: normalBehaviour},
	{name: "swings-75", loadFactor: 0.75, serverBehaviour: normalBehaviour},
	{name: "swings-90", loadFactor: 0.9, serverBehaviour: normalBehaviour},
	{name: "neighbours", loadFactor: 0.6, serverBehaviour: func(i int) behaviour { return behaviour{slowdown: 1, noisyNeighbour: i%3 == 0} }},
	{name: "one-slow", loadFactor: 0.6, serverBehaviour: firstServerOnly(func(b *behaviour) { b.slowdown = 5 })},
	{name: "stale-reports", loadFactor: 0.75, serverBehaviour: func(int) behaviour { return behaviour{slowdown: 1, reportsStaleLoad: true} }},
	{name: "false-report", loadFactor: 0.75, serverBehaviour: firstServerOnly(func(b *behaviour) { b.reportsNoLoad = true })},
	{name: "fails-fast", loadFactor: 0.6, serverBehaviour: firstServerOnly(func(b *behaviour) { b.failsFast = true })},
	{name: "restart", loadFactor: 0.6, serverBehaviour: normalBehaviour, onMeasurementStart: func(ctx context.Context, f *fleet) { f.instances[0].server.restart(ctx) }},
	{name: "domain-lost", loadFactor: 0.5, serverBehaviour: normalBehaviour, isolateDomain: true, discardFleet: true},
	{name: "capacity", loadFactor: 1, serverBehaviour: normalBehaviour, callTimeout: 250 * time.Millisecond},
	{name: "overload", loadFactor: 2, serverBehaviour: normalBehaviour, callTimeout: 250 * time.Millisecond},
}

// callMix returns the calls of a run: 80 % idempotent reads, 10 % critical
// writes and 10 % background reads, spread over the services by their slots.
func (s *scenario) callMix(site *siteConfig) []loadgen.CallSpec {
	timeout := s.callTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	var calls []loadgen.CallSpec
	for _, service := range site.services {
		slots := float64(service.serverCount * service.slotsPerServer)
		calls = append(calls,
			loadgen.CallSpec{Service: service.name, Method: "GET", Path: "/reads", Weight: 0.8 * slots, Deadline: timeout},
			loadgen.CallSpec{Service: service.name, Method: "POST", Path: "/writes", Weight: 0.1 * slots, Deadline: timeout, Priority: "critical", Body: []byte("write")},
			loadgen.CallSpec{Service: service.name, Method: "GET", Path: "/checks", Weight: 0.1 * slots, Deadline: timeout, Priority: "background"},
		)
	}
	return calls
}
