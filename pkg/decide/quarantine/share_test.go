package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// view returns what the node with a state publishes.
func view(s State) *board.Quarantine {
	q := s.Snapshot(2)
	q.Advertised = s.Share()
	q.BucketDigests = Digests(q.Advertised)
	return q
}

// Guards against nodes that never agree, or that send each other what both know.
func TestNodesAgreeByNews(t *testing.T) {
	one, other := State{}, State{}
	for n := range 200 {
		s := one
		if n%2 == 0 {
			s = other
		}
		s.Died(fmt.Sprint("d", n/2), "GET /s/a", []board.ServerIncarnation{incarnation(n)}, epoch.Add(time.Hour))
	}
	one.Clear("d3", []board.ServerIncarnation{incarnation(6)}, epoch.Add(time.Hour))
	for turn := range 8 {
		now := epoch.Add(time.Duration(31*turn) * time.Millisecond)
		require.LessOrEqual(t, len(News(view(one), nil, now)), maxNews)
		one.Merge(News(view(other), view(one).BucketDigests, now), now, time.Hour)
		other.Merge(News(view(one), view(other).BucketDigests, now), now, time.Hour)
	}
	require.Equal(t, view(one).BucketDigests, view(other).BucketDigests)
	require.Equal(t, view(one).Entries, view(other).Entries)
	require.Empty(t, News(view(one), view(other).BucketDigests, epoch))
	require.Len(t, Refused(view(one), epoch), 99)

	one.Died("d7", "", []board.ServerIncarnation{incarnation(77)}, epoch.Add(time.Hour))
	require.NotEmpty(t, News(view(one), view(other).BucketDigests, epoch))
	require.Less(t, len(News(view(one), view(other).BucketDigests, epoch)), 20)
}

// Guards against a node that prolongs a quarantine, or brings an ended one back.
func TestToldSuspicionsEnd(t *testing.T) {
	s := State{}
	told := []board.Suspicion{{Digest: "d", Deaths: []board.ServerIncarnation{incarnation(1)}, TTLMillis: time.Hour.Milliseconds()}}
	require.True(t, s.Merge(told, epoch, time.Minute))
	require.Equal(t, epoch.Add(time.Minute), s["d"].Until)
	require.Empty(t, News(view(s), nil, epoch.Add(time.Minute)))
	require.True(t, s.Expire(epoch.Add(time.Minute)))
	told[0].TTLMillis = 0
	require.False(t, s.Merge(told, epoch, time.Minute))
	require.Empty(t, s)
}

// Guards against a planned change of the backend server that counts as a crash
// twice, and against a first sight that counts as one.
func TestEndOfAServerOnThePlatform(t *testing.T) {
	up := &board.BackendServer{ID: "s", StartMillis: 5}
	for name, c := range map[string]struct {
		old, next *board.BackendServer
		ended     bool
	}{
		"first sight":    {&board.BackendServer{}, up, false},
		"down":           {up, &board.BackendServer{ID: "s", StartMillis: 5, Down: true}, true},
		"back":           {&board.BackendServer{ID: "s", StartMillis: 5, Down: true}, &board.BackendServer{ID: "s", StartMillis: 9}, false},
		"restarted":      {up, &board.BackendServer{ID: "s", StartMillis: 9}, true},
		"replaced":       {up, &board.BackendServer{ID: "t", StartMillis: 9}, true},
		"birth is known": {&board.BackendServer{ID: "s"}, up, false},
		"other state":    {up, &board.BackendServer{ID: "s", StartMillis: 5, State: board.ServerDraining}, false},
	} {
		incarnation, ended := ServerEnded(c.old, c.next)
		require.Equal(t, c.ended, ended, name)
		if ended {
			require.EqualValues(t, 5, incarnation, name)
		}
	}
}
