package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// The rule that decides between contact and the store. Guards against nodes
// that are lost while the store is away, and against nodes that are kept after
// it has returned without them.
func TestAlive(t *testing.T) {
	for name, c := range map[string]struct {
		evidence Evidence
		alive    bool
	}{
		"listed and heard":                       {Evidence{Listed: true, ListingFresh: true, Heard: true, SeenFor: time.Minute}, true},
		"heard, lapsed in the store":             {Evidence{ListingFresh: true, Heard: true, SeenFor: time.Minute}, true},
		"silent but listed":                      {Evidence{Listed: true, ListingFresh: true, Unanswered: true, SeenFor: time.Minute}, true},
		"silent, store away":                     {Evidence{Unanswered: true, SeenFor: time.Minute}, true},
		"silent and missing after the return":    {Evidence{ListingFresh: true, Unanswered: true, SeenFor: time.Minute}, false},
		"missing after the return, not asked":    {Evidence{ListingFresh: true, SeenFor: time.Minute}, true},
		"new, not listed yet":                    {Evidence{ListingFresh: true, Unanswered: true, SeenFor: time.Second}, true},
		"listed, but another one answers":        {Evidence{Listed: true, Heard: true, Replaced: true}, false},
		"left, its record is still in the store": {Evidence{Listed: true, Heard: true, Left: true}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.alive, Alive(c.evidence)) })
	}
}

// Guards against fleets in which no node or each node follows the store.
func TestWatchRankIsAnOrder(t *testing.T) {
	ids := []board.InstanceID{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for _, id := range ids {
		seen[WatchRank(ids, id)] = true
	}
	require.Equal(t, map[int]bool{0: true, 1: true, 2: true, 3: true}, seen)
}

// Guards against exchanges of all records between nodes that know the same or
// differ in one record, and against differences that are not seen.
func TestDigestsTellWhatDiffers(t *testing.T) {
	var records []board.NodeRecord
	for i := range 300 {
		records = append(records, board.NodeRecord{Instance: board.InstanceID(fmt.Sprint("node-", i)), Sequence: 1})
	}
	own := Digests(records)
	reversed := slices.Clone(records)
	slices.Reverse(reversed)
	require.Equal(t, own, Digests(reversed))
	reversed[7].Sequence = 2
	other := Digests(reversed)
	differing := 0
	for _, r := range records {
		if Differs(r.Instance, own, other) {
			differing++
		}
	}
	require.True(t, Differs(reversed[7].Instance, own, other))
	require.Less(t, differing, 20)
	require.True(t, Differs("any", own, own[:1]))
}

// Guards against small fleets that notice the return of the store late, and
// against nodes of large ones that hardly ask.
func TestReadRetry(t *testing.T) {
	require.Equal(t, RetryEvery, ReadRetry(true, 600))
	require.Equal(t, RetryEvery, ReadRetry(false, 12))
	require.Equal(t, 70*retryShare, ReadRetry(false, 70))
	require.Equal(t, mostRetry, ReadRetry(false, 600))
}

// Guards against listings whose bytes grow with the square of the fleet, and
// against a doubt or a return of the store that waits for the next turn.
func TestListingsAreShared(t *testing.T) {
	require.True(t, ListingDue(Listing{Age: ListEvery, Size: 9}))
	require.False(t, ListingDue(Listing{Age: ListEvery, Size: 600}))
	require.True(t, ListingDue(Listing{Age: ListEvery, Size: 600, Doubtful: true}))
	require.True(t, ListingDue(Listing{Age: ListEvery, Size: 600, Unsettled: true}))
	require.False(t, ListingDue(Listing{Age: ListEvery - 1, Size: 600, Unsettled: true, Doubtful: true}))
	require.True(t, ListingDue(Listing{Age: 10 * time.Minute, Size: 600}))
}
