package board

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against service that is lost when calls end concurrently, and against a
// customer that is charged for the calls of others.
func TestCustomerServiceCountsConcurrentCalls(t *testing.T) {
	now := time.Now()
	s := NewCustomerService(now)
	names := []string{"a", "b", "c", ""}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i, name := range names {
				for range 1000 {
					s.Add(s.ID(name), time.Duration(i+1)*time.Millisecond, now)
				}
			}
		})
	}
	wg.Wait()
	for i, name := range names[:3] {
		require.InDelta(t, 8*float64(i+1), s.Received(s.ID(name), now).Seconds(), 0.01)
	}
	require.Zero(t, s.Received(s.ID("d"), now))
	keyless, customers := s.ByClass(now)
	require.InDelta(t, 32, keyless.Seconds(), 0.05)
	require.InDelta(t, 48, customers.Seconds(), 0.05)
	require.Zero(t, s.ID(""))
	require.NotZero(t, s.ID("a"))
}
