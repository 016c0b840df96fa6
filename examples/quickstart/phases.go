package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
)

// Durations of the phases. Direct and mesh phases take turns, so that a
// change of the machine's speed meets both.
const (
	// warmUp opens the connections between clients, nodes and backend servers;
	// its calls count in the checks, not in the latencies.
	warmUp        = 2 * time.Second
	rounds        = 3
	roundDuration = 3 * time.Second
	faultDuration = 9 * time.Second
	killAt        = 2 * time.Second
	drainAt       = 4 * time.Second
	repeatAt      = 6500 * time.Millisecond
	// drainLimit is the time after which no node sends to a draining server.
	drainLimit = 2 * time.Second
)

// results holds what the clients saw.
type results struct {
	warm, direct, mesh, faults []Result
	// repeats are calls sent again with the key of an earlier call.
	repeats []Result
	// killed and drained are the hosts that met a fault.
	killed, drained *host
	// afterDrain counts the calls that the drained backend server completed
	// from drainLimit after the drain to the end.
	afterDrain uint64
}

// runPhases sends all calls and puts the faults in force.
func runPhases(ctx context.Context, f *fleet, recorded []Recorded) (*results, error) {
	direct, mesh := newClient(true), newClient(false)
	r := &results{}
	fmt.Println("warm-up")
	r.warm = append(direct.replay(ctx, f, recorded, warmUp), mesh.replay(ctx, f, recorded, warmUp)...)
	for round := range rounds {
		fmt.Printf("round %d of %d: direct calls, then the same calls through the nodes\n", round+1, rounds)
		r.direct = append(r.direct, direct.replay(ctx, f, recorded, roundDuration)...)
		r.mesh = append(r.mesh, mesh.replay(ctx, f, recorded, roundDuration)...)
	}
	if ctx.Err() != nil {
		return nil, errors.Trace(ctx.Err())
	}
	var faults sync.WaitGroup
	var failed error
	faults.Go(func() { failed = r.injectFaults(ctx, f, mesh, recorded) })
	r.faults = mesh.replay(ctx, f, recorded, faultDuration)
	faults.Wait()
	if failed == nil {
		failed = r.countAfterDrain(ctx)
	}
	if failed == nil {
		r.repeatUnknown(ctx, f, mesh)
		failed = ctx.Err()
	}
	return r, errors.Trace(failed)
}

// injectFaults kills one backend server, drains another and repeats one
// booking through another node, while calls are sent.
func (r *results) injectFaults(ctx context.Context, f *fleet, mesh *client, recorded []Recorded) error {
	started := time.Now()
	r.killed, r.drained = f.hosts[1], f.hosts[2]
	if !pause(ctx, killAt) {
		return ctx.Err()
	}
	fmt.Printf("kill backend server %s\n", r.killed.name)
	r.killed.backend.signal(syscall.SIGKILL)
	if !pause(ctx, time.Until(started.Add(drainAt))) {
		return ctx.Err()
	}
	fmt.Printf("drain %s\n", r.drained.name)
	if _, err := get(ctx, http.MethodPost, "http://"+r.drained.operators+"/v1/drain"); err != nil {
		return errors.Annotate(err, "drain")
	}
	if !pause(ctx, drainLimit) {
		return ctx.Err()
	}
	counters, err := readCounters(ctx, r.drained)
	if err != nil {
		return errors.Trace(err)
	}
	r.afterDrain = counters.Completed
	if !pause(ctx, time.Until(started.Add(repeatAt))) {
		return ctx.Err()
	}
	return r.repeatOne(ctx, f, mesh, recorded)
}

// countAfterDrain turns the count at the drain limit into the calls since.
func (r *results) countAfterDrain(ctx context.Context) error {
	counters, err := readCounters(ctx, r.drained)
	r.afterDrain = counters.Completed - r.afterDrain
	return errors.Trace(err)
}

// repeatOne sends a booking and, after its answer, the same booking with the
// same key through another node.
func (r *results) repeatOne(ctx context.Context, f *fleet, mesh *client, recorded []Recorded) error {
	for _, rec := range recorded {
		if rec.Kind != f.site.Booking {
			continue
		}
		first := mesh.newCall(f, rec)
		first.Target = f.hosts[0]
		again := first
		again.Target, again.Repeated = f.hosts[3], true
		fmt.Printf("send one %s through %s and again through %s\n", rec.Kind, first.Target.name, again.Target.name)
		r.repeats = append(r.repeats, mesh.send(ctx, first, time.Now()), mesh.send(ctx, again, time.Now()))
		return nil
	}
	return errors.Errorf("the input holds no %s", f.site.Booking)
}

// repeatUnknown sends each booking whose outcome is unknown once more through
// another node, as a caller would.
func (r *results) repeatUnknown(ctx context.Context, f *fleet, mesh *client) {
	for _, result := range r.faults {
		if result.Method != http.MethodPost || result.Outcome != board.OutcomeUnknown.String() {
			continue
		}
		again := result.Call
		again.Repeated = true
		again.Target = f.hosts[0]
		if result.Target == again.Target {
			again.Target = f.hosts[3]
		}
		r.repeats = append(r.repeats, mesh.send(ctx, again, time.Now()))
	}
}
