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
// there can run them about as soon, and against calls that stay while all servers
// there are full, or have refused them, and others are free.
func TestCallsLeaveTheirDomainOnlyUnderLoad(t *testing.T) {
	const localServers = 3
	choose := func(localRunning int, localSlowdown float64, firstOffer bool, random uint64) int {
		var candidates []Candidate
		for range localServers {
			candidates = append(candidates, candidate(localRunning, localSlowdown))
		}
		for range 9 {
			remote := candidate(0, 1)
			remote.TransferCost = CrossDomainCost(100*ms, 400, firstOffer)
			candidates = append(candidates, remote)
		}
		choice, _ := Choose(candidates, 100*ms, ms, random)
		return choice.Index
	}
	for random := range uint64(24) {
		require.Less(t, choose(3, 1, true, random), localServers, "a slot is free in the own domain")
		require.Less(t, choose(3, 1.1, true, random), localServers, "the own domain is slower by 10 ms")
		require.GreaterOrEqual(t, choose(3, 1.1, false, random), localServers, "the own domain has refused the call")
		require.GreaterOrEqual(t, choose(4, 1, true, random), localServers, "the own domain has a queue")
	}
}

// Guards against calls to a cold backend server that may not get them yet, and against
// an old report that keeps calls away although the wait is over.
func TestAdmissionWaitIsAddedAndAges(t *testing.T) {
	cold, busy := candidate(0, 1), candidate(4, 1)
	cold.AdmissionWait = 400 * ms
	choice, _ := Choose([]Candidate{cold, busy}, 100*ms, ms, 0)
	require.Equal(t, 1, choice.Index)
	require.Equal(t, 400*ms, choice.NextBestTime-ExpectedTime(candidate(0, 1), 100*ms, 1))
	cold.LoadAge = 300 * ms
	require.Equal(t, 100*ms, RemainingAdmissionWait(cold))
	cold.LoadAge = 400 * ms
	choice, _ = Choose([]Candidate{cold, busy}, 100*ms, ms, 0)
	require.Zero(t, choice.Index)
}
