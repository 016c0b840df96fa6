package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/metrics"
)

// Guards against a limit that does not adapt to finished calls, or that keeps
// the history of an earlier incarnation of the backend server.
func TestLimitAdaptsToCallsAndResetsOnRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New("self")
		local := b.LocalServer.Claim("test")
		c := New(b, metrics.NewNoopTrafficMetrics(1))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		announce := func(incarnation uint64) {
			local.Publish(&board.LocalServer{Announced: true, Slots: 10, Incarnation: incarnation})
			synctest.Wait()
		}
		runCalls := func(call board.FinishedCall) uint32 {
			for range 30 {
				for range 5 {
					b.FinishedCalls.Post(call)
				}
				time.Sleep(interval)
			}
			synctest.Wait()
			return b.Admission.Load().ConcurrencyLimit
		}
		announce(1)
		require.Equal(t, uint32(5), b.Admission.Load().ConcurrencyLimit)
		normal := board.FinishedCall{ServiceTime: 10 * time.Millisecond, Succeeded: true, InFlight: 10, ServerIncarnation: 1}
		require.Equal(t, uint32(10), runCalls(normal))
		require.Equal(t, 20, b.Admission.Load().MaxQueueLength)
		shed := normal
		shed.Shed, shed.Succeeded = true, false
		require.Equal(t, uint32(2), runCalls(shed))
		announce(2)
		require.Equal(t, uint32(5), b.Admission.Load().ConcurrencyLimit)
		require.Equal(t, uint32(5), runCalls(shed), "calls of the earlier incarnation do not count")
	})
}
