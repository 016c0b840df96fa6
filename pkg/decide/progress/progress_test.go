package progress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a response that has stopped and is never ended, against one that
// trickles without end, and against one that flows, is paced, or has a caller who reads
// slowly, and is ended.
func TestStalled(t *testing.T) {
	const seconds = 20
	perCheck := func(bytesPerSecond float64) int64 { return int64(bytesPerSecond * CheckInterval.Seconds()) }
	for name, c := range map[string]struct {
		// bytes returns what arrives before the check with a number.
		bytes   func(check int) int64
		waiting func(check int) bool
		stalled bool
	}{
		"silent":                         {func(int) int64 { return 0 }, nil, true},
		"10 kB/s":                        {func(int) int64 { return perCheck(10_000) }, nil, true},
		"a byte each check":              {func(int) int64 { return 1 }, nil, true},
		"10 kB each second":              {func(n int) int64 { return int64(n%17/16) * 10_000 }, nil, true},
		"an eightieth of 10 Mbit/s":      {func(int) int64 { return perCheck(0.95 * 1e7 / 8 / 80) }, nil, false},
		"10 Mbit/s":                      {func(int) int64 { return perCheck(0.95 * 1e7 / 8) }, nil, false},
		"200 Mbit/s":                     {func(int) int64 { return perCheck(0.95 * 2e8 / 8) }, nil, false},
		"a piece after each lost packet": {func(n int) int64 { return int64(n%4/3) * 4096 }, nil, false},
		"paced: not waiting":             {func(int) int64 { return 0 }, func(int) bool { return false }, false},
		"paced: pieces, seldom waiting":  {func(n int) int64 { return int64(n%10/9) * 4096 }, func(n int) bool { return n%5 == 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			var m Meter
			stalled := false
			for check := range int(seconds * time.Second / CheckInterval) {
				waiting := c.waiting == nil || c.waiting(check)
				m = m.Observe(CheckInterval, c.bytes(check), waiting)
				stalled = stalled || m.Stalled()
			}
			require.Equal(t, c.stalled, stalled)
		})
	}
}

// Guards against a bound that ends a stopped response later than half a second after
// its deadline, which is what the platform allows, with time left for the way to the
// caller.
func TestStoppedResponseEndsInTime(t *testing.T) {
	const allowed, toCaller = 500 * time.Millisecond, 100 * time.Millisecond
	var m Meter
	waited := CheckInterval // The response may stop right after a check.
	for ; !m.Stalled(); waited += CheckInterval {
		m = m.Observe(CheckInterval, 0, true)
	}
	require.LessOrEqual(t, waited, allowed-toCaller)
}
