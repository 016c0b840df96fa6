// Package locality decides what share of the calls of a node leaves its failure
// domain, and which endpoint gets a call. All functions are pure.
package locality

import "time"

const (
	// DefaultTimePerMB is the time that a megabyte between failure domains is worth
	// unless the operator sets another value. A response of 90 kB then has to save
	// 225 ms, which leaves weight to the latency objective.
	DefaultTimePerMB = 2500 * time.Millisecond
	// bytesPerMB is the size to which the setting refers.
	bytesPerMB = 1_000_000
	// firstOfferShare is the cost of the first offer of a call to another failure
	// domain as a share of its nominal time. The headers of each offer and each
	// response cross as well, and the load of the own domain is known better. A
	// larger share makes the domain a subset, whose callers suffer when it is busier
	// than others.
	firstOfferShare = 0.15
)

// Traffic describes a call as far as it matters for the cost of sending it to
// another failure domain.
type Traffic struct {
	// Nominal is the service time of the call at normal speed.
	Nominal time.Duration
	// RequestBytes is the size of the request body, which counts only for calls of
	// rules with large requests; ResponseBytes is the expected size of the response.
	RequestBytes, ResponseBytes int64
	// FirstOffer is set until an executor has been offered the call.
	FirstOffer bool
	// CallerLoad is the share of the slots in use at the backend server that waits for
	// the response in one of its slots, 0 if the caller holds no slot.
	CallerLoad float64
}

// Cost returns the time that an endpoint of another failure domain has to save to be
// preferred, besides the network latency. After a first offer that did not lead to a
// response the domain is likely to be busier than others, and only the bytes count.
// While a call holds a slot of its caller, each millisecond of its response time also
// takes a millisecond of that slot, which delays the caller's other calls by as much
// as its slots are in use. Time is then worth more than at other callers, and the
// same bytes are worth less of it.
func Cost(t Traffic, timePerMB time.Duration) time.Duration {
	cost := time.Duration(float64(t.RequestBytes+t.ResponseBytes) * float64(timePerMB) / bytesPerMB)
	if t.FirstOffer {
		cost += time.Duration(firstOfferShare * float64(t.Nominal))
	}
	if t.CallerLoad > 0 {
		cost = time.Duration(float64(cost) / (1 + min(1, t.CallerLoad)))
	}
	return cost
}

const (
	// SameDomainLatency is the network latency of one way between nodes of a failure
	// domain. DefaultCrossLatency is the one between domains until it is measured.
	SameDomainLatency   = 200 * time.Microsecond
	DefaultCrossLatency = 1100 * time.Microsecond
	// maxCrossLatency bounds what a measurement can say, since a paused node answers
	// late. It is far above the latency between regions.
	maxCrossLatency = time.Second
)

// Latency returns the latency of one way to assume for a call to another failure
// domain, so that twice the latency is what the network adds to its response time.
// The body of a call is sent only after the executor has taken the call, so that a
// call takes two round trips, and a whole round trip counts as one way. Arguments are
// the shortest round trips to nodes of that domain and of the own one, 0 when there is
// none. They include the work of both nodes, which is about the same in both domains
// and therefore cancels out.
func Latency(roundTrip, ownRoundTrip time.Duration) time.Duration {
	switch {
	case roundTrip <= 0:
		return DefaultCrossLatency
	case ownRoundTrip <= 0:
		return min(roundTrip, maxCrossLatency)
	}
	return min(SameDomainLatency+max(0, roundTrip-ownRoundTrip), maxCrossLatency)
}

// roundTripWindow is the time after which a shortest round trip is measured anew, so
// that a changed route is noticed. A node exchanges with each other domain several
// times in it.
const roundTripWindow = 30 * time.Second

// ShortestRoundTrip tracks the shortest round trip over the last one to two windows.
// The shortest one is least affected by waits at either node. The zero value has no
// measurement.
type ShortestRoundTrip struct {
	windowStart       time.Time
	current, previous time.Duration
}

// Changes reports whether Add would change the tracker.
func (s ShortestRoundTrip) Changes(roundTrip time.Duration, now time.Time) bool {
	return s.current <= 0 || roundTrip < s.current || now.Sub(s.windowStart) >= roundTripWindow
}

// Add returns the tracker after a measurement.
func (s ShortestRoundTrip) Add(roundTrip time.Duration, now time.Time) ShortestRoundTrip {
	switch age := now.Sub(s.windowStart); {
	case roundTrip <= 0:
		return s
	case s.current <= 0 || age >= 2*roundTripWindow:
		return ShortestRoundTrip{windowStart: now, current: roundTrip}
	case age >= roundTripWindow:
		return ShortestRoundTrip{windowStart: now, current: roundTrip, previous: s.current}
	}
	s.current = min(s.current, roundTrip)
	return s
}

// Value returns the shortest round trip, 0 when there is none.
func (s ShortestRoundTrip) Value() time.Duration {
	if s.previous > 0 {
		return min(s.previous, s.current)
	}
	return s.current
}
