package main

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/loadgen"
)

// scenario is one condition of the measurement.
type scenario struct {
	name string
	// load is the rate of calls as a share of the nominal capacity.
	load float64
	// deadline of each call; 0 means callDeadline.
	deadline time.Duration
	// server gives the behaviour of the i-th server of the first service.
	server func(i int) behaviour
	// event happens at the start of the counted part.
	event func(ctx context.Context, f *fleet)
	// loseDomain cuts off the last failure domain at the event.
	loseDomain bool
	// spoils is set when the fleet cannot be used for another run.
	spoils bool
}

const callDeadline = 500 * time.Millisecond

func steady(int) behaviour { return behaviour{slow: 1} }

// onlyFirst changes the behaviour of one server.
func onlyFirst(change func(*behaviour)) func(int) behaviour {
	return func(i int) behaviour {
		b := behaviour{slow: 1}
		if i == 0 {
			change(&b)
		}
		return b
	}
}

var scenarios = []scenario{
	{name: "swings-50", load: 0.5, server: steady},
	{name: "swings-75", load: 0.75, server: steady},
	{name: "swings-90", load: 0.9, server: steady},
	{name: "neighbours", load: 0.6, server: func(i int) behaviour { return behaviour{slow: 1, neighbour: i%3 == 0} }},
	{name: "one-slow", load: 0.6, server: onlyFirst(func(b *behaviour) { b.slow = 5 })},
	{name: "stale-reports", load: 0.75, server: func(int) behaviour { return behaviour{slow: 1, staleReport: true} }},
	{name: "false-report", load: 0.75, server: onlyFirst(func(b *behaviour) { b.falseReport = true })},
	{name: "fails-fast", load: 0.6, server: onlyFirst(func(b *behaviour) { b.failing = true })},
	{name: "restart", load: 0.6, server: steady, event: func(ctx context.Context, f *fleet) { f.members[0].server.restart(ctx) }},
	{name: "domain-lost", load: 0.5, server: steady, loseDomain: true, spoils: true},
	{name: "capacity", load: 1, server: steady, deadline: 250 * time.Millisecond},
	{name: "overload", load: 2, server: steady, deadline: 250 * time.Millisecond},
}

// mix is the calls of a run: mostly idempotent reads, some writes and some
// background work.
func (s *scenario) mix(sh *shape) []loadgen.CallSpec {
	deadline := s.deadline
	if deadline == 0 {
		deadline = callDeadline
	}
	var calls []loadgen.CallSpec
	for _, service := range sh.services {
		slots := float64(service.servers * service.slots)
		calls = append(calls,
			loadgen.CallSpec{Service: service.name, Method: "GET", Path: "/reads", Weight: 0.8 * slots, Deadline: deadline},
			loadgen.CallSpec{Service: service.name, Method: "POST", Path: "/writes", Weight: 0.1 * slots, Deadline: deadline, Priority: "critical", Body: []byte("write")},
			loadgen.CallSpec{Service: service.name, Method: "GET", Path: "/checks", Weight: 0.1 * slots, Deadline: deadline, Priority: "background"},
		)
	}
	return calls
}
