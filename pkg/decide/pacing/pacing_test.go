package pacing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// Guards against chunks that are sent faster than the link carries them, and
// against an idle link that accumulates credit for a later burst.
func TestReserve(t *testing.T) {
	rate := UsableRate(14)
	require.InDelta(t, 1.66e6, rate, 1e4)
	start, freeAt := Reserve(0, 100*ms, 16625, rate)
	require.Equal(t, 100*ms, start)
	require.Equal(t, 110*ms, freeAt.Round(ms))
	start, freeAt = Reserve(freeAt, 101*ms, 16625, rate)
	require.Equal(t, 110*ms, start.Round(ms))
	require.Equal(t, 120*ms, freeAt.Round(ms))
	start, _ = Reserve(freeAt, 500*ms, 1, rate)
	require.Equal(t, 500*ms, start)
	_, freeAt = Reserve(0, 7*ms, 1<<20, 0)
	require.Equal(t, 7*ms, freeAt, "no pacing on a link of unknown rate")
}

// Guards against a large response that counts as cheap on a slow link, and
// against a backlog that counts although it is gone when the response is
// ready.
func TestResponseDelay(t *testing.T) {
	slowLink, fastLink := UsableRate(14), UsableRate(200)
	require.Greater(t, ResponseDelay(0, 200*ms, 90_000, slowLink), 50*ms)
	require.Less(t, ResponseDelay(0, 200*ms, 90_000, fastLink), 5*ms)
	require.Equal(t, 100*ms, ResponseDelay(300*ms, 200*ms, 0, slowLink))
	require.Zero(t, ResponseDelay(150*ms, 200*ms, 0, slowLink), "the backlog is gone when the response is ready")
}
