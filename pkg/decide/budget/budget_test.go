package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a window of 1 s that exceeds the limits, wherever it starts
// and whatever the pattern of demand.
func TestNoWindowExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		probes := rapid.IntRange(1, 40).Draw(t, "probes")
		bytes := rapid.IntRange(100, 8000).Draw(t, "bytes")
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		w := &SlidingWindow{}
		w.SetLimits(probes, bytes)
		now := time.Unix(0, 0)
		var taken []spentProbe
		for range 600 {
			// The demand alternates between bursts and pauses.
			if random.IntN(20) == 0 {
				now = now.Add(time.Duration(random.IntN(1200)) * time.Millisecond)
			}
			now = now.Add(time.Duration(random.IntN(4000)) * time.Microsecond)
			size := 50 + random.IntN(400)
			if w.Take(now, size) {
				taken = append(taken, spentProbe{now, size})
			}
		}
		checkWindows(t, taken, probes, bytes)
	})
}

// checkWindows fails the test if the probes in any window of 1 s exceed the
// limits.
func checkWindows(t *rapid.T, taken []spentProbe, probes, bytes int) {
	for first := range taken {
		count, size := 0, 0
		for _, s := range taken[first:] {
			if s.at.Sub(taken[first].at) >= time.Second {
				break
			}
			count++
			size += s.bytes
		}
		if count > probes || size > bytes {
			t.Fatalf("window at %v holds %d probes and %d bytes", taken[first].at, count, size)
		}
	}
}

// Guards against a change of the limits that grants a fresh budget.
func TestChangedLimitsKeepSpentTokens(t *testing.T) {
	w := &SlidingWindow{}
	now := time.Unix(0, 0)
	require.False(t, w.Take(now, 1))
	w.SetLimits(5, 1000)
	for range 5 {
		require.True(t, w.Take(now, 10))
	}
	w.SetLimits(6, 1000)
	require.True(t, w.Take(now, 10))
	require.False(t, w.Take(now, 10))
}

// Guards against retries that multiply the load. Tokens that accumulate over
// many successes must not allow more additional attempts than the share and
// the initial tokens do.
func TestAdditionalAttemptsStayWithinShare(t *testing.T) {
	tokens, additional, successes := InitialTokens(0.1), 0, 10000
	for range successes {
		tokens = EarnTokens(tokens, 0.1)
		if tokens >= Token {
			tokens -= Token
			additional++
		}
	}
	require.LessOrEqual(t, float64(additional), 0.1*float64(successes)+maxTokens/Token)
	require.Zero(t, InitialTokens(0))
}

// Guards against a hedge delay that follows the median or the maximum of
// latency.
func TestMovingP95(t *testing.T) {
	const seed = 5
	random := rand.New(rand.NewPCG(seed, 0))
	var p95 time.Duration
	sum := time.Duration(0)
	for i := range 40000 {
		p95 = MovingP95(p95, time.Duration(random.IntN(100))*time.Millisecond)
		if i >= 20000 {
			sum += p95
		}
	}
	require.InDelta(t, 95, float64((sum / 20000).Milliseconds()), 6, "seed %d", seed)
	_, ok := HedgeDelay(0, time.Second)
	require.False(t, ok, "the latency is not known")
	_, ok = HedgeDelay(600*time.Millisecond, time.Second)
	require.False(t, ok, "no time is left for a second attempt")
}

// Guards against probes of instances whose load is known, and against more
// than one probe for two calls.
func TestProbesOnlyForUnknownLoad(t *testing.T) {
	require.False(t, NeedsProbe(true, ReportTTL/2, 0))
	require.False(t, NeedsProbe(false, 0, 1))
	require.True(t, NeedsProbe(false, 0, 0))
	require.True(t, NeedsProbe(true, 2*ReportTTL, 0))
	require.LessOrEqual(t, ProbeAllowance(0, 100), 50.0)
	require.LessOrEqual(t, ProbeAllowance(0, 1000000), float64(maxProbeAllowance))
}
