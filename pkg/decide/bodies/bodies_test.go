package bodies

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a bound that does not follow from the memory limit.
func TestBound(t *testing.T) {
	require.EqualValues(t, 0, Bound(0, 0))
	require.EqualValues(t, 142<<20, Bound(0, 284))
	require.EqualValues(t, 7<<20, Bound(7, 284))
}

// Guards against large bodies that leave no room for small ones, and against an
// overflow at sizes that a caller makes up.
func TestAccept(t *testing.T) {
	const bound = 1600
	for _, c := range []struct {
		size, held, bound int64
		want              bool
	}{
		{1 << 62, 1 << 62, 0, true},
		{1500, 0, bound, true},
		{1501, 0, bound, false},
		{1600, 0, bound, false},
		{10, 1500, bound, true},
		{50, 1500, bound, true},
		{51, 1500, bound, false},
		{1, 1600, bound, false},
		{1<<63 - 1, 0, bound, false},
		{1<<63 - 1, 1600, bound, false},
	} {
		require.Equal(t, c.want, Accept(c.size, c.held, c.bound), "%+v", c)
	}
}
