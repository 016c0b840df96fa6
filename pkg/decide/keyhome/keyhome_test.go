package keyhome

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// TestMain fixes the seed of rapid, so that each run draws the same values.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawMembers(t *rapid.T) []board.EpochMember {
	count := rapid.IntRange(1, 40).Draw(t, "count")
	members := make([]board.EpochMember, count)
	for i := range members {
		members[i] = board.EpochMember{Instance: board.InstanceID(rune('A' + i)), Incarnation: 1}
	}
	return members
}

// Guards against a membership change that moves keys of the remaining members.
func TestOnlyKeysOfTheLostMemberMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		rest := append(append([]board.EpochMember{}, members[:lost]...), members[lost+1:]...)
		id := board.KeyID{Service: "s", Caller: "c", Key: rapid.String().Draw(t, "key")}
		home, _ := Home(members, id)
		if got := moved(members, rest, id); got != (home == members[lost]) {
			t.Fatalf("home %s, lost %s, moved %v", home.Instance, members[lost].Instance, got)
		}
	})
}

// Guards against members that are the home of many more keys than others.
func TestHomesAreSpreadEvenly(t *testing.T) {
	members := []board.EpochMember{{Instance: "n1"}, {Instance: "n2"}, {Instance: "n3"}, {Instance: "n4"}}
	counts := map[board.InstanceID]int{}
	for i := range 4000 {
		home, _ := Home(members, board.KeyID{Service: "s", Caller: "c", Key: NewKey(time.Unix(int64(i), 0), [10]byte{byte(i)})})
		counts[home.Instance]++
	}
	for _, m := range members {
		require.InDelta(t, 1000, counts[m.Instance], 150)
	}
}

// Guards against two proposers with the same rank, and against a joining member
// that proposes before the members that know the transfers.
func TestProposerRankIsUniqueAndPrefersCurrentMembers(t *testing.T) {
	proposed := []board.EpochMember{{Instance: "n1"}, {Instance: "n2"}, {Instance: "n3"}, {Instance: "n4"}}
	current := &board.Epoch{Number: 7, Members: proposed[:2]}
	seen := map[int]bool{}
	for _, m := range proposed {
		rank := ProposerRank(proposed, current, m.Instance, "s")
		require.False(t, seen[rank])
		seen[rank] = true
		_, member := current.Member(m.Instance)
		require.Equal(t, member, rank < 2)
	}
}

// Guards the limits between valid, expired and future keys.
func TestCheckKey(t *testing.T) {
	limits := dynconf.Default().AtMostOnce
	now := time.UnixMilli(1_800_000_000_000)
	key := func(offset time.Duration) string { return NewKey(now.Add(offset), [10]byte{1}) }
	require.Equal(t, KeyValid, CheckKey(key(-limits.KeyRetention), now, limits))
	require.Equal(t, KeyExpired, CheckKey(key(-limits.KeyRetention-time.Millisecond), now, limits))
	require.Equal(t, KeyValid, CheckKey(key(limits.KeyFutureSkew), now, limits))
	require.Equal(t, KeyInFuture, CheckKey(key(limits.KeyFutureSkew+time.Millisecond), now, limits))
	require.Equal(t, KeyMalformed, CheckKey("4e6b3c5e-3f5a-4d0e-9b1a-0123456789ab", now, limits))
	require.Equal(t, limits.KeyRetention+limits.NodeClockSkew, RecordExpiry(key(0), limits).Sub(now))
}

// Guards against a new home that stops waiting for a former home too early or
// too late.
func TestTransferState(t *testing.T) {
	limits := dynconf.Default().AtMostOnce
	now := time.Unix(1_800_000_000, 0)
	members := []board.EpochMember{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}, {Instance: "d"}, {Instance: "e"}}
	complete, ended := MemberTransfer{Complete: true}, MemberTransfer{Ended: true}
	cases := map[string]struct {
		total     int
		statuses  []MemberTransfer
		elapsed   time.Duration
		pending   bool
		noHorizon bool
	}{
		"home complete":                        {5, []MemberTransfer{complete}, 0, false, true},
		"all others complete":                  {5, []MemberTransfer{{}, complete, complete, complete, complete}, 0, false, true},
		"single member missing":                {1, []MemberTransfer{{}}, time.Minute, true, false},
		"single member ended":                  {1, []MemberTransfer{ended}, 0, false, false},
		"two missing, majority complete":       {5, []MemberTransfer{{}, {}, complete, complete, complete}, 0, true, false},
		"two missing, majority complete, late": {5, []MemberTransfer{{}, {}, complete, complete, complete}, ConfirmationTTL + 1, false, false},
		"majority missing":                     {5, []MemberTransfer{{}, {}, {}, complete, complete}, time.Minute, true, false},
		"majority missing, expired":            {5, []MemberTransfer{{}, {}, {}, complete, complete}, limits.KeyRetention + 1, false, false},
		"majority ended, one missing":          {5, []MemberTransfer{{}, ended, ended, complete, complete}, 0, false, false},
	}
	for name, c := range cases {
		transfer := &PreviousEpochTransfer{
			Previous: &board.FormerEpoch{Members: members[:c.total]}, ByMember: map[board.EpochMember]MemberTransfer{}, StartedAt: now,
		}
		for i, status := range c.statuses {
			transfer.ByMember[members[i]] = status
		}
		transfer.UpdateMajority(now)
		state := transfer.State(members[0], now.Add(c.elapsed), limits)
		require.Equal(t, c.pending, state.Pending, name)
		require.Equal(t, c.noHorizon, !state.Pending && state.Horizon.IsZero(), name)
	}
}

// moved reports whether the home of a key, or the incarnation of its home,
// differs between previous and next.
func moved(previous, next []board.EpochMember, id board.KeyID) bool {
	a, okA := Home(previous, id)
	b, okB := Home(next, id)
	return okA != okB || a.Instance != b.Instance || a.Incarnation != b.Incarnation
}
