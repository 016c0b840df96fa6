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
		"listed and heard":                       {Evidence{Listed: true, ListingFresh: true, Responsive: true, KnownFor: time.Minute}, true},
		"heard, lapsed in the store":             {Evidence{ListingFresh: true, Responsive: true, KnownFor: time.Minute}, true},
		"silent but listed":                      {Evidence{Listed: true, ListingFresh: true, LastExchangeFailed: true, KnownFor: time.Minute}, true},
		"silent, store away":                     {Evidence{LastExchangeFailed: true, KnownFor: time.Minute}, true},
		"silent and missing after the return":    {Evidence{ListingFresh: true, LastExchangeFailed: true, KnownFor: time.Minute}, false},
		"missing after the return, not asked":    {Evidence{ListingFresh: true, KnownFor: time.Minute}, true},
		"new, not listed yet":                    {Evidence{ListingFresh: true, LastExchangeFailed: true, KnownFor: time.Second}, true},
		"listed, but another one answers":        {Evidence{Listed: true, Responsive: true, Replaced: true}, false},
		"left, its record is still in the store": {Evidence{Listed: true, Responsive: true, Leaving: true}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.alive, Alive(c.evidence)) })
	}
}

// Guards against fleets in which no node or each node follows the store.
func TestHashRankIsATotalOrder(t *testing.T) {
	ids := []board.InstanceID{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for _, id := range ids {
		seen[HashRank(ids, id)] = true
	}
	require.Equal(t, map[int]bool{0: true, 1: true, 2: true, 3: true}, seen)
}

// Guards against exchanges of all records between nodes that know the same or
// differ in one record, and against differences that are not seen.
func TestDigestsLocateDifferences(t *testing.T) {
	var records []board.NodeRecord
	for i := range 300 {
		records = append(records, board.NodeRecord{Instance: board.InstanceID(fmt.Sprint("node-", i)), Sequence: 1})
	}
	own := BucketDigests(records)
	reversed := slices.Clone(records)
	slices.Reverse(reversed)
	require.Equal(t, own, BucketDigests(reversed))
	reversed[7].Sequence = 2
	other := BucketDigests(reversed)
	differing := 0
	for _, r := range records {
		if MayDiffer(r.Instance, own, other) {
			differing++
		}
	}
	require.True(t, MayDiffer(reversed[7].Instance, own, other))
	require.Less(t, differing, 20)
	require.True(t, MayDiffer("any", own, own[:1]))
}

// Guards against small fleets that notice the return of the store late, and
// against nodes of large ones that hardly ask.
func TestReadRetryDelay(t *testing.T) {
	require.Equal(t, RetryInterval, ReadRetryDelay(true, 600))
	require.Equal(t, RetryInterval, ReadRetryDelay(false, 12))
	require.Equal(t, 70*fleetRetryInterval, ReadRetryDelay(false, 70))
	require.Equal(t, maxRetryInterval, ReadRetryDelay(false, 600))
}

// Guards against listings whose bytes grow with the square of the fleet, and
// against a doubt or a return of the store that waits for the next turn.
func TestListingDue(t *testing.T) {
	require.True(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 9}))
	require.False(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 600}))
	require.True(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 600, NodeUnresponsive: true}))
	require.True(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 600, StoreInterrupted: true}))
	require.False(t, ListingDue(ListingState{Age: ListInterval - 1, FleetSize: 600, StoreInterrupted: true, NodeUnresponsive: true}))
	require.True(t, ListingDue(ListingState{Age: 10 * time.Minute, FleetSize: 600}))
}
