package loadgen

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// stallingSender simulates a system that stalls for stallDuration from startedAt.
type stallingSender struct {
	startedAt     time.Time
	stallDuration time.Duration
}

// Send responds immediately, but not before the stall has ended.
func (s *stallingSender) Send(context.Context, *ScheduledCall) Response {
	time.Sleep(s.stallDuration - time.Since(s.startedAt))
	return Response{Outcome: "succeeded", Status: 200, Instance: "b1"}
}

func testPlan() Plan {
	return Plan{
		Rate: 100, Duration: 2 * time.Second, Seed: 7, Targets: []Target{{Name: "n1"}, {Name: "n2"}},
		Mix: []CallSpec{{Service: "a", Weight: 3, Deadline: 100 * time.Millisecond}, {Service: "b", Weight: 1}, {Service: "never"}},
	}
}

// Guards against coordinated omission: a stall of 1 s must show in the latency of
// all calls whose intended start was during the stall.
func TestLatencyIsMeasuredFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan()
		plan.MaxInFlight = 1000
		result, err := Run(t.Context(), plan, &stallingSender{startedAt: time.Now(), stallDuration: time.Second})
		require.NoError(t, err)
		require.Zero(t, result.Dropped)
		require.InDelta(t, 0.5, result.Percentile(75).Seconds(), 0.15)
		require.Equal(t, result.Sent, result.OnTime+result.MissedDeadline)
		require.Greater(t, result.MissedDeadline, result.Sent/4)
	})
}

// Guards against runs that cannot be compared because their schedules differ,
// and against call specs that are picked without regard to their weights.
func TestScheduleFollowsSeedRateAndMix(t *testing.T) {
	plan := testPlan()
	first, second := newSchedule(&plan), newSchedule(&plan)
	callsByService := map[string]int{}
	total := 0
	for {
		call, more := first.next()
		otherCall, _ := second.next()
		require.Equal(t, call, otherCall)
		if !more {
			break
		}
		callsByService[call.Spec.Service]++
		total++
	}
	require.InDelta(t, 200, total, 45)
	require.InDelta(t, 0.75, float64(callsByService["a"])/float64(total), 0.1)
	require.Zero(t, callsByService["never"])
}

// Guards against a plan that runs forever or divides by zero.
func TestRunRejectsInvalidPlan(t *testing.T) {
	for name, modify := range map[string]func(*Plan){
		"rate":    func(p *Plan) { p.Rate = 0 },
		"length":  func(p *Plan) { p.Duration = 0 },
		"warm-up": func(p *Plan) { p.Warmup = p.Duration },
		"targets": func(p *Plan) { p.Targets = nil },
		"mix":     func(p *Plan) { p.Mix = p.Mix[2:] },
	} {
		plan := testPlan()
		modify(&plan)
		_, err := Run(t.Context(), plan, nil)
		require.Error(t, err, name)
	}
}

// Guards against a load generator that starts calls late and leaves its own delay out
// of the measured latency.
func TestLatencyIncludesGeneratorDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan()
		r := &runner{
			sender: &stallingSender{startedAt: time.Now()}, collector: newCollector(&plan),
			inFlight: make(chan struct{}, 1), startedAt: time.Now().Add(-time.Second),
		}
		r.inFlight <- struct{}{}
		r.sendCall(t.Context(), ScheduledCall{Spec: &plan.Mix[0], Measured: true})
		require.InDelta(t, 1.0, r.collector.result.P50().Seconds(), 0.01)
		require.Equal(t, time.Second, r.collector.result.MaxStartDelay)
	})
}
