package earliest

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
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

// Guards against a faster computation that gives other times or other choices than
// the definition: the least expected time over all candidates, where the typical
// minimum slowdown is the weighted median of all reports.
func TestChoicesFollowTheDefinition(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 3000 {
		candidates := make([]Candidate, 1+rng.IntN(40))
		for i := range candidates {
			c := candidate(rng.IntN(7), float64(rng.IntN(5)))
			c.Load.MinSlowdown = []float64{0, 1, 1, 1.04, 2, 3}[rng.IntN(6)]
			c.LoadAge = time.Duration(rng.IntN(3000)-100) * ms
			c.OneWayLatency = time.Duration(rng.IntN(2000)) * time.Microsecond
			c.TransferCost = time.Duration(rng.IntN(2)) * 15 * ms
			c.FailureRatio = float64(rng.IntN(2)) * rng.Float64()
			c.Excluded = rng.IntN(4) == 0
			candidates[i] = c
		}
		random, tolerance := rng.Uint64(), time.Duration(rng.IntN(3))*ms
		choice, ok := Choose(candidates, 100*ms, tolerance, random)
		require.True(t, ok)
		require.Equal(t, chooseByDefinition(candidates, 100*ms, tolerance, random), choice)
	}
}

func chooseByDefinition(candidates []Candidate, nominal, tolerance time.Duration, random uint64) Choice {
	typicalMin := typicalMinByDefinition(candidates)
	var eligible []int
	for i, c := range candidates {
		if !c.Excluded {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		for i := range candidates {
			eligible = append(eligible, i)
		}
	}
	times := make([]time.Duration, len(candidates))
	best := time.Duration(math.MaxInt64)
	for _, i := range eligible {
		times[i] = ExpectedTime(candidates[i], nominal, typicalMin)
		best = min(best, times[i])
	}
	var equal []int
	for _, i := range eligible {
		if times[i] <= best+tolerance {
			equal = append(equal, i)
		}
	}
	choice := Choice{Index: equal[random%uint64(len(equal))]}
	choice.ExpectedTime = times[choice.Index]
	for _, i := range eligible {
		if i != choice.Index && (choice.NextBestTime == 0 || times[i] < choice.NextBestTime) {
			choice.NextBestTime = times[i]
		}
	}
	return choice
}

// typicalMinByDefinition returns the median of the reported minimum slowdowns and of
// the prior assumption of 1, weighted by age.
func typicalMinByDefinition(candidates []Candidate) float64 {
	const prior = 1.5
	type weighted struct{ value, weight float64 }
	samples, total := []weighted{{1, prior}}, prior
	for _, c := range candidates {
		if c.LoadAge >= 0 && c.Load.MinSlowdown > 0 {
			weight := math.Exp(-float64(c.LoadAge) / float64(estimate.MinSlowdownDecay))
			samples = append(samples, weighted{max(1, c.Load.MinSlowdown), weight})
			total += weight
		}
	}
	slices.SortStableFunc(samples, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	cumulative := 0.0
	for _, s := range samples {
		cumulative += s.weight
		if 2*cumulative >= total {
			return s.value
		}
	}
	return samples[len(samples)-1].value
}

// BenchmarkChoose measures the choice among the endpoints of a service at 300 nodes.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{17, 160} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			candidates := make([]Candidate, count)
			for i := range candidates {
				candidates[i] = candidate(i%5, 1+float64(i%3))
				candidates[i].Load.MinSlowdown = 1 + float64(i%4)/100
				candidates[i].LoadAge = time.Duration(i) * 5 * ms
			}
			b.ReportAllocs()
			for i := range b.N {
				Choose(candidates, 100*ms, 2*ms, uint64(i))
			}
		})
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
	require.Equal(t, 100*ms, RemainingAdmissionWait(&cold))
	cold.LoadAge = 400 * ms
	choice, _ = Choose([]Candidate{cold, busy}, 100*ms, ms, 0)
	require.Zero(t, choice.Index)
}
