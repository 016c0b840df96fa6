package board

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bodies beyond the bound, and against released bodies that are counted
// as free before their memory is, or as held for ever.
func TestHeldBodiesStayWithinTheBound(t *testing.T) {
	const size = 1 << 20
	b := NewHeldBodies(10 * size)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 100 {
				if b.Reserve(size) {
					if held := b.Held(); held > b.Bound {
						t.Errorf("%d bytes held", held)
					}
					b.Release(size)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(t, b.Held())
	require.True(t, b.Reserve(9*size))
	require.False(t, b.Reserve(size))
	require.True(t, b.Reserve(4<<10))
	b.Release(9 * size)
	require.True(t, b.Reserve(9*size))
}
