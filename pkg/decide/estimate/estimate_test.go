package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// Guards against an estimate that assumes that a slow host stays slow, and
// against trust in a stale report.
func TestSlowHostIsExpectedToRecover(t *testing.T) {
	require.Equal(t, 100*ms, Speed{Slowdown: 1}.ServiceTime(100*ms))
	slow := Speed{Slowdown: 7}.ServiceTime(100 * ms)
	require.Greater(t, slow, 300*ms)
	require.Less(t, slow, 700*ms)
	require.InDelta(t, 7, Speed{Slowdown: 7}.Decayed(0, 1).CurrentSlowdown(), 0.01)
	require.InDelta(t, MeanSlowdown, Speed{Slowdown: 7}.Decayed(5*time.Second, 1).CurrentSlowdown(), 0.1)
	require.InDelta(t, MeanSlowdown, Speed{}.Decayed(0, 1).CurrentSlowdown(), 0)
}

// Guards against an expected wait while a slot is free, and against a wait
// that does not grow with the number of calls ahead.
func TestQueueWaitGrowsWithCallsAhead(t *testing.T) {
	load := Load{Running: 3, Slots: 4, Speed: Speed{Slowdown: 1}, MeanServiceTime: 100 * ms}
	require.Zero(t, QueueWait(load))
	load.Running = 4
	perCall := QueueWait(load)
	require.Positive(t, perCall)
	load.Waiting = 4
	require.Equal(t, 5*perCall, QueueWait(load))
}

// Guards against a cold backend server that is expected to reach normal speed
// within milliseconds, and against a warm one that counts as cold because its
// host is slow at the moment.
func TestMinFilterTellsColdServerFromSlowHost(t *testing.T) {
	now := time.Unix(0, 0)
	var filter MinFilter
	report := func(slowdown float64, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(50 * ms) {
			filter = filter.Add(slowdown, now)
		}
	}
	report(14, 200*ms)
	require.InDelta(t, 2, filter.Value(2, now), 0, "upper bound until a window has passed")
	report(2, 500*ms)
	report(14, 500*ms)
	require.InDelta(t, 2, filter.Value(1, now), 0, "cold server on a host that is slow now")
	cold := Speed{Slowdown: 14, MinSlowdown: filter.Value(1, now)}
	require.Greater(t, cold.ServiceTime(220*ms), 700*ms)
	require.Less(t, Speed{Slowdown: 7, MinSlowdown: 1}.ServiceTime(220*ms), 500*ms)
	require.InDelta(t, 2*MeanSlowdown, cold.Decayed(SpeedDecay, 1).LongTermSlowdown(), 0.8)
	report(1, 100*ms)
	require.InDelta(t, 1, filter.Value(2, now), 0, "warm server")
	now = now.Add(3 * time.Second)
	report(7, 100*ms)
	require.InDelta(t, 1, filter.Value(1, now), 0, "upper bound after a pause in the reports")
}

// Guards against a few slow backend servers that make all of them look slow,
// and against cold ones that look warm as soon as their reports are stale.
func TestTypicalMinSlowdown(t *testing.T) {
	reports := func(age time.Duration, values ...float64) (list []MinSlowdownReport) {
		for _, v := range values {
			list = append(list, MinSlowdownReport{v, age})
		}
		return list
	}
	require.InDelta(t, 1, TypicalMinSlowdown(nil), 0)
	require.InDelta(t, 1, TypicalMinSlowdown(reports(0, 2)), 0)
	require.InDelta(t, 2, TypicalMinSlowdown(reports(0, 2, 2.1)), 0)
	require.InDelta(t, 1, TypicalMinSlowdown(reports(0, 1, 4, 1, 1, 4, 1)), 0)
	require.InDelta(t, 1, TypicalMinSlowdown(reports(time.Minute, 2, 2, 2, 2)), 0)
	warm := append(reports(0, 1, 1, 1), reports(2*MinSlowdownDecay, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2)...)
	require.InDelta(t, 1, TypicalMinSlowdown(warm), 0)
	require.InDelta(t, 2, Speed{MinSlowdown: 1}.Decayed(time.Minute, 2).MinSlowdown, 0.01)
	require.InDelta(t, 1, Speed{MinSlowdown: 1}.Decayed(0, 2).MinSlowdown, 0.01)
}
