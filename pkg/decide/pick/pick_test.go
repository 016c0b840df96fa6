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

// newEndpoints returns cells of 10 slots in three failure domains, each with a fresh
// report of 4 calls in flight and 10 ms.
func newEndpoints(n int) []*board.Endpoint {
	cells := make([]*board.Endpoint, n)
	for i := range cells {
		cells[i] = board.NewEndpoint(board.Member{
			Instance: board.InstanceID(fmt.Sprintf("i%03d", i)), FailureDomain: fmt.Sprintf("d%d", i%3), Slots: 10,
		})
		reportLoad(cells[i], 4, 10000, 0)
	}
	return cells
}

func reportLoad(c *board.Endpoint, inFlight, micros uint32, age time.Duration) {
	c.UpdateLoadReport(board.LoadReport{InFlight: inFlight, ServerReportedInFlight: inFlight, Limit: 10, LatencyMicros: micros, ReceivedAt: now.Add(-age)})
}

func newPicker(policy string, cells []*board.Endpoint, breakers *board.Breakers) board.Picker {
	balancing := dynconf.Default().Balancing
	return New(policy, Input{Endpoints: cells, Breakers: breakers, FailureDomain: "none", Balancing: balancing})
}

// sendCalls sends calls of which up to open are in flight and returns the share of
// each instance.
func sendCalls(p board.Picker, calls, open int) map[board.InstanceID]float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	shares := map[board.InstanceID]float64{}
	var flying []*board.Endpoint
	for range calls {
		if len(flying) == open {
			flying[0].CallEnded()
			flying = flying[1:]
		}
		cell := p.Pick(&board.PickRequest{Now: now, Random: random.Uint64()})
		cell.CallStarted()
		flying = append(flying, cell)
		shares[cell.Member.Instance] += 1 / float64(calls)
	}
	return shares
}

// Guards against calls to instances that drain or have been tried.
func TestPoliciesSkipDrainingAndExcluded(t *testing.T) {
	for _, policy := range policies {
		cells := newEndpoints(3)
		cells[0].UpdateLoadReport(board.LoadReport{Draining: true, ReceivedAt: now})
		p := newPicker(policy, cells, nil)
		for i := range uint64(50) {
			req := &board.PickRequest{Now: now, Random: i * 0x9e3779b97f4a7c15, Exclude: []board.InstanceID{"i001"}}
			require.Equal(t, board.InstanceID("i002"), p.Pick(req).Member.Instance, policy)
		}
		require.Nil(t, newPicker(policy, nil, nil).Pick(&board.PickRequest{}), policy)
	}
}

// Guards against an old report of an idle instance that attracts traffic.
func TestStaleReportAttractsNoTraffic(t *testing.T) {
	for _, age := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		cells := newEndpoints(6)
		cells[0] = board.NewEndpoint(cells[0].Member)
		reportLoad(cells[0], 0, 10000, age)
		share := sendCalls(newPicker("hotcold", cells, nil), 6000, 18)["i000"]
		require.Less(t, share, 1.15/6, "age %v", age)
	}
}

// Guards against an instance without a report that is flooded or never tried.
func TestUnreportedEndpointGetsOneCall(t *testing.T) {
	cells := newEndpoints(6)
	cells[0] = board.NewEndpoint(cells[0].Member)
	p := newPicker("hotcold", cells, nil)
	random := rand.New(rand.NewPCG(seed, 0))
	most := int64(0)
	for range 30 {
		p.Pick(&board.PickRequest{Now: now, Random: random.Uint64()}).CallStarted()
		most = max(most, cells[0].OwnInFlight())
	}
	require.Equal(t, int64(1), most)
}

// Guards against a server that attracts traffic by failing fast: it is idle
// and has the lowest latency.
func TestFailingFastAttractsNoTraffic(t *testing.T) {
	cells := newEndpoints(6)
	cells[0] = board.NewEndpoint(cells[0].Member)
	reportLoad(cells[0], 0, 100, 0)
	for range 4 {
		cells[0].ObserveOutcome(true, now)
	}
	require.Less(t, sendCalls(newPicker("hotcold", cells, nil), 3000, 18)["i000"], 1.0/6)
}

// Guards against a false load report of a backend server: it may mislead the
// twochoices baseline, not hotcold.
func TestFalseReportAttractsNoTraffic(t *testing.T) {
	cells := newEndpoints(6)
	cells[0].UpdateLoadReport(board.LoadReport{InFlight: 4, ServerReportedInFlight: 0, Limit: 10, LatencyMicros: 10000, ReceivedAt: now})
	require.Less(t, sendCalls(newPicker("hotcold", cells, nil), 6000, 18)["i000"], 1.15/6)
	require.Greater(t, sendCalls(newPicker("twochoices", cells, nil), 6000, 18)["i000"], 1.5/6)
}

// Guards against a slow or a loaded instance that keeps its share.
func TestSlowAndLoadedEndpointsGetFewerCalls(t *testing.T) {
	cells := newEndpoints(6)
	reportLoad(cells[0], 4, 50000, 0)
	reportLoad(cells[1], 12, 10000, 0)
	shares := sendCalls(newPicker("hotcold", cells, nil), 6000, 18)
	require.Less(t, shares["i000"], 0.5/6)
	require.Less(t, shares["i001"], 0.5/6)
}

// Guards against traffic that leaves the failure domain without a reason, and
// against traffic that stays when waiting there costs more.
func TestOwnFailureDomainIsPreferredWhileFaster(t *testing.T) {
	cells := newEndpoints(3)
	balancing := dynconf.Default().Balancing
	p := New("hotcold", Input{Endpoints: cells, FailureDomain: "d1", Balancing: balancing})
	require.Equal(t, "d1", p.Pick(&board.PickRequest{Now: now}).Member.FailureDomain)
	reportLoad(cells[1], 11, 10000, 0)
	require.NotEqual(t, "d1", p.Pick(&board.PickRequest{Now: now}).Member.FailureDomain)
}

// Guards against a cold server that gets its full share at once, or none.
func TestSlowStartRampsUp(t *testing.T) {
	share := func(age time.Duration) float64 {
		cells := newEndpoints(6)
		for _, c := range cells {
			reportLoad(c, 0, 10000, 0)
		}
		cells[0] = board.NewSlowStartEndpoint(cells[0].Member, now.Add(-age))
		reportLoad(cells[0], 0, 10000, 0)
		return sendCalls(newPicker("hotcold", cells, nil), 6000, 30)["i000"]
	}
	over := dynconf.Default().Balancing.ColdStart
	early, middle, late := share(over/4), share(over/2), share(over)
	require.Less(t, early, 0.7/6)
	require.Greater(t, early, 0.1/6)
	require.Less(t, early, middle)
	require.InDelta(t, 1.0/6, late, 0.02)
}

// Guards against a cold server without a report that is not tried until its
// ramp has ended, although all others are busy.
func TestSlowStartAdmitsCallsFromTheStart(t *testing.T) {
	cells := newEndpoints(6)
	for _, c := range cells {
		reportLoad(c, 6, 10000, 0)
	}
	cells[0] = board.NewSlowStartEndpoint(cells[0].Member, now)
	require.Positive(t, sendCalls(newPicker("hotcold", cells, nil), 300, 6)["i000"])
}

// Guards against a fleet that starts together and is chosen from in another
// way than a warm one.
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

// Guards against calls to an instance with an open breaker, more than one
// trial, and a service that is lost because all breakers are open.
func TestBreakersApplyToEveryPolicy(t *testing.T) {
	for _, policy := range policies {
		cells := newEndpoints(3)
		breakers := &board.Breakers{ByInstance: map[board.InstanceID]*board.Breaker{
			"i000": {State: board.BreakerOpen}, "i001": {State: board.BreakerHalfOpen},
		}}
		shares := sendCalls(newPicker(policy, cells, breakers), 100, 3)
		require.Zero(t, shares["i000"], policy)
		require.InDelta(t, 0.01, shares["i001"], 1e-9, policy)
		all := &board.Breakers{ByInstance: map[board.InstanceID]*board.Breaker{
			"i000": {State: board.BreakerOpen}, "i001": {State: board.BreakerOpen}, "i002": {State: board.BreakerOpen},
		}}
		require.NotNil(t, newPicker(policy, cells, all).Pick(&board.PickRequest{Now: now}), policy)
	}
}

// Guards against subsets that differ between runs, leave out a failure domain
// or give some instances many more entries than others.
func TestSubsetIsDeterministicBalancedAndDiverse(t *testing.T) {
	const entries, size = 600, 20
	cells := newEndpoints(152)
	used := map[board.InstanceID]int{}
	for rank := range entries {
		subset := Subset(cells, rank, size)
		require.Equal(t, subset, Subset(cells, rank, size))
		require.InDelta(t, size, len(subset), 2)
		domains := map[string]int{}
		for _, c := range subset {
			used[c.Member.Instance]++
			domains[c.Member.FailureDomain]++
		}
		require.Len(t, domains, 3)
	}
	byDomain := map[string][]int{}
	for _, c := range cells {
		byDomain[c.Member.FailureDomain] = append(byDomain[c.Member.FailureDomain], used[c.Member.Instance])
	}
	for domain, counts := range byDomain {
		low, high := counts[0], counts[0]
		for _, n := range counts {
			low, high = min(low, n), max(high, n)
		}
		require.LessOrEqual(t, high-low, 1, domain)
	}
	require.Len(t, Subset(cells[:size], 7, size), size)
}

// Guards against an allocation on the path of each request.
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
