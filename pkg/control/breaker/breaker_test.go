package breaker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/metrics"
)

// Guards against a server that fails fast for more than 1 s before its breaker
// opens, and against a breaker that does not close after a successful trial
// call or that outlives the incarnation of its instance.
func TestBreakerOpensWithinOneSecondAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New("self")
		endpoint := board.NewEndpoint(board.Member{Instance: "a"})
		table := b.Endpoints.Claim("test")
		table.Publish(&board.EndpointTable{ByInstance: map[board.InstanceID]*board.Endpoint{"a": endpoint}})
		c := New(b, metrics.NewNoopTrafficMetrics(1), zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		state := func() board.BreakerState { return b.Breakers.Load().State("a") }
		time.Sleep(time.Second)
		endpoint.Successes.Add(100)
		time.Sleep(time.Second)
		require.Equal(t, board.BreakerClosed, state())

		failingSince := time.Now()
		for state() == board.BreakerClosed && time.Since(failingSince) < 5*time.Second {
			endpoint.Failures.Add(1)
			time.Sleep(20 * time.Millisecond)
		}
		require.Less(t, time.Since(failingSince), time.Second)
		require.Equal(t, board.BreakerOpen, state())

		time.Sleep(b.Config.Load().Breaker.OpenDuration + 2*sampleInterval)
		require.Equal(t, board.BreakerHalfOpen, state())
		require.True(t, b.Breakers.Load().ByInstance["a"].AcquireTrial())
		endpoint.Failures.Add(1)
		time.Sleep(2 * sampleInterval)
		require.Equal(t, board.BreakerOpen, state())

		time.Sleep(b.Config.Load().Breaker.OpenDuration + 2*sampleInterval)
		require.True(t, b.Breakers.Load().ByInstance["a"].AcquireTrial())
		time.Sleep(3 * time.Second)
		require.True(t, b.Breakers.Load().ByInstance["a"].AcquireTrial(), "a trial call without a result is offered again")
		endpoint.Successes.Add(1)
		time.Sleep(2 * sampleInterval)
		require.Equal(t, board.BreakerClosed, state())

		endpoint.Failures.Add(50)
		time.Sleep(2 * sampleInterval)
		require.Equal(t, board.BreakerOpen, state())
		table.Publish(&board.EndpointTable{ByInstance: map[board.InstanceID]*board.Endpoint{"a": board.NewEndpoint(endpoint.Member)}})
		time.Sleep(2 * sampleInterval)
		require.Equal(t, board.BreakerClosed, state(), "a new incarnation starts closed")
	})
}
