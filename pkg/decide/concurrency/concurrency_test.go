package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// simulate runs calls on a saturated server with 13 slots, whose service times
// grow by the factor slowdown when more than ten calls run at once. It returns
// the limit at each call.
func simulate(slowdown float64, calls int) []int {
	now := time.Unix(0, 0)
	var state State
	var limits []int
	for range calls {
		limit := state.Limit(13, board.ContentionUnknown, true, now)
		limits = append(limits, limit)
		ratio := 1.0
		if limit > 10 {
			ratio = slowdown
		}
		state = Next(state, Sample{RelativeTime: ratio, Running: limit, Slots: 13, MaxSlowdown: 1}, now)
		now = now.Add(10 * time.Millisecond)
	}
	return limits
}

// Guards against a server that is kept under contention for longer than it
// takes to detect it, and against empty slots of a server without contention.
func TestLimitAvoidsContention(t *testing.T) {
	require.Equal(t, 10, simulate(1.7, 200)[199])
	require.Equal(t, 13, simulate(1.0, 200)[199])
	aboveLimit := 0
	for _, limit := range simulate(1.7, 3000) {
		if limit > 10 {
			aboveLimit++
		}
	}
	require.Less(t, aboveLimit, 100)
}

// Guards against a fifth of the slots that stays empty while a heavy day begins, and
// against a server that never samples low load, and so never decides, because its load
// stays high.
func TestAllSlotsAreUsedUntilHighLoadIsSampled(t *testing.T) {
	for _, slowdown := range []float64{1, 1.7} {
		limits := simulate(slowdown, 2*minSamples+1)
		for i, limit := range limits[:minSamples] {
			require.Equal(t, 13, limit, "call %d", i)
		}
		require.Equal(t, 10, limits[minSamples])
	}
	var other State
	for range 2 * minSamples {
		other = Next(other, Sample{RelativeTime: 1, Running: 13, Slots: 13, MaxSlowdown: 1}, time.Time{})
	}
	require.Equal(t, 13, other.Limit(13, board.ContentionUnknown, false, time.Time{}), "the samplers decide for the others")
	require.Equal(t, 13, simulate(1, 2*minSamples+1)[2*minSamples])
	require.Equal(t, 10, simulate(1.7, 2*minSamples+1)[2*minSamples])
}

// Guards against attributing the slowness of a host to the load.
func TestCallsOnSlowHostsAreIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	var state State
	for range 100 {
		state = Next(state, Sample{RelativeTime: 1, Running: 5, Slots: 13, MaxSlowdown: 1}, now)
		state = Next(state, Sample{RelativeTime: 7, Running: 13, Slots: 13, MaxSlowdown: 7}, now)
	}
	require.False(t, state.Decided(now))
	require.Equal(t, 13, state.Limit(13, board.ContentionUnknown, true, now))
}

// Guards against a restarted node that leaves slots of its backend server
// empty until it has its own samples, although the other nodes have decided, and
// against trust in a single wrong decision.
func TestMajorityDecisionAppliesUntilOwnDecision(t *testing.T) {
	var fresh State
	require.Equal(t, 13, fresh.Limit(13, board.ContentionUnknown, true, time.Time{}))
	require.Equal(t, 10, fresh.Limit(13, board.ContentionSlowdown, true, time.Time{}))
	require.Equal(t, 13, fresh.Limit(13, board.ContentionNone, true, time.Time{}))
	records := []board.NodeRecord{
		{Service: "desk", Contention: board.ContentionNone}, {Service: "desk", Contention: board.ContentionSlowdown},
		{Service: "desk", Contention: board.ContentionNone}, {Service: "desk"}, {Service: "vault", Contention: board.ContentionSlowdown},
	}
	require.Equal(t, board.ContentionNone, MajorityDecision(records, "desk"))
	require.Equal(t, board.ContentionSlowdown, MajorityDecision(records, "vault"))
	require.Equal(t, board.ContentionUnknown, MajorityDecision(records, "other"))
}
