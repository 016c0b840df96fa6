package nesting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Calls of callers must not be taken for nested calls: they would be served before all
// others. The shares are those of services with 7, 24, 36 and 57 of about 70 nodes.
func TestCallsOfCallersAreNotTakenForNestedOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, share := range []float64{0.1, 0.36, 0.54, 0.77} {
		mistaken, seen := 0, 0
		for range 2000 {
			o := Origins{Share: share}
			for range 60 {
				if random.Float64() < share {
					o.Same++
				} else {
					o.Other++
				}
				seen++
				if MadeByServers(o) {
					mistaken++
				}
			}
		}
		require.Less(t, float64(mistaken)/float64(seen), 0.001, "share %.2f", share)
	}
}

// Nested calls must be recognised within the first second of a heavy day, and stay so
// when an operator sends a few of them from elsewhere.
func TestNestedCallsAreRecognised(t *testing.T) {
	require.True(t, MadeByServers(Origins{Same: 10, Share: 0.36}))
	require.True(t, MadeByServers(Origins{Same: 36, Share: 0.77}))
	require.True(t, MadeByServers(Origins{Same: 200, Other: 3, Share: 0.36}))
	require.False(t, MadeByServers(Origins{Same: 200, Other: 30, Share: 0.36}))
	require.False(t, MadeByServers(Origins{Same: 3, Share: 0.36}))
	require.False(t, MadeByServers(Origins{Same: 1000, Share: 1}), "all nodes run beside one service")
}

// A nested call that misses the objective of its rule still lets its parent answer in
// time; refusing it loses the work of the parent.
func TestNestedCallsMayUseTheirDeadline(t *testing.T) {
	now := time.Unix(0, 0)
	require.Equal(t, now.Add(400*time.Millisecond), Objective(true, now.Add(150*time.Millisecond), now.Add(400*time.Millisecond)))
	require.Equal(t, now.Add(150*time.Millisecond), Objective(false, now.Add(150*time.Millisecond), now.Add(400*time.Millisecond)))
	require.Equal(t, now.Add(150*time.Millisecond), Objective(true, now.Add(150*time.Millisecond), now.Add(100*time.Millisecond)))
}
