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

// Guards against a restarted node that makes others forget that its backend server
// has left (review/5), and against a later server that is taken for the one that left.
func TestRetainWithdrawal(t *testing.T) {
	record := func(id string, start int64, state board.ServerState) board.NodeRecord {
		return board.NodeRecord{Instance: "n", ServerID: id, ServerStartMillis: start, State: state}
	}
	gone, draining := record("a", 5, board.ServerGone), record("a", 5, board.ServerDraining)
	for name, c := range map[string]struct{ previous, next, want board.NodeRecord }{
		"ready again":               {gone, record("a", 5, board.ServerReady), gone},
		"ready again, draining":     {draining, record("a", 5, board.ServerReady), draining},
		"down":                      {draining, record("a", 5, board.ServerUnknown), draining},
		"server not known yet":      {gone, record("", 0, board.ServerUnknown), gone},
		"start time not known":      {gone, record("a", 0, board.ServerReady), gone},
		"restarted":                 {gone, record("a", 6, board.ServerReady), record("a", 6, board.ServerReady)},
		"another server":            {gone, record("b", 6, board.ServerReady), record("b", 6, board.ServerReady)},
		"left after draining":       {draining, gone, gone},
		"nothing to retain":         {record("a", 5, board.ServerReady), record("", 0, board.ServerUnknown), record("", 0, board.ServerUnknown)},
		"ready, then another start": {record("a", 5, board.ServerReady), record("a", 6, board.ServerReady), record("a", 6, board.ServerReady)},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, RetainWithdrawal(c.previous, c.next)) })
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

// Guards against a start of many nodes that each read the configuration from the
// store, and against a node that waits although nobody will tell it.
func TestFirstReadDelay(t *testing.T) {
	for name, test := range map[string]struct {
		start Start
		want  time.Duration
	}{
		"not listed yet":            {Start{FleetSize: 1, StoreFollower: true}, listingWait},
		"alone":                     {Start{Listed: true, FleetSize: 1}, 0},
		"follows the store":         {Start{Listed: true, FleetSize: 9, StoreFollower: true}, 0},
		"others follow the store":   {Start{Listed: true, FleetSize: 9}, hintWait},
		"first start, alone":        {Start{Listed: true, FleetSize: 1, StoreFollower: true, Bootstrap: true}, bootstrapWait},
		"first start, store reader": {Start{Listed: true, FleetSize: 9, StoreFollower: true, Bootstrap: true}, 0},
		"first start, others read":  {Start{Listed: true, FleetSize: 9, Bootstrap: true}, bootstrapWait},
	} {
		require.Equal(t, test.want, FirstReadDelay(test.start), name)
	}
}

// Guards against changes that each node sends across the boundary between failure
// domains, and against a domain that gets a change from one message only.
func TestPushTargets(t *testing.T) {
	candidates := map[string][]board.InstanceID{"a": {"a1", "a2", "a3", "a4", "a5"}, "b": {"b1", "b2", "b3"}, "c": {"c1"}}
	require.ElementsMatch(t, []board.InstanceID{"a1", "a2", "a3", "a4", "b1", "b2", "c1"}, PushTargets(candidates, "a", true))
	require.ElementsMatch(t, []board.InstanceID{"a1", "a2", "a3", "a4"}, PushTargets(candidates, "a", false))
	require.Empty(t, PushTargets(candidates, "d", false))
	require.InDelta(t, maxCrossDomainShare, CrossDomainShare(1), 0)
	require.InDelta(t, 0.03, CrossDomainShare(100), 1e-9)
}

// Guards against first exchanges between all pairs of nodes, and against a node
// whose existence is in doubt and that nobody asks.
func TestNeedsContact(t *testing.T) {
	require.True(t, NeedsContact(Contact{SameDomain: true}))
	require.False(t, NeedsContact(Contact{}), "a node of another domain that was never in doubt")
	require.False(t, NeedsContact(Contact{SameDomain: true, Responded: true}))
	for _, doubt := range []Contact{{AddressConflict: true}, {MissingFromStore: true}, {LastExchangeFailed: true}} {
		require.True(t, NeedsContact(doubt))
	}
}
