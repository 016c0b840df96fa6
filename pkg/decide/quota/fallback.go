package quota

import (
	"math"
	"time"

	"mangostand.example/mangostand/pkg/decide/hashing"
)

// Fallback is the limit of a node that no lender serves: an equal part of the rate. Its
// requests become available one by one, at times that differ between nodes, and each
// one is void after a lifetime. So the requests of all nodes together stay within the
// bound, also if the part of a node is less than one request per window.
type Fallback struct {
	// Interval is the time between two requests.
	Interval time.Duration
	// Lifetime is how long an unused request remains available.
	Lifetime time.Duration
}

// NewFallback returns the limit for a fleet size.
func NewFallback(rate, capacity float64, fleetSize int) Fallback {
	if rate <= 0 {
		return Fallback{}
	}
	interval := min(float64(fleetSize)/rate, maxFallbackInterval.Seconds())
	return Fallback{
		Interval: max(1, time.Duration(interval*float64(time.Second))),
		Lifetime: time.Duration(min(capacity/rate, maxFallbackInterval.Seconds()) * float64(time.Second)),
	}
}

// maxFallbackInterval bounds the times of a fallback, so that they fit a Duration.
const maxFallbackInterval = 24 * time.Hour

// Phase returns a time for Next to begin with. The rank of the node among all nodes
// spreads these times evenly over the interval, and the customer shifts them.
func (f Fallback) Phase(rank, fleetSize int, customer string) time.Duration {
	shift := float64(hashing.String(customer)>>11) / (1 << 53)
	_, phase := math.Modf(float64(rank)/float64(max(1, fleetSize)) + shift)
	return time.Duration(phase * float64(f.Interval))
}

// Next returns whether a request is admitted and when the next one becomes available,
// given when the next one was to become available and since when the fallback applies.
func (f Fallback) Next(availableAt, since, now time.Duration) (time.Duration, bool) {
	if f.Interval <= 0 {
		return availableAt, false
	}
	if late := max(since, now-f.Lifetime) - availableAt; late > 0 {
		availableAt += time.Duration(math.Ceil(float64(late)/float64(f.Interval))) * f.Interval
	}
	if availableAt > now {
		return availableAt, false
	}
	return availableAt + f.Interval, true
}
