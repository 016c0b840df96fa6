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

// Durations of the phases. Phases with direct calls and with calls through the nodes
// alternate, so that a change of the machine's speed affects both.
const (
	// Connections between clients, nodes and backend servers are opened during
	// warm-up. Its calls are checked but excluded from the latencies.
	warmUpDuration     = 2 * time.Second
	rounds             = 3
	roundDuration      = 3 * time.Second
	faultPhaseDuration = 9 * time.Second
	// Start of each fault, from the start of the fault phase.
	killAfter   = 2 * time.Second
	drainAfter  = 4 * time.Second
	repeatAfter = 6500 * time.Millisecond
	// drainTimeLimit is the time from a drain after which the backend server must
	// not receive calls.
	drainTimeLimit = 2 * time.Second
)

// results holds the results of the clients by phase.
type results struct {
	warmUp, direct, mesh, duringFaults []Result
	// repeats are calls with the idempotency key of an earlier call.
	repeats []Result
	// killed and drained are the instances whose backend server was killed or
	// drained.
	killed, drained *instance
	// completedAfterDrain is the number of calls that the drained backend server
	// completed from drainTimeLimit after the drain until the end of the phase.
	completedAfterDrain uint64
}

// runPhases replays the recording in each phase and injects the faults.
func runPhases(ctx context.Context, f *fleet, recorded []RecordedCall) (*results, error) {
	direct, mesh := newClient(true), newClient(false)
	r := &results{}
	fmt.Println("warm-up")
	r.warmUp = append(direct.replay(ctx, f, recorded, warmUpDuration), mesh.replay(ctx, f, recorded, warmUpDuration)...)
	for round := range rounds {
		fmt.Printf("round %d of %d: direct calls, then the same calls through the nodes\n", round+1, rounds)
		r.direct = append(r.direct, direct.replay(ctx, f, recorded, roundDuration)...)
		r.mesh = append(r.mesh, mesh.replay(ctx, f, recorded, roundDuration)...)
	}
	if ctx.Err() != nil {
		return nil, errors.Trace(ctx.Err())
	}
	var wg sync.WaitGroup
	var firstErr error
	wg.Go(func() { firstErr = r.injectFaults(ctx, f, mesh, recorded) })
	r.duringFaults = mesh.replay(ctx, f, recorded, faultPhaseDuration)
	wg.Wait()
	if firstErr == nil {
		firstErr = r.countCallsAfterDrain(ctx)
	}
	if firstErr == nil {
		r.repeatUnknownBookings(ctx, f, mesh)
		firstErr = ctx.Err()
	}
	return r, errors.Trace(firstErr)
}

// injectFaults kills one backend server, drains another and repeats a booking
// through another node, while the recording is replayed.
func (r *results) injectFaults(ctx context.Context, f *fleet, mesh *client, recorded []RecordedCall) error {
	started := time.Now()
	r.killed, r.drained = f.instances[1], f.instances[2]
	if !sleep(ctx, killAfter) {
		return ctx.Err()
	}
	fmt.Printf("kill backend server %s\n", r.killed.name)
	r.killed.serverProcess.signal(syscall.SIGKILL)
	if !sleep(ctx, time.Until(started.Add(drainAfter))) {
		return ctx.Err()
	}
	fmt.Printf("drain %s\n", r.drained.name)
	if _, err := doRequest(ctx, http.MethodPost, "http://"+r.drained.operatorAddr+"/v1/drain"); err != nil {
		return errors.Annotate(err, "drain")
	}
	if !sleep(ctx, drainTimeLimit) {
		return ctx.Err()
	}
	counters, err := readCounters(ctx, r.drained)
	if err != nil {
		return errors.Trace(err)
	}
	r.completedAfterDrain = counters.Completed
	if !sleep(ctx, time.Until(started.Add(repeatAfter))) {
		return ctx.Err()
	}
	return r.repeatBooking(ctx, f, mesh, recorded)
}

// countCallsAfterDrain subtracts the count of completed calls at drainTimeLimit,
// which injectFaults has stored in completedAfterDrain, from the current count.
func (r *results) countCallsAfterDrain(ctx context.Context) error {
	counters, err := readCounters(ctx, r.drained)
	r.completedAfterDrain = counters.Completed - r.completedAfterDrain
	return errors.Trace(err)
}

// repeatBooking sends a booking and, after its response, the same booking with the
// same idempotency key through another node.
func (r *results) repeatBooking(ctx context.Context, f *fleet, mesh *client, recorded []RecordedCall) error {
	for _, rec := range recorded {
		if rec.Kind != f.site.BookingKind {
			continue
		}
		first := mesh.newCall(f, rec)
		first.Target = f.instances[0]
		repeated := first
		repeated.Target, repeated.Repeated = f.instances[3], true
		fmt.Printf("send one %s through %s and again through %s\n", rec.Kind, first.Target.name, repeated.Target.name)
		r.repeats = append(r.repeats, mesh.send(ctx, first, time.Now()), mesh.send(ctx, repeated, time.Now()))
		return nil
	}
	return errors.Errorf("the recording contains no %s", f.site.BookingKind)
}

// repeatUnknownBookings sends each booking whose outcome is unknown once more, with
// the same idempotency key through another node, as a caller would.
func (r *results) repeatUnknownBookings(ctx context.Context, f *fleet, mesh *client) {
	for _, result := range r.duringFaults {
		if result.Method != http.MethodPost || result.Outcome != board.OutcomeUnknown.String() {
			continue
		}
		repeated := result.Call
		repeated.Repeated = true
		repeated.Target = f.instances[0]
		if result.Target == repeated.Target {
			repeated.Target = f.instances[3]
		}
		r.repeats = append(r.repeats, mesh.send(ctx, repeated, time.Now()))
	}
}
