package board

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a memory that grows with the calls, and against one that loses the
// latest of them.
func TestCompletedRequestsKeepTheLatest(t *testing.T) {
	var c CompletedRequests
	start := time.Unix(1000, 0)
	var adders sync.WaitGroup
	for g := range 4 {
		adders.Go(func() {
			for i := range completedRequestSlots {
				c.Add(CompletedRequest{Digest: fmt.Sprint(g, i), At: start})
			}
		})
	}
	adders.Wait()
	require.LessOrEqual(t, len(c.Since(time.Time{})), completedRequestSlots)
	for i := range completedRequestSlots / 2 {
		c.Add(CompletedRequest{Digest: fmt.Sprint("late", i), ServerIncarnation: 7, At: start.Add(time.Second)})
	}
	recent := c.Since(start)
	require.Len(t, recent, completedRequestSlots/2)
	require.EqualValues(t, 7, recent["late0"].ServerIncarnation)
	require.Empty(t, c.Since(start.Add(time.Second)))
}
