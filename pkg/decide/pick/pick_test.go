package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

var policies = []string{"random", "roundrobin", "twochoices", "hotcold"}

var now = time.Unix(100000, 0)

const seed = 3

// newEndpoints returns endpoints with 10 slots in three failure domains, each
// with a fresh report of 4 calls in flight and 10 ms.
func newEndpoints(n int) []*board.Endpoint {
	endpoints := make([]*board.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = board.NewEndpoint(board.Member{
			Instance: board.InstanceID(fmt.Sprintf("i%03d", i)), FailureDomain: fmt.Sprintf("d%d", i%3), Slots: 10,
		})
		reportLoad(endpoints[i], 4, 10000, 0)
	}
	return endpoints
}

// reportLoad stores a load report of the given age.
func reportLoad(endpoint *board.Endpoint, inFlight, micros uint32, age time.Duration) {
	endpoint.UpdateLoadReport(board.LoadReport{InFlight: inFlight, ServerReportedInFlight: inFlight, Limit: 10, LatencyMicros: micros, ReceivedAt: now.Add(-age)})
}

// newPicker returns a picker for an entry outside of all failure domains.
func newPicker(policy string, endpoints []*board.Endpoint, breakers *board.Breakers) board.Picker {
	balancing := dynconf.Default().Balancing
	return New(policy, Input{Endpoints: endpoints, Breakers: breakers, FailureDomain: "none", Balancing: balancing})
}

// sendCalls sends calls, of which up to maxInFlight are in flight, and returns
// the share of each instance.
func sendCalls(p board.Picker, calls, maxInFlight int) map[board.InstanceID]float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	shares := map[board.InstanceID]float64{}
	var inFlight []*board.Endpoint
	for range calls {
		if len(inFlight) == maxInFlight {
			inFlight[0].CallEnded()
			inFlight = inFlight[1:]
		}
		endpoint := p.Pick(&board.PickRequest{Now: now, Random: random.Uint64()})
		endpoint.CallStarted()
		inFlight = append(inFlight, endpoint)
		shares[endpoint.Member.Instance] += 1 / float64(calls)
	}
	return shares
}

// Guards against calls to instances that drain or have already been tried.
func TestPoliciesSkipDrainingAndExcluded(t *testing.T) {
	for _, policy := range policies {
		endpoints := newEndpoints(3)
		endpoints[0].UpdateLoadReport(board.LoadReport{Draining: true, ReceivedAt: now})
		p := newPicker(policy, endpoints, nil)
		for i := range uint64(50) {
			req := &board.PickRequest{Now: now, Random: i * 0x9e3779b97f4a7c15, Exclude: []board.InstanceID{"i001"}}
			require.Equal(t, board.InstanceID("i002"), p.Pick(req).Member.Instance, policy)
		}
		require.Nil(t, newPicker(policy, nil, nil).Pick(&board.PickRequest{}), policy)
	}
}

// Guards against a stale report of an idle instance that attracts traffic.
func TestStaleReportAttractsNoTraffic(t *testing.T) {
	for _, age := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		endpoints := newEndpoints(6)
		endpoints[0] = board.NewEndpoint(endpoints[0].Member)
		reportLoad(endpoints[0], 0, 10000, age)
		share := sendCalls(newPicker("hotcold", endpoints, nil), 6000, 18)["i000"]
		require.Less(t, share, 1.15/6, "age %v", age)
	}
}

// Guards against an instance without a report that is flooded or never tried.
func TestUnreportedEndpointGetsOneCall(t *testing.T) {
	endpoints := newEndpoints(6)
	endpoints[0] = board.NewEndpoint(endpoints[0].Member)
	p := newPicker("hotcold", endpoints, nil)
	random := rand.New(rand.NewPCG(seed, 0))
	maxInFlight := int64(0)
	for range 30 {
		p.Pick(&board.PickRequest{Now: now, Random: random.Uint64()}).CallStarted()
		maxInFlight = max(maxInFlight, endpoints[0].OwnInFlight())
	}
	require.Equal(t, int64(1), maxInFlight)
}

// Guards against a server that attracts traffic by failing fast, since it is
// idle and has the lowest latency.
func TestFailingFastAttractsNoTraffic(t *testing.T) {
	endpoints := newEndpoints(6)
	endpoints[0] = board.NewEndpoint(endpoints[0].Member)
	reportLoad(endpoints[0], 0, 100, 0)
	for range 4 {
		endpoints[0].ObserveOutcome(true, now)
	}
	require.Less(t, sendCalls(newPicker("hotcold", endpoints, nil), 3000, 18)["i000"], 1.0/6)
}

// Guards against a false load report of a backend server. It may mislead the
// twochoices baseline, but not hotcold.
func TestFalseReportAttractsNoTraffic(t *testing.T) {
	endpoints := newEndpoints(6)
	endpoints[0].UpdateLoadReport(board.LoadReport{InFlight: 4, ServerReportedInFlight: 0, Limit: 10, LatencyMicros: 10000, ReceivedAt: now})
	require.Less(t, sendCalls(newPicker("hotcold", endpoints, nil), 6000, 18)["i000"], 1.15/6)
	require.Greater(t, sendCalls(newPicker("twochoices", endpoints, nil), 6000, 18)["i000"], 1.5/6)
}

// Guards against a slow or a loaded instance that keeps its share of the
// traffic.
func TestSlowAndLoadedEndpointsGetFewerCalls(t *testing.T) {
	endpoints := newEndpoints(6)
	reportLoad(endpoints[0], 4, 50000, 0)
	reportLoad(endpoints[1], 12, 10000, 0)
	shares := sendCalls(newPicker("hotcold", endpoints, nil), 6000, 18)
	require.Less(t, shares["i000"], 0.5/6)
	require.Less(t, shares["i001"], 0.5/6)
}

// Guards against traffic that leaves the failure domain without a reason, and
// against traffic that stays while waiting there takes longer.
func TestOwnFailureDomainIsPreferredWhileFaster(t *testing.T) {
	endpoints := newEndpoints(3)
	balancing := dynconf.Default().Balancing
	p := New("hotcold", Input{Endpoints: endpoints, FailureDomain: "d1", Balancing: balancing})
	require.Equal(t, "d1", p.Pick(&board.PickRequest{Now: now}).Member.FailureDomain)
	reportLoad(endpoints[1], 11, 10000, 0)
	require.NotEqual(t, "d1", p.Pick(&board.PickRequest{Now: now}).Member.FailureDomain)
}

// Guards against a cold server that gets its full share at once, or nothing.
func TestSlowStartRampsUp(t *testing.T) {
	share := func(age time.Duration) float64 {
		endpoints := newEndpoints(6)
		for _, endpoint := range endpoints {
			reportLoad(endpoint, 0, 10000, 0)
		}
		endpoints[0] = board.NewSlowStartEndpoint(endpoints[0].Member, now.Add(-age))
		reportLoad(endpoints[0], 0, 10000, 0)
		return sendCalls(newPicker("hotcold", endpoints, nil), 6000, 30)["i000"]
	}
	rampTime := dynconf.Default().Balancing.SlowStartWindow
	early, middle, late := share(rampTime/4), share(rampTime/2), share(rampTime)
	require.Less(t, early, 0.7/6)
	require.Greater(t, early, 0.1/6)
	require.Less(t, early, middle)
	require.InDelta(t, 1.0/6, late, 0.02)
}

// Guards against a cold server without a report that gets no call until its
// slow start has ended, although all others are busy.
func TestSlowStartAdmitsCallsFromTheStart(t *testing.T) {
	endpoints := newEndpoints(6)
	for _, endpoint := range endpoints {
		reportLoad(endpoint, 6, 10000, 0)
	}
	endpoints[0] = board.NewSlowStartEndpoint(endpoints[0].Member, now)
	require.Positive(t, sendCalls(newPicker("hotcold", endpoints, nil), 300, 6)["i000"])
}

// Guards against a slow start of instances that all start together: the choice
// must be the same as among warm ones.
func TestEndpointsStartedTogetherSkipSlowStart(t *testing.T) {
	warm, cold := newEndpoints(6), newEndpoints(6)
	for i := range cold {
		cold[i] = board.NewSlowStartEndpoint(cold[i].Member, now.Add(-time.Second))
		age := time.Duration(10*(len(cold)-i)) * time.Millisecond
		warm[i] = board.NewEndpoint(warm[i].Member)
		reportLoad(cold[i], uint32(i), 10000, age)
		reportLoad(warm[i], uint32(i), 10000, age)
	}
	require.Equal(t, sendCalls(newPicker("hotcold", warm, nil), 600, 18), sendCalls(newPicker("hotcold", cold, nil), 600, 18))
}

// Guards against calls to an instance with an open breaker, against more than
// one trial call, and against an outage of the service because all breakers
// are open.
func TestBreakersApplyToEveryPolicy(t *testing.T) {
	for _, policy := range policies {
		endpoints := newEndpoints(3)
		breakers := &board.Breakers{ByInstance: map[board.InstanceID]*board.Breaker{
			"i000": {State: board.BreakerOpen}, "i001": {State: board.BreakerHalfOpen},
		}}
		shares := sendCalls(newPicker(policy, endpoints, breakers), 100, 3)
		require.Zero(t, shares["i000"], policy)
		require.InDelta(t, 0.01, shares["i001"], 1e-9, policy)
		allOpen := &board.Breakers{ByInstance: map[board.InstanceID]*board.Breaker{
			"i000": {State: board.BreakerOpen}, "i001": {State: board.BreakerOpen}, "i002": {State: board.BreakerOpen},
		}}
		require.NotNil(t, newPicker(policy, endpoints, allOpen).Pick(&board.PickRequest{Now: now}), policy)
	}
}

// Guards against subsets that differ between runs, leave out a failure domain
// or give some instances many more entries than others.
func TestSubsetIsDeterministicBalancedAndDiverse(t *testing.T) {
	const entries, size = 600, 20
	endpoints := newEndpoints(152)
	used := map[board.InstanceID]int{}
	for entryIndex := range entries {
		subset := Subset(endpoints, entryIndex, size)
		require.Equal(t, subset, Subset(endpoints, entryIndex, size))
		require.InDelta(t, size, len(subset), 2)
		domains := map[string]int{}
		for _, endpoint := range subset {
			used[endpoint.Member.Instance]++
			domains[endpoint.Member.FailureDomain]++
		}
		require.Len(t, domains, 3)
	}
	byDomain := map[string][]int{}
	for _, endpoint := range endpoints {
		byDomain[endpoint.Member.FailureDomain] = append(byDomain[endpoint.Member.FailureDomain], used[endpoint.Member.Instance])
	}
	for domain, counts := range byDomain {
		low, high := counts[0], counts[0]
		for _, n := range counts {
			low, high = min(low, n), max(high, n)
		}
		require.LessOrEqual(t, high-low, 1, domain)
	}
	require.Len(t, Subset(endpoints[:size], 7, size), size)
}

// Guards against allocations on the path of a request.
func TestPickAllocatesNothing(t *testing.T) {
	for _, policy := range policies {
		p := newPicker(policy, newEndpoints(40), nil)
		req := &board.PickRequest{Now: now, Random: 12345}
		require.Zero(t, testing.AllocsPerRun(100, func() { p.Pick(req) }), policy)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range policies {
		for _, n := range []int{7, 40, 600} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				p := newPicker(policy, newEndpoints(n), nil)
				req := &board.PickRequest{Now: now}
				b.ReportAllocs()
				for b.Loop() {
					req.Random = req.Random*6364136223846793005 + 1442695040888963407
					p.Pick(req)
				}
			})
		}
	}
}
