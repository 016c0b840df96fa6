package board

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an in-flight estimate that becomes negative or drifts when calls
// run concurrently and their load reports arrive out of order.
func TestInFlightEstimateIsNeverNegativeAndDoesNotDrift(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	endpoint := NewEndpoint(Member{Instance: "a"})
	var callers sync.WaitGroup
	stop := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if endpoint.EstimatedInFlight() < 0 || endpoint.OwnInFlight() < 0 {
				t.Error("negative estimate")
				return
			}
		}
	})
	for worker := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(worker)))
		callers.Go(func() {
			for range 2000 {
				endpoint.CallStarted()
				endpoint.UpdateLoadReport(LoadReport{InFlight: random.Uint32N(9), Sequence: random.Uint64N(5000) + 1})
				endpoint.CallEnded()
			}
		})
	}
	callers.Wait()
	close(stop)
	reader.Wait()
	require.Zero(t, endpoint.OwnInFlight())
	require.True(t, endpoint.UpdateLoadReport(LoadReport{InFlight: 3, Queued: 1, Sequence: 6000}))
	require.Equal(t, int64(4), endpoint.EstimatedInFlight())
}

// Guards against an older load report that arrives late and replaces a newer one.
func TestOlderLoadReportIsIgnored(t *testing.T) {
	endpoint := NewEndpoint(Member{})
	require.True(t, endpoint.UpdateLoadReport(LoadReport{InFlight: 9, Sequence: 2}))
	require.False(t, endpoint.UpdateLoadReport(LoadReport{InFlight: 0, Sequence: 1}))
	require.Equal(t, int64(9), endpoint.EstimatedInFlight())
}

// Guards against counting the calls of this entry twice, in the load report and
// as its own calls in flight.
func TestOwnCallsAreCountedOnce(t *testing.T) {
	endpoint := NewEndpoint(Member{})
	endpoint.CallStarted()
	endpoint.CallStarted()
	endpoint.UpdateLoadReport(LoadReport{InFlight: 5, Sequence: 1})
	require.Equal(t, int64(5), endpoint.EstimatedInFlight())
	endpoint.CallStarted()
	require.Equal(t, int64(6), endpoint.EstimatedInFlight())
	endpoint.CallEnded()
	endpoint.CallEnded()
	require.Equal(t, int64(4), endpoint.EstimatedInFlight())
}

// Guards against losing the calls in flight when a member record changes.
func TestChangedRecordKeepsCallsInFlight(t *testing.T) {
	old := NewEndpoint(Member{Instance: "a", Slots: 10})
	old.CallStarted()
	changed := old.WithMember(Member{Instance: "a", Slots: 20})
	require.Equal(t, int64(1), changed.OwnInFlight())
	old.CallEnded()
	require.Zero(t, changed.OwnInFlight())
}

// Guards against failures that are forgotten at once or never.
func TestFailureRatioDecays(t *testing.T) {
	endpoint := NewEndpoint(Member{})
	now := time.Unix(1000, 0)
	for range 40 {
		endpoint.ObserveOutcome(true, now)
	}
	require.InDelta(t, 1, endpoint.FailureRatio(now), 0.01)
	require.InDelta(t, 0.5, endpoint.FailureRatio(now.Add(failureHalfLife)), 0.01)
	for range 40 {
		endpoint.ObserveOutcome(false, now)
	}
	require.Less(t, endpoint.FailureRatio(now), 0.02)
}

// Guards against more than one trial call of a half-open breaker when goroutines
// compete for it.
func TestHalfOpenBreakerAllowsOneTrial(t *testing.T) {
	breaker := &Breaker{State: BreakerHalfOpen}
	acquired := make(chan bool, 16)
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() { acquired <- breaker.AcquireTrial() })
	}
	callers.Wait()
	close(acquired)
	count := 0
	for t := range acquired {
		if t {
			count++
		}
	}
	require.Equal(t, 1, count)
	require.False(t, (&Breaker{State: BreakerOpen}).AcquireTrial())
}
