package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// Guards against a slow host that is taken to stay slow for ever, and against
// an old report that is believed.
func TestSlowHostIsExpectedToRecover(t *testing.T) {
	require.Equal(t, 100*ms, Speed{Slowdown: 1}.ServiceTime(100*ms))
	slow := Speed{Slowdown: 7}.ServiceTime(100 * ms)
	require.Greater(t, slow, 300*ms)
	require.Less(t, slow, 700*ms)
	require.InDelta(t, 7, Speed{Slowdown: 7}.Decayed(0, 1).CurrentSlowdown(), 0.01)
	require.InDelta(t, MeanSlowdown, Speed{Slowdown: 7}.Decayed(5*time.Second, 1).CurrentSlowdown(), 0.1)
	require.InDelta(t, MeanSlowdown, Speed{}.Decayed(0, 1).CurrentSlowdown(), 0)
}

// Guards against a wait that is expected while a slot is free, and against one
// that does not grow with the calls ahead.
func TestQueueWaitGrowsWithCallsAhead(t *testing.T) {
	load := Load{Running: 3, Slots: 4, Speed: Speed{Slowdown: 1}, MeanServiceTime: 100 * ms}
	require.Zero(t, QueueWait(load))
	load.Running = 4
	one := QueueWait(load)
	require.Positive(t, one)
	load.Waiting = 4
	require.Equal(t, 5*one, QueueWait(load))
}

// Guards against a cold backend server that is expected to reach its usual
// speed within milliseconds, and against one that is warm and counts as cold.
func TestMinFilterTellsColdServerFromSlowHost(t *testing.T) {
	now := time.Unix(0, 0)
	var floor MinFilter
	report := func(slowdown float64, during time.Duration) {
		for end := now.Add(during); now.Before(end); now = now.Add(50 * ms) {
			floor = floor.Add(slowdown, now)
		}
	}
	report(14, 200*ms)
	require.InDelta(t, 2, floor.Value(2, now), 0, "assumed until a window has passed")
	report(2, 500*ms)
	report(14, 500*ms)
	require.InDelta(t, 2, floor.Value(1, now), 0, "cold, and disturbed now")
	cold := Speed{Slowdown: 14, MinSlowdown: floor.Value(1, now)}
	require.Greater(t, cold.ServiceTime(220*ms), 700*ms)
	require.Less(t, Speed{Slowdown: 7, MinSlowdown: 1}.ServiceTime(220*ms), 500*ms)
	require.InDelta(t, 2*MeanSlowdown, cold.Decayed(SpeedDecay, 1).LongTermSlowdown(), 0.8)
	report(1, 100*ms)
	require.InDelta(t, 1, floor.Value(2, now), 0, "warm")
	now = now.Add(3 * time.Second)
	report(7, 100*ms)
	require.InDelta(t, 1, floor.Value(1, now), 0, "nothing is known after a pause")
}

// Guards against a few slow backend servers that make all look slow, and
// against cold ones that look warm as soon as a report is old.
func TestTypicalMinSlowdown(t *testing.T) {
	floors := func(age time.Duration, values ...float64) (known []MinSlowdownReport) {
		for _, v := range values {
			known = append(known, MinSlowdownReport{v, age})
		}
		return known
	}
	require.InDelta(t, 1, TypicalMinSlowdown(nil), 0)
	require.InDelta(t, 1, TypicalMinSlowdown(floors(0, 2)), 0)
	require.InDelta(t, 2, TypicalMinSlowdown(floors(0, 2, 2.1)), 0)
	require.InDelta(t, 1, TypicalMinSlowdown(floors(0, 1, 4, 1, 1, 4, 1)), 0)
	require.InDelta(t, 1, TypicalMinSlowdown(floors(time.Minute, 2, 2, 2, 2)), 0)
	warm := append(floors(0, 1, 1, 1), floors(2*MinSlowdownDecay, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2)...)
	require.InDelta(t, 1, TypicalMinSlowdown(warm), 0)
	require.InDelta(t, 2, Speed{MinSlowdown: 1}.Decayed(time.Minute, 2).MinSlowdown, 0.01)
	require.InDelta(t, 1, Speed{MinSlowdown: 1}.Decayed(0, 2).MinSlowdown, 0.01)
}
