package loadgen

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Sender sends calls. Implementations must be safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, call *ScheduledCall) Response
}

// Run starts the calls of a plan and returns when all have ended. If ctx ends
// earlier, the result holds what was measured until then.
func Run(ctx context.Context, plan Plan, sender Sender) (*Result, error) {
	if err := plan.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	if plan.MaxInFlight <= 0 {
		plan.MaxInFlight = DefaultMaxInFlight
	}
	r := &runner{
		sender: sender, collector: newCollector(&plan), inFlight: make(chan struct{}, plan.MaxInFlight), startedAt: time.Now(),
	}
	r.startCalls(ctx, newSchedule(&plan))
	r.activeCalls.Wait()
	return r.collector.result, nil
}

type runner struct {
	sender      Sender
	collector   *collector
	inFlight    chan struct{}
	startedAt   time.Time
	activeCalls sync.WaitGroup
}

func (r *runner) startCalls(ctx context.Context, s *schedule) {
	for {
		call, more := s.next()
		if !more || !sleepUntil(ctx, r.startedAt.Add(call.Offset)) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
			r.activeCalls.Go(func() { r.sendCall(ctx, call) })
		default:
			r.collector.recordDropped(&call)
		}
	}
}

func (r *runner) sendCall(ctx context.Context, call ScheduledCall) {
	defer func() { <-r.inFlight }()
	intendedStart := r.startedAt.Add(call.Offset)
	startDelay := time.Since(intendedStart)
	response := r.sender.Send(ctx, &call)
	r.collector.recordResponse(&call, &response, startDelay, time.Since(intendedStart))
}

// sleepUntil sleeps until t. It returns false if ctx ended before that.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
