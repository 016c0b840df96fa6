package loadgen

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Sender carries out one call. Any number of goroutines call it at once.
type Sender interface {
	Send(ctx context.Context, shot *ScheduledCall) Response
}

// Run starts the calls of a plan and returns when all have ended. When ctx
// ends earlier, the result holds what was measured until then.
func Run(ctx context.Context, plan Plan, doer Sender) (*Result, error) {
	if err := plan.check(); err != nil {
		return nil, errors.Trace(err)
	}
	if plan.MaxInFlight <= 0 {
		plan.MaxInFlight = DefaultMaxInFlight
	}
	r := &run{
		doer: doer, collector: newCollector(&plan), slots: make(chan struct{}, plan.MaxInFlight), start: time.Now(),
	}
	r.shootAll(ctx, newSchedule(&plan))
	r.calls.Wait()
	return r.collector.result, nil
}

type run struct {
	doer      Sender
	collector *collector
	slots     chan struct{}
	start     time.Time
	calls     sync.WaitGroup
}

func (r *run) shootAll(ctx context.Context, s *schedule) {
	for {
		shot, more := s.next()
		if !more || !waitUntil(ctx, r.start.Add(shot.At)) {
			return
		}
		select {
		case r.slots <- struct{}{}:
			r.calls.Go(func() { r.shoot(ctx, shot) })
		default:
			r.collector.dropped(&shot)
		}
	}
}

func (r *run) shoot(ctx context.Context, shot ScheduledCall) {
	defer func() { <-r.slots }()
	intended := r.start.Add(shot.At)
	lag := time.Since(intended)
	answer := r.doer.Send(ctx, &shot)
	r.collector.add(&shot, &answer, lag, time.Since(intended))
}

// waitUntil sleeps until t and reports false when ctx ended before.
func waitUntil(ctx context.Context, t time.Time) bool {
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
