package locality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/pick/earliest"
)

const (
	ms        = time.Millisecond
	nominal   = 100 * ms
	tolerance = 2 * ms
)

// candidate returns a backend server with four slots and calls of 100 ms.
func candidate(running int, slowdown float64, age time.Duration) earliest.Candidate {
	return earliest.Candidate{
		Load:    estimate.Load{Running: running, Slots: 4, Speed: estimate.Speed{Slowdown: slowdown, MinSlowdown: 1}, MeanServiceTime: nominal},
		LoadAge: age, OneWayLatency: SameDomainLatency,
	}
}

// inOtherDomain returns the candidate in another failure domain.
func inOtherDomain(c earliest.Candidate, firstOffer bool) earliest.Candidate {
	c.OtherDomain, c.OneWayLatency = true, DefaultCrossLatency
	c.TransferCost = Cost(Traffic{Nominal: nominal, ResponseBytes: 400, FirstOffer: firstOffer}, DefaultTimePerMB)
	return c
}

// domains returns local servers of one load and remote servers of another.
func domains(local, remote int, localLoad, remoteLoad earliest.Candidate) []earliest.Candidate {
	var candidates []earliest.Candidate
	for range local {
		candidates = append(candidates, localLoad)
	}
	for range remote {
		candidates = append(candidates, inOtherDomain(remoteLoad, true))
	}
	return candidates
}

func decide(t *testing.T, in Input) Decision {
	t.Helper()
	in.Nominal, in.Tolerance = nominal, tolerance
	decision, ok := Decide(in, &earliest.Scratch{})
	require.True(t, ok)
	return decision
}

// Guards against other choices than before at deployments that keep the default
// setting and have no uploads: 2.5 us for a byte of the response, 0.15 of the nominal
// time on the first offer, 1.1 ms one way, and the least expected time.
func TestChoiceIsUnchangedWithNewReports(t *testing.T) {
	const byteCost, firstOfferCost = 2500 * time.Nanosecond, 0.15
	rng := rand.New(rand.NewPCG(3, 3))
	for range 5000 {
		size, firstOffer := rng.Int64N(100_000), rng.IntN(2) == 0
		formerCost := time.Duration(size) * byteCost
		if firstOffer {
			formerCost += time.Duration(firstOfferCost * float64(nominal))
		}
		require.Equal(t, formerCost, Cost(Traffic{Nominal: nominal, ResponseBytes: size, FirstOffer: firstOffer}, DefaultTimePerMB))
		require.Equal(t, 1100*time.Microsecond, Latency(0, 300*time.Microsecond))
		candidates := make([]earliest.Candidate, 1+rng.IntN(12))
		for i := range candidates {
			candidates[i] = candidate(rng.IntN(6), 1+float64(rng.IntN(3)), 0)
			if rng.IntN(2) == 0 {
				candidates[i].OtherDomain, candidates[i].OneWayLatency, candidates[i].TransferCost = true, Latency(0, 0), formerCost
			}
		}
		repeated := Stays
		if !firstOffer {
			repeated = Refused
		}
		random := rng.Uint64()
		former, _ := earliest.Choose(candidates, nominal, tolerance, random)
		got := decide(t, Input{Candidates: candidates, Repeated: repeated, Previous: State{Share: rng.Float64(), At: time.Unix(9, 0)}, Now: time.Unix(10, 0), Random: random})
		require.Equal(t, former, got.Choice)
	}
}

// Guards against calls that leave their failure domain although a backend server
// there can run them about as soon, and against calls that stay while all servers
// there are full, or have refused them, and others are free.
func TestCallsLeaveTheirDomainOnlyUnderLoad(t *testing.T) {
	const localServers = 3
	choose := func(localRunning int, localSlowdown float64, firstOffer bool, random uint64) int {
		candidates := domains(localServers, 0, candidate(localRunning, localSlowdown, 0), earliest.Candidate{})
		for range 9 {
			candidates = append(candidates, inOtherDomain(candidate(0, 1, 0), firstOffer))
		}
		repeated := Stays
		if !firstOffer {
			repeated = Refused
		}
		return decide(t, Input{Candidates: candidates, Repeated: repeated, Random: random, Now: time.Unix(1, 0)}).Index
	}
	for random := range uint64(24) {
		require.Less(t, choose(3, 1, true, random), localServers, "a slot is free in the own domain")
		require.Less(t, choose(3, 1.1, true, random), localServers, "the own domain is slower by 10 ms")
		require.GreaterOrEqual(t, choose(3, 1.1, false, random), localServers, "the own domain has refused the call")
		require.GreaterOrEqual(t, choose(4, 1, true, random), localServers, "the own domain has a queue")
	}
}

// Guards against a share that jumps while reports are old, and against one that never
// arrives.
func TestShareMovesSlowlyWithOldReports(t *testing.T) {
	for _, age := range []time.Duration{10 * ms, 100 * ms, 500 * ms} {
		candidates := domains(4, 8, candidate(9, 1, age), candidate(0, 1, age))
		now := time.Unix(10, 0)
		state := State{At: now}
		step := age / 10
		first := decide(t, Input{Candidates: candidates, Previous: state, Now: now.Add(step)})
		require.InDelta(t, 1, first.Target, 0.01)
		require.Less(t, first.Share, 0.05, "age %s", age)
		for range 200 {
			now = now.Add(step)
			next := decide(t, Input{Candidates: candidates, Previous: state, Now: now}).State
			require.GreaterOrEqual(t, next.Share, state.Share)
			state = next
		}
		require.Greater(t, state.Share, 0.95, "age %s", age)
	}
}

// Guards against a share of the draws that differs from the decided share, which would
// move more or less than this entry's part of the flow.
func TestDrawsFollowTheShare(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(10, 0)
	for name, in := range map[string]Input{
		"rising":    {Candidates: domains(4, 8, candidate(9, 1, 300*ms), candidate(0, 1, 300*ms)), Previous: State{Share: 0.2, At: now}},
		"declining": {Candidates: domains(4, 8, candidate(1, 1, 300*ms), candidate(1, 1, 300*ms)), Previous: State{Share: 0.6, At: now}},
	} {
		t.Run(name, func(t *testing.T) {
			const draws = 20_000
			leaving := 0
			var decision Decision
			for range draws {
				in.Now, in.Random = now.Add(10*ms), rng.Uint64()
				decision = decide(t, in)
				if in.Candidates[decision.Index].OtherDomain {
					leaving++
					require.NotEqual(t, Stays, decision.Cause)
				}
			}
			require.InDelta(t, decision.Share, float64(leaving)/draws, 0.015)
			require.Greater(t, decision.Share, 0.1)
			require.Less(t, decision.Share, 0.7)
		})
	}
}

// Guards against delay or refusal where the own domain has no server, and against
// calls that are sent to a domain whose servers fail because the share follows old
// reports.
func TestDomainWithoutUsableServers(t *testing.T) {
	now := time.Unix(10, 0)
	previous := State{At: now}
	none := decide(t, Input{Candidates: domains(0, 3, earliest.Candidate{}, candidate(0, 1, 500*ms)), Previous: previous, Now: now.Add(ms)})
	require.Equal(t, NoServer, none.Cause)
	require.InDelta(t, 1, none.Share, 0)
	failing := candidate(0, 1, 500*ms)
	failing.FailureRatio = 0.5
	failed := decide(t, Input{Candidates: domains(3, 3, failing, candidate(0, 1, 500*ms)), Previous: previous, Now: now.Add(ms)})
	require.Equal(t, Failing, failed.Cause)
	require.InDelta(t, 1, failed.Share, 0)
	only := decide(t, Input{Candidates: domains(3, 0, failing, earliest.Candidate{}), Previous: previous, Now: now.Add(ms)})
	require.Equal(t, Stays, only.Cause)
	_, ok := Decide(Input{}, &earliest.Scratch{})
	require.False(t, ok)
}

// Guards against calls that are held back, or sent nowhere, when the links to the other
// domains break, and against an entry that starts anew without help for its domain.
func TestLinksBreakAndNodesRestart(t *testing.T) {
	now := time.Unix(10, 0)
	local, remote := candidate(9, 1, 400*ms), candidate(0, 1, 400*ms)
	cut := decide(t, Input{Candidates: domains(4, 0, local, remote), Previous: State{Share: 0.8, At: now}, Now: now.Add(ms)})
	require.Equal(t, Stays, cut.Cause)
	require.Zero(t, cut.State.Share)
	restarted := decide(t, Input{Candidates: domains(4, 8, local, remote), Now: now})
	require.Equal(t, Slower, restarted.Cause)
	require.Greater(t, restarted.Share, 0.9)
}

// Guards against a decision on one idle server among many while the domain as a whole
// is overloaded, since an old report of an idle server says little.
func TestOverloadedDomainGetsHelpDespiteOneOldIdleReport(t *testing.T) {
	candidates := domains(20, 40, candidate(8, 1, 400*ms), candidate(2, 1, 400*ms))
	candidates[7].Load.Running = 0
	decision := decide(t, Input{Candidates: candidates, Now: time.Unix(1, 0)})
	require.Greater(t, decision.Share, 0.9)
	for i := range candidates {
		candidates[i].LoadAge = 0
	}
	decision = decide(t, Input{Candidates: candidates, Now: time.Unix(1, 0)})
	require.Equal(t, 7, decision.Index, "a new report counts")
}

// Guards against calls that leave because of reports of a queue that ended long ago.
func TestVeryOldReportsOfAQueueDoNotCount(t *testing.T) {
	candidates := domains(20, 40, candidate(14, 1, 30*time.Second), candidate(1, 1, 300*ms))
	for i := range 4 {
		candidates[i] = candidate(1, 1, 100*ms)
	}
	decision := decide(t, Input{Candidates: candidates, Now: time.Unix(1, 0)})
	require.Less(t, decision.Target, 0.01)
	require.Equal(t, Stays, decision.Cause)
}

// Guards against request bytes of small requests that keep calls in their domain,
// uploads that cross for nothing, and callers that wait longer in their slot to save
// bytes.
func TestCost(t *testing.T) {
	require.Equal(t, 250*ms, Cost(Traffic{Nominal: nominal, RequestBytes: 100_000}, DefaultTimePerMB))
	require.Equal(t, 15*ms, Cost(Traffic{Nominal: nominal, FirstOffer: true}, DefaultTimePerMB))
	require.Equal(t, 10*ms, Cost(Traffic{Nominal: nominal, FirstOffer: true, CallerLoad: 0.5}, DefaultTimePerMB))
	require.Equal(t, 7500*time.Microsecond, Cost(Traffic{Nominal: nominal, FirstOffer: true, CallerLoad: 40}, DefaultTimePerMB))
	require.Equal(t, 15*ms, Cost(Traffic{Nominal: nominal, ResponseBytes: 1 << 30, FirstOffer: true}, 0), "bytes do not count")
}

// Guards against a distance that includes the work of the nodes or one wait, and
// against one that is kept after the route has changed.
func TestLatencyIsMeasured(t *testing.T) {
	require.Equal(t, SameDomainLatency+9*ms, Latency(9500*time.Microsecond, 500*time.Microsecond))
	require.Equal(t, 9500*time.Microsecond, Latency(9500*time.Microsecond, 0))
	require.Equal(t, SameDomainLatency, Latency(ms, 2*ms))
	now := time.Unix(10, 0)
	var tracker ShortestRoundTrip
	for _, roundTrip := range []time.Duration{80 * ms, 10 * ms, 300 * ms, 0} {
		tracker = tracker.Add(roundTrip, now)
	}
	require.Equal(t, 10*ms, tracker.Value())
	tracker = tracker.Add(20*ms, now.Add(roundTripWindow))
	require.Equal(t, 10*ms, tracker.Value())
	require.True(t, tracker.Changes(25*ms, now.Add(2*roundTripWindow)))
	tracker = tracker.Add(25*ms, now.Add(2*roundTripWindow))
	require.Equal(t, 20*ms, tracker.Value())
	require.False(t, tracker.Changes(26*ms, now.Add(2*roundTripWindow)))
}

// Guards against causes without a name in logs and counters.
func TestCausesHaveNames(t *testing.T) {
	for c := Stays; c <= Hedge; c++ {
		require.NotEmpty(t, c.String())
	}
	require.Equal(t, "invalid", Cause(math.MaxUint8).String())
}

// BenchmarkDecide measures the decision among the endpoints of a service at 300 nodes.
func BenchmarkDecide(b *testing.B) {
	candidates := domains(56, 104, candidate(2, 1, 200*ms), candidate(1, 2, 300*ms))
	var scratch earliest.Scratch
	state, now := State{}, time.Unix(10, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(ms)
		decision, _ := Decide(Input{Candidates: candidates, Nominal: nominal, Tolerance: tolerance, Previous: state, Now: now, Random: uint64(i) * 0x9e3779b97f4a7c15}, &scratch)
		state = decision.State
	}
}
