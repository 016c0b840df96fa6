package board

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate that goes negative or drifts when calls run at
// once and their reports arrive in any order.
func TestEstimateNeitherNegativeNorDrifts(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	cell := NewEndpoint(Member{Instance: "a"})
	var group sync.WaitGroup
	stop := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if cell.EstimatedInFlight() < 0 || cell.OwnInFlight() < 0 {
				t.Error("negative estimate")
				return
			}
		}
	})
	for worker := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(worker)))
		group.Go(func() {
			for range 2000 {
				cell.CallStarted()
				cell.UpdateLoadReport(LoadReport{InFlight: random.Uint32N(9), Sequence: random.Uint64N(5000) + 1})
				cell.CallEnded()
			}
		})
	}
	group.Wait()
	close(stop)
	reader.Wait()
	require.Zero(t, cell.OwnInFlight())
	require.True(t, cell.UpdateLoadReport(LoadReport{InFlight: 3, Queued: 1, Sequence: 6000}))
	require.Equal(t, int64(4), cell.EstimatedInFlight())
}

// Guards against an older report that arrives late and replaces a newer one.
func TestOlderReportIsDropped(t *testing.T) {
	cell := NewEndpoint(Member{})
	require.True(t, cell.UpdateLoadReport(LoadReport{InFlight: 9, Sequence: 2}))
	require.False(t, cell.UpdateLoadReport(LoadReport{InFlight: 0, Sequence: 1}))
	require.Equal(t, int64(9), cell.EstimatedInFlight())
}

// Guards against counting this entry's own calls twice, once in the report and
// once as sent.
func TestOwnCallsCountOnce(t *testing.T) {
	cell := NewEndpoint(Member{})
	cell.CallStarted()
	cell.CallStarted()
	cell.UpdateLoadReport(LoadReport{InFlight: 5, Sequence: 1})
	require.Equal(t, int64(5), cell.EstimatedInFlight())
	cell.CallStarted()
	require.Equal(t, int64(6), cell.EstimatedInFlight())
	cell.CallEnded()
	cell.CallEnded()
	require.Equal(t, int64(4), cell.EstimatedInFlight())
}

// Guards against a changed member record that loses the calls in flight.
func TestChangedRecordKeepsCallsInFlight(t *testing.T) {
	old := NewEndpoint(Member{Instance: "a", Slots: 10})
	old.CallStarted()
	changed := old.WithMember(Member{Instance: "a", Slots: 20})
	require.Equal(t, int64(1), changed.OwnInFlight())
	old.CallEnded()
	require.Zero(t, changed.OwnInFlight())
}

// Guards against failures that are forgotten at once or held forever.
func TestFailureShareFades(t *testing.T) {
	cell := NewEndpoint(Member{})
	now := time.Unix(1000, 0)
	for range 40 {
		cell.ObserveOutcome(true, now)
	}
	require.InDelta(t, 1, cell.FailureRatio(now), 0.01)
	require.InDelta(t, 0.5, cell.FailureRatio(now.Add(failureHalfLife)), 0.01)
	for range 40 {
		cell.ObserveOutcome(false, now)
	}
	require.Less(t, cell.FailureRatio(now), 0.02)
}

// Guards against two trials of one half-open breaker.
func TestBreakerHandsOutOneTrial(t *testing.T) {
	gate := &Breaker{State: BreakerHalfOpen}
	taken := make(chan bool, 16)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() { taken <- gate.AcquireTrial() })
	}
	group.Wait()
	close(taken)
	count := 0
	for t := range taken {
		if t {
			count++
		}
	}
	require.Equal(t, 1, count)
	require.False(t, (&Breaker{State: BreakerOpen}).AcquireTrial())
}
