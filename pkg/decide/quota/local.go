package quota

import "time"

// LocalDecision is the decision on a request for which a node holds no grant.
type LocalDecision uint8

// Local decisions.
const (
	// Wait means that the request waits for the reply of the lender.
	Wait LocalDecision = iota
	// UseFallback means that the node applies its Fallback.
	UseFallback
	// Refuse means that the customer is over its quota.
	Refuse
)

// Local is what a node knows about a customer for which it holds no grant.
type Local struct {
	// RefuseUntil is the end of the time for which the lender has denied requests.
	RefuseUntil time.Duration
	// FallbackFrom is when no lender may use the part of the node any longer.
	FallbackFrom time.Duration
	// Silent is set if the last reports got no reply.
	Silent bool
	// Waited is how long the request has waited.
	Waited time.Duration
}

// MaxWait is the longest time for which a request waits for a grant. A reply takes
// about 10 ms between failure domains; a lost one is noticed after 100 ms.
const MaxWait = 350 * time.Millisecond

// DecideLocally decides on a request without a grant.
func DecideLocally(l Local, now time.Duration) LocalDecision {
	switch {
	case now >= l.FallbackFrom:
		return UseFallback
	case now < l.RefuseUntil, l.Silent, l.Waited >= MaxWait:
		return Refuse
	}
	return Wait
}

// unansweredRetryAfter is the Retry-After of a request for which no lender replied. A
// node finds another lender within this time.
const unansweredRetryAfter = 300 * time.Millisecond

// RetryAfterDenial returns the Retry-After of a request that a node refuses, given what
// the lender said.
func RetryAfterDenial(retryAt, now time.Duration) time.Duration {
	if retryAt <= now {
		return unansweredRetryAfter
	}
	return max(minRetryAfter, retryAt-now)
}
