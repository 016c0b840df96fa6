package earliest

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

const ms = time.Millisecond

func candidate(running int, slowdown float64) Candidate {
	return Candidate{Load: estimate.Load{Running: running, Slots: 4, Speed: estimate.Speed{Slowdown: slowdown}, MeanServiceTime: 100 * ms}}
}

// Guards against calls for a full, slow, failing or distant backend server
// while a better one is known.
func TestChooseAvoidsWorseServers(t *testing.T) {
	failing, distant := candidate(0, 1), candidate(0, 1)
	failing.FailureRatio = 0.5
	distant.TransferCost = 200 * ms
	for name, worse := range map[string]Candidate{
		"full": candidate(4, 1), "slow": candidate(0, 7), "failing": failing, "distant": distant,
	} {
		t.Run(name, func(t *testing.T) {
			for draw := range uint64(8) {
				choice, ok := Choose([]Candidate{worse, candidate(1, 1)}, 100*ms, ms, draw)
				require.True(t, ok)
				require.Equal(t, 1, choice.Index)
				require.Greater(t, choice.NextBestTime, choice.ExpectedTime)
			}
		})
	}
}

// Guards against all callers choosing the same one of equal backend servers.
func TestEqualServersAreChosenEvenly(t *testing.T) {
	got := map[int]int{}
	for draw := range uint64(30) {
		choice, _ := Choose([]Candidate{candidate(0, 1), candidate(1, 1), candidate(2, 1)}, 100*ms, ms, draw)
		got[choice.Index]++
	}
	require.Equal(t, map[int]int{0: 10, 1: 10, 2: 10}, got)
}

// Guards against a call without a choice, and against an excluded backend server
// that is used while there is another one.
func TestExcludedServers(t *testing.T) {
	_, ok := Choose(nil, 100*ms, ms, 0)
	require.False(t, ok)
	excluded := candidate(0, 1)
	excluded.Excluded = true
	choice, _ := Choose([]Candidate{excluded, candidate(4, 7)}, 100*ms, ms, 0)
	require.Equal(t, 1, choice.Index)
	choice, _ = Choose([]Candidate{excluded}, 100*ms, ms, 0)
	require.Equal(t, 0, choice.Index)
}

// Guards against a bundle that is placed behind others on a thin link, and
// against wide links that get no more than thin ones.
func TestLargeResponsesAvoidSlowAndBusyLinks(t *testing.T) {
	thin, wide := candidate(0, 1), candidate(1, 1)
	thin.ResponseBytes, thin.LinkRate = 90_000, 1.66e6
	wide.ResponseBytes, wide.LinkRate = 90_000, 24e6
	choice, _ := Choose([]Candidate{thin, wide}, 100*ms, 0, 0)
	require.Equal(t, 1, choice.Index)
	busy := candidate(0, 1)
	busy.LinkBacklog = 400 * ms
	choice, _ = Choose([]Candidate{busy, thin}, 100*ms, 0, 0)
	require.Equal(t, 1, choice.Index)
	busy.LoadAge = time.Second
	choice, _ = Choose([]Candidate{busy, thin}, 100*ms, 0, 0)
	require.Equal(t, 0, choice.Index, "the backlog has gone since")
}

// Guards against a load of unknown age that overflows the wait for the link.
func TestUnknownLoadAgeDoesNotOverflow(t *testing.T) {
	known, unknown := candidate(6, 1), candidate(0, 1)
	unknown.LoadAge = math.MaxInt64
	choice, _ := Choose([]Candidate{known, unknown}, 100*ms, 0, 0)
	require.Equal(t, 1, choice.Index)
	require.Positive(t, choice.ExpectedTime)
	require.Less(t, choice.ExpectedTime, time.Second)
}

// Guards against offers that go to backend servers without a report, one after
// the other, while those that are known tell that all are cold.
func TestUnreportedServersGetTypicalMinSlowdown(t *testing.T) {
	unknown := candidate(0, 0)
	unknown.LoadAge = -1
	cold := candidate(0, 2)
	cold.Load.MinSlowdown = 2
	choice, _ := Choose([]Candidate{unknown, cold, cold, cold}, 100*ms, ms, 0)
	require.NotZero(t, choice.Index)
	old := candidate(0, 2)
	old.Load.MinSlowdown, old.LoadAge = 2, 10*time.Second
	choice, _ = Choose([]Candidate{old, cold, cold, cold}, 100*ms, ms, 0)
	require.NotZero(t, choice.Index)
	choice, _ = Choose([]Candidate{unknown, cold, candidate(0, 7)}, 100*ms, ms, 0)
	require.Zero(t, choice.Index, "one cold backend server says little of the others")
}
