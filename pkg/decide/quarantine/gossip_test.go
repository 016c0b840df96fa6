package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// publishedState returns the value of the Quarantine section that a node with the
// given state publishes.
func publishedState(s State) *board.Quarantine {
	q := s.Snapshot(2)
	q.Advertised = s.Reports()
	q.BucketDigests = BucketDigests(q.Advertised)
	return q
}

// Guards against nodes that never converge, and against nodes that exchange
// suspicions that both already have.
func TestDeltasConverge(t *testing.T) {
	one, other := State{}, State{}
	for n := range 200 {
		s := one
		if n%2 == 0 {
			s = other
		}
		s.RecordCrashes(fmt.Sprint("d", n/2), "GET /s/a", []board.ServerIncarnation{incarnation(n)}, baseTime.Add(time.Hour))
	}
	one.ClearCrashes("d3", []board.ServerIncarnation{incarnation(6)}, baseTime.Add(time.Hour))
	for round := range 8 {
		now := baseTime.Add(time.Duration(31*round) * time.Millisecond)
		require.LessOrEqual(t, len(ReportDelta(publishedState(one), nil, now)), maxDeltaSuspicions)
		one.Merge(ReportDelta(publishedState(other), publishedState(one).BucketDigests, now), now, time.Hour)
		other.Merge(ReportDelta(publishedState(one), publishedState(other).BucketDigests, now), now, time.Hour)
	}
	require.Equal(t, publishedState(one).BucketDigests, publishedState(other).BucketDigests)
	require.Equal(t, publishedState(one).Entries, publishedState(other).Entries)
	require.Empty(t, ReportDelta(publishedState(one), publishedState(other).BucketDigests, baseTime))
	require.Len(t, QuarantinedReports(publishedState(one), baseTime), 99)

	one.RecordCrashes("d7", "", []board.ServerIncarnation{incarnation(77)}, baseTime.Add(time.Hour))
	require.NotEmpty(t, ReportDelta(publishedState(one), publishedState(other).BucketDigests, baseTime))
	require.Less(t, len(ReportDelta(publishedState(one), publishedState(other).BucketDigests, baseTime)), 20)
}

// Guards against a peer that extends a quarantine beyond the TTL, or restores
// one that has ended.
func TestReceivedReportsExpire(t *testing.T) {
	s := State{}
	received := []board.Suspicion{{Digest: "d", Deaths: []board.ServerIncarnation{incarnation(1)}, TTLMillis: time.Hour.Milliseconds()}}
	require.True(t, s.Merge(received, baseTime, time.Minute))
	require.Equal(t, baseTime.Add(time.Minute), s["d"].ExpiresAt)
	require.Empty(t, ReportDelta(publishedState(s), nil, baseTime.Add(time.Minute)))
	require.True(t, s.RemoveExpired(baseTime.Add(time.Minute)))
	received[0].TTLMillis = 0
	require.False(t, s.Merge(received, baseTime, time.Minute))
	require.Empty(t, s)
}

// Guards against counting one crash twice, when the backend server goes down
// and when it is back, and against counting its first announcement as a crash.
func TestEndedServerIncarnation(t *testing.T) {
	up := &board.BackendServer{ID: "s", StartMillis: 5}
	for name, c := range map[string]struct {
		old, next *board.BackendServer
		ended     bool
	}{
		"first announcement":  {&board.BackendServer{}, up, false},
		"down":                {up, &board.BackendServer{ID: "s", StartMillis: 5, Down: true}, true},
		"back":                {&board.BackendServer{ID: "s", StartMillis: 5, Down: true}, &board.BackendServer{ID: "s", StartMillis: 9}, false},
		"restarted":           {up, &board.BackendServer{ID: "s", StartMillis: 9}, true},
		"replaced":            {up, &board.BackendServer{ID: "t", StartMillis: 9}, true},
		"start time is known": {&board.BackendServer{ID: "s"}, up, false},
		"other state":         {up, &board.BackendServer{ID: "s", StartMillis: 5, State: board.ServerDraining}, false},
	} {
		incarnation, ended := EndedServerIncarnation(c.old, c.next)
		require.Equal(t, c.ended, ended, name)
		if ended {
			require.EqualValues(t, 5, incarnation, name)
		}
	}
}
