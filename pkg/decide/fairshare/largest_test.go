package fairshare

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against counters that are renamed while they count, and against one series
// for each of many customers.
func TestNamedCustomers(t *testing.T) {
	named := Named(nil, []Usage{{"a", time.Second}, {"b", 2 * time.Second}, {"idle", 0}})
	require.Equal(t, []string{"b", "a"}, named)
	for round := range 10 {
		var usage []Usage
		for i := range 100 {
			usage = append(usage, Usage{strconv.Itoa(100*round + i), time.Duration(i) * time.Second})
		}
		next := Named(named, usage)
		require.Equal(t, named, next[:len(named)])
		require.LessOrEqual(t, len(next), min(len(named)+maxLargest, maxNamed))
		named = next
	}
	require.Len(t, named, maxNamed)
}
