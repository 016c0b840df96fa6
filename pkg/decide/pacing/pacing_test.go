package pacing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// Guards against pieces that are sent faster than the link carries them, and
// against a link that saves up the time in which it was idle.
func TestReserve(t *testing.T) {
	rate := UsableRate(14)
	require.InDelta(t, 1.66e6, rate, 1e4)
	start, free := Reserve(0, 100*ms, 16625, rate)
	require.Equal(t, 100*ms, start)
	require.Equal(t, 110*ms, free.Round(ms))
	start, free = Reserve(free, 101*ms, 16625, rate)
	require.Equal(t, 110*ms, start.Round(ms))
	require.Equal(t, 120*ms, free.Round(ms))
	start, _ = Reserve(free, 500*ms, 1, rate)
	require.Equal(t, 500*ms, start)
	_, free = Reserve(0, 7*ms, 1<<20, 0)
	require.Equal(t, 7*ms, free, "a link of unknown rate does not pace")
}

// Guards against a bundle that is placed beside others on a thin link.
func TestResponseDelay(t *testing.T) {
	thin, wide := UsableRate(14), UsableRate(200)
	require.Greater(t, ResponseDelay(0, 200*ms, 90_000, thin), 50*ms)
	require.Less(t, ResponseDelay(0, 200*ms, 90_000, wide), 5*ms)
	require.Equal(t, 100*ms, ResponseDelay(300*ms, 200*ms, 0, thin))
	require.Zero(t, ResponseDelay(150*ms, 200*ms, 0, thin), "the backlog is gone when the answer is ready")
}
