package board

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against lost counts under contention, and against callers that fill
// the memory of a node by changing their name.
func TestRetiredIsBoundedAndCountsAll(t *testing.T) {
	var retired RetiredTraffic
	const callers, calls = 2 * maxRetiredRows, 4
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			for i := range callers {
				retired.CountRefusal(RetiredTrafficKey{Caller: strings.Repeat("x", 2*maxCallerLength-10*(i%2)) + strconv.Itoa(i), Service: "a"}, time.Now())
				retired.CountRefusal(RetiredTrafficKey{Caller: strconv.Itoa(i), Service: "a"}, time.Now())
			}
		})
	}
	wg.Wait()
	rows := retired.Rows()
	require.LessOrEqual(t, len(rows), maxRetiredRows)
	total := uint64(0)
	for _, row := range rows {
		require.LessOrEqual(t, len(row.Caller), maxCallerLength)
		total += row.Refused
	}
	require.EqualValues(t, 2*callers*calls, total)
}
