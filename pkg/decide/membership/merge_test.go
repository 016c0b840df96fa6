package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangostand.example/mangostand/pkg/board"
)

// drawRecord draws records of one instance from small ranges, so that equal
// incarnations and sequences are common.
func drawRecord(t *rapid.T, label string) board.Member {
	return board.Member{
		Instance:    "i",
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, label+" incarnation"),
		Sequence:    rapid.Uint64Range(1, 3).Draw(t, label+" sequence"),
		State:       board.MemberState(rapid.IntRange(0, int(board.MemberDead)).Draw(t, label+" state")),
		PeerAddr:    rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2"}).Draw(t, label+" address"),
		Slots:       rapid.Uint32Range(1, 2).Draw(t, label+" slots"),
	}
}

// Guards against nodes that converge on different records because messages
// arrive in another order or more than once.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		require.Equal(t, Merge(a, b), Merge(b, a))
		require.Equal(t, Merge(a, Merge(b, c)), Merge(Merge(a, b), c))
		require.Equal(t, a, Merge(a, a))
		require.Equal(t, Merge(a, b), Merge(Merge(a, b), b))
	})
}

// Guards against an old incarnation that overrides its replacement, and against
// an old state that overrides a later one of the same incarnation.
func TestMergeKeepsNewestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRecord(t, "a"), drawRecord(t, "b")
		merged := Merge(a, b)
		require.Equal(t, max(a.Incarnation, b.Incarnation), merged.Incarnation)
		if a.Incarnation == b.Incarnation {
			require.Equal(t, max(a.Sequence, b.Sequence), merged.Sequence)
		}
		if a.Incarnation == b.Incarnation && a.Sequence == b.Sequence {
			require.Equal(t, max(a.State, b.State), merged.State)
		}
	})
}

// Guards against an instance that stays declared dead after it has resumed, and
// against an old process that refutes the record of its replacement.
func TestRefute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self, claim := drawRecord(t, "self"), drawRecord(t, "claim")
		next, needed := Refute(self, claim)
		require.Equal(t, self.State, next.State)
		require.Equal(t, self.Incarnation, next.Incarnation)
		switch {
		case claim.Incarnation != self.Incarnation:
			require.False(t, needed)
		case needed:
			require.True(t, Supersedes(next, claim))
		default:
			require.False(t, Supersedes(claim, self))
		}
	})
}

// Guards against a dropped record that returns from a node that missed its end,
// and against rejecting a live instance for good.
func TestVersionFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dropped, record := drawRecord(t, "dropped"), drawRecord(t, "record")
		dropped.State = board.MemberDead
		floor := NewVersionFloor(dropped, baseTime)
		later := record.Incarnation > dropped.Incarnation ||
			(record.Incarnation == dropped.Incarnation && record.Sequence > dropped.Sequence)
		require.Equal(t, later, AboveFloor(record, floor, baseTime.Add(VersionFloorTTL-1)))
		require.True(t, AboveFloor(record, floor, baseTime.Add(VersionFloorTTL)))
	})
}

// Guards against accepting malformed records from the network.
func TestValid(t *testing.T) {
	good := board.Member{Instance: "i", PeerAddr: "127.0.0.1:1", State: board.MemberDead}
	require.True(t, Valid(good))
	for name, change := range map[string]func(*board.Member){
		"no instance":   func(m *board.Member) { m.Instance = "" },
		"no address":    func(m *board.Member) { m.PeerAddr = "" },
		"unknown state": func(m *board.Member) { m.State = board.MemberDead + 1 },
		"long name":     func(m *board.Member) { m.Service = string(make([]byte, 256)) },
	} {
		bad := good
		change(&bad)
		require.False(t, Valid(bad), name)
	}
}
