package pacing

import (
	"math/rand/v2"
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

// A body that can't arrive in time must be refused before it is sent: on a link that is
// full of such bodies no call is in time, not even a small one.
func TestAcceptUpload(t *testing.T) {
	rate := BodyRate(UsableRate(15))
	u := Upload{Bytes: 60_000, Rate: rate, ServiceTime: 80 * time.Millisecond, TimeLeft: 600 * time.Millisecond}
	require.True(t, AcceptUpload(u))
	u.Backlog = 400 * time.Millisecond
	require.True(t, AcceptUpload(u))
	u.Backlog = 500 * time.Millisecond
	require.False(t, AcceptUpload(u))
	require.True(t, AcceptUpload(Upload{Bytes: 1 << 30, TimeLeft: time.Second}), "the rate of the link is not known")
}

// Plays uploads at 1.5 times what a link of 15 Mbit/s carries, with bodies of 15 to 180
// kB and 600 ms for each. Accepted bodies must arrive in time and use most of the link;
// without the decision all would be late after the first second.
func TestUploadsBeyondTheLinkRate(t *testing.T) {
	rate := BodyRate(UsableRate(15))
	random := rand.New(rand.NewPCG(3, 4))
	const meanBytes, objective, service = 60_000, 600 * time.Millisecond, 80 * time.Millisecond
	interval := time.Duration(float64(TransferTime(meanBytes, rate)) / 1.5)
	var freeAt time.Duration
	var sent int64
	end := 20 * time.Second
	for now := time.Duration(0); now < end; now += interval {
		bytes := int64(meanBytes * (0.25 + 1.5*random.Float64()))
		if !AcceptUpload(Upload{Bytes: bytes, Backlog: max(0, freeAt-now), Rate: rate, ServiceTime: service, TimeLeft: objective}) {
			continue
		}
		_, freeAt = Reserve(freeAt, now, bytes, rate)
		require.LessOrEqual(t, freeAt+service-now, objective)
		sent += bytes
	}
	require.Greater(t, TransferTime(sent, rate), time.Duration(0.95*float64(end)))
}
