package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// Guards against a slow host that is taken to stay slow for ever, and against
// an old report that is believed.
func TestSlowHostsRecover(t *testing.T) {
	require.Equal(t, 100*ms, Speed{Slowdown: 1}.Work(100*ms))
	slow := Speed{Slowdown: 7}.Work(100 * ms)
	require.Greater(t, slow, 300*ms)
	require.Less(t, slow, 700*ms)
	require.InDelta(t, 7, Speed{Slowdown: 7}.Aged(0, 1).Now(), 0.01)
	require.InDelta(t, UsualSlowdown, Speed{Slowdown: 7}.Aged(5*time.Second, 1).Now(), 0.1)
	require.InDelta(t, UsualSlowdown, Speed{}.Aged(0, 1).Now(), 0)
}

// Guards against a wait that is expected while a slot is free, and against one
// that does not grow with the calls ahead.
func TestWaitGrowsWithTheCallsAhead(t *testing.T) {
	load := Load{Running: 3, Slots: 4, Speed: Speed{Slowdown: 1}, Mean: 100 * ms}
	require.Zero(t, Wait(load))
	load.Running = 4
	one := Wait(load)
	require.Positive(t, one)
	load.Waiting = 4
	require.Equal(t, 5*one, Wait(load))
}

// Guards against a cold backend server that is expected to reach its usual
// speed within milliseconds, and against one that is warm and counts as cold.
func TestFloorTellsColdServersFromNoise(t *testing.T) {
	now := time.Unix(0, 0)
	var floor Floor
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
	cold := Speed{Slowdown: 14, Floor: floor.Value(1, now)}
	require.Greater(t, cold.Work(220*ms), 700*ms)
	require.Less(t, Speed{Slowdown: 7, Floor: 1}.Work(220*ms), 500*ms)
	require.InDelta(t, 2*UsualSlowdown, cold.Aged(SpeedMemory, 1).Settled(), 0.8)
	report(1, 100*ms)
	require.InDelta(t, 1, floor.Value(2, now), 0, "warm")
	now = now.Add(3 * time.Second)
	report(7, 100*ms)
	require.InDelta(t, 1, floor.Value(1, now), 0, "nothing is known after a pause")
}

// Guards against a few slow backend servers that make all look slow, and
// against cold ones that look warm as soon as a report is old.
func TestCommonFloor(t *testing.T) {
	floors := func(age time.Duration, values ...float64) (known []KnownFloor) {
		for _, v := range values {
			known = append(known, KnownFloor{v, age})
		}
		return known
	}
	require.InDelta(t, 1, CommonFloor(nil), 0)
	require.InDelta(t, 1, CommonFloor(floors(0, 2)), 0)
	require.InDelta(t, 2, CommonFloor(floors(0, 2, 2.1)), 0)
	require.InDelta(t, 1, CommonFloor(floors(0, 1, 4, 1, 1, 4, 1)), 0)
	require.InDelta(t, 1, CommonFloor(floors(time.Minute, 2, 2, 2, 2)), 0)
	warm := append(floors(0, 1, 1, 1), floors(2*FloorMemory, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2)...)
	require.InDelta(t, 1, CommonFloor(warm), 0)
	require.InDelta(t, 2, Speed{Floor: 1}.Aged(time.Minute, 2).Floor, 0.01)
	require.InDelta(t, 1, Speed{Floor: 1}.Aged(0, 2).Floor, 0.01)
}
