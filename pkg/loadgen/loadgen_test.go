package loadgen

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

type stallingDoer struct {
	start time.Time
	until time.Duration
}

// Send answers at once, but not before the stall of the system has ended.
func (d *stallingDoer) Send(context.Context, *ScheduledCall) Response {
	time.Sleep(d.until - time.Since(d.start))
	return Response{Outcome: "succeeded", Status: 200, Instance: "b1"}
}

func testPlan() Plan {
	return Plan{
		Rate: 100, Duration: 2 * time.Second, Seed: 7, Targets: []Target{{Name: "n1"}, {Name: "n2"}},
		Mix: []CallSpec{{Service: "a", Weight: 3, Deadline: 100 * time.Millisecond}, {Service: "b", Weight: 1}, {Service: "never"}},
	}
}

// Guards against coordinated omission: a stall of 1 s must show in the latency
// of all calls that were due during the stall.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan()
		plan.MaxInFlight = 1000
		result, err := Run(t.Context(), plan, &stallingDoer{start: time.Now(), until: time.Second})
		require.NoError(t, err)
		require.Zero(t, result.Dropped)
		require.InDelta(t, 0.5, result.Quantile(75).Seconds(), 0.15)
		require.Equal(t, result.Sent, result.Good+result.MissedDeadline)
		require.Greater(t, result.MissedDeadline, result.Sent/4)
	})
}

// Guards against runs that cannot be compared because their schedules differ,
// and against a mix that ignores its weights.
func TestScheduleFollowsSeedRateAndMix(t *testing.T) {
	plan := testPlan()
	first, second := newSchedule(&plan), newSchedule(&plan)
	counts := map[string]int{}
	total := 0
	for {
		a, more := first.next()
		b, _ := second.next()
		require.Equal(t, a, b)
		if !more {
			break
		}
		counts[a.Spec.Service]++
		total++
	}
	require.InDelta(t, 200, total, 45)
	require.InDelta(t, 0.75, float64(counts["a"])/float64(total), 0.1)
	require.Zero(t, counts["never"])
}

// Guards against a plan that runs without end or divides by zero.
func TestRunRefusesBadPlan(t *testing.T) {
	for name, change := range map[string]func(*Plan){
		"rate":    func(p *Plan) { p.Rate = 0 },
		"length":  func(p *Plan) { p.Duration = 0 },
		"warm-up": func(p *Plan) { p.Warmup = p.Duration },
		"targets": func(p *Plan) { p.Targets = nil },
		"mix":     func(p *Plan) { p.Mix = p.Mix[2:] },
	} {
		plan := testPlan()
		change(&plan)
		_, err := Run(t.Context(), plan, nil)
		require.Error(t, err, name)
	}
}

// Guards against a generator that is late itself and hides its own delay.
func TestLatencyIncludesLagOfGenerator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan()
		r := &run{
			doer: &stallingDoer{start: time.Now()}, collector: newCollector(&plan),
			slots: make(chan struct{}, 1), start: time.Now().Add(-time.Second),
		}
		r.slots <- struct{}{}
		r.shoot(t.Context(), ScheduledCall{Spec: &plan.Mix[0], Counted: true})
		require.InDelta(t, 1.0, r.collector.result.P50().Seconds(), 0.01)
		require.Equal(t, time.Second, r.collector.result.MaxStartDelay)
	})
}
