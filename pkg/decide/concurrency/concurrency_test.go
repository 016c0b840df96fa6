package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// simulate runs calls on a server with 13 slots under lasting load, whose work
// takes knee times as long above ten calls at once, and returns the limits.
func simulate(knee float64, calls int) []int {
	now := time.Unix(0, 0)
	var state State
	var limits []int
	for range calls {
		limit := state.Limit(13, board.ContentionUnknown, now)
		limits = append(limits, limit)
		ratio := 1.0
		if limit > 10 {
			ratio = knee
		}
		state = Next(state, Sample{RelativeTime: ratio, Running: limit, Slots: 13, MaxSlowdown: 1}, now)
		now = now.Add(10 * time.Millisecond)
	}
	return limits
}

// Guards against a server that is driven beyond its knee for longer than it
// takes to find out, and against empty slots of a server without one.
func TestLimitAvoidsContention(t *testing.T) {
	require.Equal(t, 10, simulate(1.7, 200)[199])
	require.Equal(t, 13, simulate(1.0, 200)[199])
	beyond := 0
	for _, limit := range simulate(1.7, 3000) {
		if limit > 10 {
			beyond++
		}
	}
	require.Less(t, beyond, 100)
}

// Guards against the work of slow hosts that is put down to the load.
func TestCallsOnSlowHostsAreIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	var state State
	for range 100 {
		state = Next(state, Sample{RelativeTime: 1, Running: 5, Slots: 13, MaxSlowdown: 1}, now)
		state = Next(state, Sample{RelativeTime: 7, Running: 13, Slots: 13, MaxSlowdown: 7}, now)
	}
	require.False(t, state.Decided(now))
	require.Equal(t, 13, state.Limit(13, board.ContentionUnknown, now))
}

// Guards against a restarted node that leaves slots of its backend server empty
// until it has found out again what the other nodes know, and against one wrong
// verdict that is believed.
func TestMajorityDecisionAppliesUntilOwnDecision(t *testing.T) {
	var fresh State
	require.Equal(t, 10, fresh.Limit(13, board.ContentionUnknown, time.Time{}))
	require.Equal(t, 10, fresh.Limit(13, board.ContentionSlowdown, time.Time{}))
	require.Equal(t, 13, fresh.Limit(13, board.ContentionNone, time.Time{}))
	records := []board.NodeRecord{
		{Service: "desk", Contention: board.ContentionNone}, {Service: "desk", Contention: board.ContentionSlowdown},
		{Service: "desk", Contention: board.ContentionNone}, {Service: "desk"}, {Service: "vault", Contention: board.ContentionSlowdown},
	}
	require.Equal(t, board.ContentionNone, MajorityDecision(records, "desk"))
	require.Equal(t, board.ContentionSlowdown, MajorityDecision(records, "vault"))
	require.Equal(t, board.ContentionUnknown, MajorityDecision(records, "other"))
}
