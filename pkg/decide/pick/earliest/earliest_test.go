package earliest

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

const ms = time.Millisecond

// candidate returns a backend server with four slots and calls of 100 ms.
func candidate(running int, slowdown float64) Candidate {
	return Candidate{Load: estimate.Load{Running: running, Slots: 4, Speed: estimate.Speed{Slowdown: slowdown}, MeanServiceTime: 100 * ms}}
}

// Guards against calls to a full, slow, failing or distant backend server
// while a better one is known.
func TestChooseAvoidsWorseServers(t *testing.T) {
	failing, distant := candidate(0, 1), candidate(0, 1)
	failing.FailureRatio = 0.5
	distant.TransferCost = 200 * ms
	for name, worse := range map[string]Candidate{
		"full": candidate(4, 1), "slow": candidate(0, 7), "failing": failing, "distant": distant,
	} {
		t.Run(name, func(t *testing.T) {
			for random := range uint64(8) {
				choice, ok := Choose([]Candidate{worse, candidate(1, 1)}, 100*ms, ms, random)
				require.True(t, ok)
				require.Equal(t, 1, choice.Index)
				require.Greater(t, choice.NextBestTime, choice.ExpectedTime)
			}
		})
	}
}

// Guards against all callers choosing the same one of several equal backend
// servers.
func TestEqualServersAreChosenEvenly(t *testing.T) {
	chosen := map[int]int{}
	for random := range uint64(30) {
		choice, _ := Choose([]Candidate{candidate(0, 1), candidate(1, 1), candidate(2, 1)}, 100*ms, ms, random)
		chosen[choice.Index]++
	}
	require.Equal(t, map[int]int{0: 10, 1: 10, 2: 10}, chosen)
}

// Guards against a choice among no candidates, and against an excluded backend
// server that is used while there is another one.
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

// Guards against a large response that is sent over a slow or busy link
// although a faster link is free.
func TestLargeResponsesAvoidSlowAndBusyLinks(t *testing.T) {
	slowLink, fastLink := candidate(0, 1), candidate(1, 1)
	slowLink.ResponseBytes, slowLink.LinkRate = 90_000, 1.66e6
	fastLink.ResponseBytes, fastLink.LinkRate = 90_000, 24e6
	choice, _ := Choose([]Candidate{slowLink, fastLink}, 100*ms, 0, 0)
	require.Equal(t, 1, choice.Index)
	busyLink := candidate(0, 1)
	busyLink.LinkBacklog = 400 * ms
	choice, _ = Choose([]Candidate{busyLink, slowLink}, 100*ms, 0, 0)
	require.Equal(t, 1, choice.Index)
	busyLink.LoadAge = time.Second
	choice, _ = Choose([]Candidate{busyLink, slowLink}, 100*ms, 0, 0)
	require.Equal(t, 0, choice.Index, "the backlog has been sent since")
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

// Guards against preferring backend servers without a report while the reports
// of the others show that all servers are cold.
func TestUnreportedServersGetTypicalMinSlowdown(t *testing.T) {
	unreported := candidate(0, 0)
	unreported.LoadAge = -1
	cold := candidate(0, 2)
	cold.Load.MinSlowdown = 2
	choice, _ := Choose([]Candidate{unreported, cold, cold, cold}, 100*ms, ms, 0)
	require.NotZero(t, choice.Index)
	stale := candidate(0, 2)
	stale.Load.MinSlowdown, stale.LoadAge = 2, 10*time.Second
	choice, _ = Choose([]Candidate{stale, cold, cold, cold}, 100*ms, ms, 0)
	require.NotZero(t, choice.Index)
	choice, _ = Choose([]Candidate{unreported, cold, candidate(0, 7)}, 100*ms, ms, 0)
	require.Zero(t, choice.Index, "one cold backend server tells little about the others")
}

// Guards against calls that leave their failure domain although a backend server
// there can run them at once, and against calls that stay while all servers there
// are full and others are free.
func TestCallsLeaveTheirDomainOnlyUnderLoad(t *testing.T) {
	domain := func(running int, remote bool) Candidate {
		c := candidate(running, 0)
		c.LoadAge = -1
		if remote {
			c.TransferCost = CrossDomainCost(100*ms, 400)
		}
		return c
	}
	fleet := func(localRunning int) []Candidate {
		var candidates []Candidate
		for i := range 12 {
			running, remote := localRunning, i >= 3
			if remote {
				running = 0
			}
			candidates = append(candidates, domain(running, remote))
		}
		return candidates
	}
	for random := range uint64(24) {
		choice, _ := Choose(fleet(3), 100*ms, ms, random)
		require.Less(t, choice.Index, 3, "a slot is free in the own domain")
		choice, _ = Choose(fleet(7), 100*ms, ms, random)
		require.GreaterOrEqual(t, choice.Index, 3, "the own domain has a queue of a whole round of calls")
	}
}
