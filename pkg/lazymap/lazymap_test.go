package lazymap

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against counts that are lost because two goroutines create a value of their own
// for the same key, and against lookups that create values.
func TestValueIsSharedByAllGoroutines(t *testing.T) {
	var m Map[string, atomic.Int64]
	require.Nil(t, m.Find("a"))
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() { m.Get("a").Add(1) })
	}
	group.Wait()
	require.EqualValues(t, 50, m.Find("a").Load())
	count := 0
	for key, value := range m.All {
		require.Equal(t, "a", key)
		require.Same(t, m.Get("a"), value)
		count++
	}
	require.Equal(t, 1, count)
}
