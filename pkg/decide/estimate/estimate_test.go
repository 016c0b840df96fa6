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
	require.Equal(t, 100*ms, Work(100*ms, 1))
	slow := Work(100*ms, 7)
	require.Greater(t, slow, 300*ms)
	require.Less(t, slow, 700*ms)
	require.InDelta(t, 7, Aged(7, 0), 0.01)
	require.InDelta(t, UsualSlowdown, Aged(7, 5*time.Second), 0.1)
	require.InDelta(t, UsualSlowdown, Aged(0, 0), 0)
}

// Guards against a wait that is expected while a slot is free, and against one
// that does not grow with the calls ahead.
func TestWaitGrowsWithTheCallsAhead(t *testing.T) {
	load := Load{Running: 3, Slots: 4, Slowdown: 1, Mean: 100 * ms}
	require.Zero(t, Wait(load))
	load.Running = 4
	one := Wait(load)
	require.Positive(t, one)
	load.Waiting = 4
	require.Equal(t, 5*one, Wait(load))
}
