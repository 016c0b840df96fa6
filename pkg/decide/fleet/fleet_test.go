package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against losing nodes while the store is unreachable, and against
// keeping nodes that do not register again after the store has recovered.
func TestAlive(t *testing.T) {
	for name, c := range map[string]struct {
		evidence Evidence
		alive    bool
	}{
		"listed and responsive":                               {Evidence{Listed: true, ListingFresh: true, Responsive: true, KnownFor: time.Minute}, true},
		"responsive, not listed":                              {Evidence{ListingFresh: true, Responsive: true, KnownFor: time.Minute}, true},
		"unresponsive but listed":                             {Evidence{Listed: true, ListingFresh: true, LastExchangeFailed: true, KnownFor: time.Minute}, true},
		"unresponsive, store unreachable":                     {Evidence{LastExchangeFailed: true, KnownFor: time.Minute}, true},
		"unresponsive and not listed after store recovery":    {Evidence{ListingFresh: true, LastExchangeFailed: true, KnownFor: time.Minute}, false},
		"not listed after store recovery, no failed exchange": {Evidence{ListingFresh: true, KnownFor: time.Minute}, true},
		"new, not listed yet":                                 {Evidence{ListingFresh: true, LastExchangeFailed: true, KnownFor: time.Second}, true},
		"listed, address taken by another node":               {Evidence{Listed: true, Responsive: true, Replaced: true}, false},
		"leaving, still listed":                               {Evidence{Listed: true, Responsive: true, Leaving: true}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.alive, Alive(c.evidence)) })
	}
}

// Guards against fleets in which no node or every node follows the store.
func TestHashRankIsATotalOrder(t *testing.T) {
	ids := []board.InstanceID{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for _, id := range ids {
		seen[HashRank(ids, id)] = true
	}
	require.Equal(t, map[int]bool{0: true, 1: true, 2: true, 3: true}, seen)
}

// Guards against exchanging all records between nodes that differ in none or
// one of them, and against differences that go undetected.
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

// Guards against small fleets that detect the recovery of the store late, and
// against too many reads by the nodes of large fleets.
func TestReadRetryDelay(t *testing.T) {
	require.Equal(t, RetryInterval, ReadRetryDelay(true, 600))
	require.Equal(t, RetryInterval, ReadRetryDelay(false, 12))
	require.Equal(t, 70*fleetRetryInterval, ReadRetryDelay(false, 70))
	require.Equal(t, maxRetryInterval, ReadRetryDelay(false, 600))
}

// Guards against listings whose total size grows with the square of the fleet,
// and against an unresponsive node or a recovered store that waits for the long
// interval.
func TestListingDue(t *testing.T) {
	require.True(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 9}))
	require.False(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 600}))
	require.True(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 600, NodeUnresponsive: true}))
	require.True(t, ListingDue(ListingState{Age: ListInterval, FleetSize: 600, StoreInterrupted: true}))
	require.False(t, ListingDue(ListingState{Age: ListInterval - 1, FleetSize: 600, StoreInterrupted: true, NodeUnresponsive: true}))
	require.True(t, ListingDue(ListingState{Age: 10 * time.Minute, FleetSize: 600}))
}
