package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// baseTime is the start time of the tests.
var baseTime = time.Unix(1_700_000_000, 0)

// newMembers returns n serving members; the first one is self.
func newMembers(n int) *board.Members {
	records := map[board.InstanceID]board.Member{}
	for i := range n {
		id := board.InstanceID(fmt.Sprintf("instance-%03d", i))
		records[id] = board.Member{
			Instance: id, Incarnation: 1_700_000_000_000_000_000 + uint64(i), Sequence: 2, State: board.MemberServing,
			Service: fmt.Sprintf("service-%d", i%16), Region: fmt.Sprintf("region-%d", i%2),
			FailureDomain: fmt.Sprintf("domain-%d", i%5), PeerAddr: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250), Slots: 10,
		}
	}
	return board.NewMembers("instance-000", records)
}

// Guards against members that nobody pings, and against changes that take too
// many hops to reach all nodes.
func TestRingReachesEveryMember(t *testing.T) {
	members := newMembers(600)
	ring := NewRing(members)
	monitors := map[board.InstanceID]int{}
	for id := range members.ByInstance {
		for _, m := range ring.PingTargets(id, func(board.InstanceID) bool { return false }) {
			monitors[m.Instance]++
		}
	}
	for id := range members.ByInstance {
		require.Equal(t, monitoredSuccessors, monitors[id], id)
	}
	reached := map[board.InstanceID]bool{members.Self: true}
	hops := 0
	for ; len(reached) < 600; hops++ {
		for id := range maps.Clone(reached) {
			for _, m := range ring.Neighbours(id) {
				reached[m.Instance] = true
			}
		}
	}
	require.LessOrEqual(t, hops, 10)
	require.Len(t, ring.Neighbours(members.Self), 10)
}

// Guards against detecting the loss of several adjacent members one suspicion
// timeout after the other.
func TestPingTargetsExtendPastSuspects(t *testing.T) {
	members := newMembers(20)
	ring := NewRing(members)
	none := func(board.InstanceID) bool { return false }
	first := ring.PingTargets(members.Self, none)
	suspected := func(id board.InstanceID) bool { return id == first[0].Instance || id == first[1].Instance }
	require.Len(t, ring.PingTargets(members.Self, suspected), 4)
	all := func(board.InstanceID) bool { return true }
	require.Len(t, ring.PingTargets(members.Self, all), maxPingTargets)
}

// Guards against digests that hide a difference, and against digests that
// differ only because one node has dropped a tombstone.
func TestDigestFindsExactlyTheDifferences(t *testing.T) {
	ours, theirs := newMembers(600), newMembers(600)
	changed := theirs.ByInstance["instance-042"]
	changed.Sequence++
	theirs.ByInstance[changed.Instance] = changed
	own, root := Digest(ours)
	other, otherRoot := Digest(theirs)
	require.NotEqual(t, root, otherRoot)
	differing := DifferingBuckets(own, other[:])
	require.Equal(t, []uint8{uint8(BucketOf(changed.Instance))}, differing)

	missing := MissingRecords(theirs, differing, BucketRecords(ours, differing, 600), 600)
	require.Equal(t, []board.Member{changed}, missing)
	require.Empty(t, MissingRecords(ours, differing, BucketRecords(theirs, differing, 600), 600))

	theirs.ByInstance[changed.Instance] = DeclareDead(changed)
	delete(ours.ByInstance, changed.Instance)
	_, root = Digest(ours)
	_, otherRoot = Digest(theirs)
	require.Equal(t, root, otherRoot)
}

// Guards against death declarations that come too early, concern a record that
// was renewed, or come from a node that was paused itself.
func TestSuspicion(t *testing.T) {
	m := board.Member{Instance: "i", Incarnation: 1, Sequence: 1, State: board.MemberServing}
	s := Suspect(Suspicion{}, m, baseTime)
	require.Equal(t, s, Suspect(s, m, baseTime.Add(time.Second)))
	require.Equal(t, SuspicionPending, EvaluateSuspicion(s, m, baseTime.Add(SuspicionTimeout-1)))
	require.Equal(t, SuspicionConfirmed, EvaluateSuspicion(s, m, baseTime.Add(SuspicionTimeout)))
	renewed := m
	renewed.Sequence++
	require.Equal(t, SuspicionCleared, EvaluateSuspicion(s, renewed, baseTime.Add(SuspicionTimeout)))
	require.Equal(t, SuspicionCleared, EvaluateSuspicion(s, DeclareDead(m), baseTime.Add(SuspicionTimeout)))
	require.True(t, WasPaused(baseTime, baseTime.Add(2*time.Second)))
	require.False(t, WasPaused(baseTime, baseTime.Add(time.Second)))
	require.False(t, WasPaused(time.Time{}, baseTime))
}

// Guards against mistaking a replacement at the same address for the old
// instance.
func TestProvesAliveChecksIncarnation(t *testing.T) {
	m := board.Member{Instance: "i", Incarnation: 2}
	require.True(t, ProvesAlive(m, "i", 2))
	require.False(t, ProvesAlive(m, "i", 3))
	require.False(t, ProvesAlive(m, "j", 2))
}

// Guards against dead members to which no node reconnects, and against a fleet
// that floods the address of a dead member.
func TestReconnectsAreSpreadOverTheFleet(t *testing.T) {
	members := newMembers(600)
	dead := DeclareDead(members.ByInstance["instance-007"])
	members.ByInstance[dead.Instance] = dead
	random := rand.New(rand.NewPCG(1, 2)).Float64
	tries := 0
	for range 599 * 100 {
		if m, found := ReconnectTarget(members, random); found {
			require.Equal(t, dead.Instance, m.Instance)
			tries++
		}
	}
	require.InDelta(t, reconnectsPerDeadMember, float64(tries)/100, 0.5)

	left := dead
	left.State = board.MemberLeft
	members.ByInstance[dead.Instance] = left
	_, found := ReconnectTarget(members, func() float64 { return 0 })
	require.False(t, found)
}

// Guards against missing a version in which a peer is ahead.
func TestNewerVersions(t *testing.T) {
	own := map[string]uint64{"config": 3, "epoch/a": 5}
	peer := map[string]uint64{"config": 4, "epoch/a": 4, "epoch/b": 1}
	require.Equal(t, []board.NamedVersion{{Name: "config", Number: 4}, {Name: "epoch/b", Number: 1}}, NewerVersions(own, peer))
	require.NotEqual(t, HashVersions(own), HashVersions(peer))
	require.NotEqual(t, HashVersions(map[string]uint64{"a": 1, "b": 2}), HashVersions(map[string]uint64{"a": 2, "b": 1}))
}

func BenchmarkDigest600(b *testing.B) {
	members := newMembers(600)
	for b.Loop() {
		_, _ = Digest(members)
	}
}

func BenchmarkRing600(b *testing.B) {
	members := newMembers(600)
	for b.Loop() {
		_ = NewRing(members).Neighbours(members.Self)
	}
}

func BenchmarkMissingRecords600(b *testing.B) {
	ours, theirs := newMembers(600), newMembers(600)
	buckets := []uint8{7}
	records := BucketRecords(theirs, buckets, 600)
	for b.Loop() {
		_ = MissingRecords(ours, buckets, records, 600)
	}
}
