package idle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a change of the timeout that closes a connection whose caller may
// still use it (review/4): what counts is the longest timeout during the wait.
func TestTimeoutOfAWaitDuringWhichItChanges(t *testing.T) {
	type change struct{ at, timeout float64 }
	for name, c := range map[string]struct {
		changes    []change
		since, now float64
		want       float64
	}{
		"unchanged":                            {[]change{{0, 3}}, 1, 2, 3},
		"raised during the wait":               {[]change{{0, 3}, {2, 15}}, 1, 3, 15},
		"lowered during the wait":              {[]change{{0, 15}, {2, 3}}, 1, 3, 15},
		"lowered before the wait":              {[]change{{0, 15}, {2, 3}}, 4, 5, 3},
		"lowered at the start of the wait":     {[]change{{0, 15}, {2, 3}}, 2, 5, 3},
		"raised and lowered during the wait":   {[]change{{0, 3}, {2, 15}, {3, 4}}, 1, 3.5, 15},
		"lowered and raised during the wait":   {[]change{{0, 9}, {2, 1}, {3, 6}}, 1, 3.5, 9},
		"raised and lowered before the wait":   {[]change{{0, 3}, {2, 15}, {3, 4}}, 5, 6, 4},
		"published again without a difference": {[]change{{0, 3}, {2, 3}}, 1, 3, 3},
		"an early wait outlives two changes":   {[]change{{0, 30}, {5, 3}, {10, 2}}, 1, 20, 30},
		"no timeout yet":                       {nil, 1, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var timeouts Timeouts
			for _, change := range c.changes {
				timeouts = timeouts.With(time.Duration(change.timeout*float64(time.Second)), at(change.at))
			}
			require.Equal(t, time.Duration(c.want*float64(time.Second)), timeouts.LongestSince(at(c.since)))
		})
	}
}

// Guards against a history that grows without bound when versions come in quick
// succession. A merged history never shortens a wait.
func TestHistoryIsBounded(t *testing.T) {
	var timeouts Timeouts
	timeouts = timeouts.With(time.Hour, at(0))
	for i := range 1000 {
		timeouts = timeouts.With(time.Duration(i%7+1)*time.Minute, at(float64(i+1)))
		require.LessOrEqual(t, len(timeouts.periods), maxPeriods+1)
	}
	require.Equal(t, time.Hour, timeouts.LongestSince(at(0.5)))
	require.Less(t, timeouts.LongestSince(at(1000)), time.Hour)
	for i := range 10 {
		timeouts = timeouts.With(time.Duration(i%2+1)*time.Second, at(10_000+1000*float64(i)))
	}
	require.LessOrEqual(t, len(timeouts.periods), 2, "periods that no connection can have lasted since are dropped")
}

// Guards against connections in use that are closed to make room, and against
// room that is made by closing those that were used last.
func TestEvictClosesTheLongestIdle(t *testing.T) {
	conns := []Conn{{Since: at(3)}, {Since: at(1), Busy: true}, {Since: at(2)}, {Since: at(4)}}
	require.Nil(t, Evict(conns, 4))
	require.Equal(t, []int{2}, Evict(conns, 3))
	require.Equal(t, []int{2, 0}, Evict(conns, 2))
	require.Equal(t, []int{2, 0, 3}, Evict(conns, 0))
	many := make([]Conn, 161)
	require.Len(t, Evict(many, 160), 11)
}
