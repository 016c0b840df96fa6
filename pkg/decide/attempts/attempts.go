// Package attempts decides whether a call may be sent again, by retry or
// hedge. All functions are pure.
package attempts

import "mangostand.example/mangostand/pkg/board"

// Limit is the budget of additional attempts that one node may make for a
// service within a time window.
type Limit struct {
	// Ratio is the allowed number of additional attempts per call.
	Ratio float64
	// Slack is the number that is allowed on top of the ratio.
	Slack float64
}

// Cause is the reason for an additional attempt.
type Cause uint8

// Causes, ordered by how useful another attempt is, the most useful first.
const (
	// Rejected: the backend server reported that it did not run the call, so
	// that no work is lost.
	Rejected Cause = iota
	// Slow: the executor expects to miss the objective, and another one is
	// expected to meet it.
	Slow
	// Lost: no response arrived, or a broken one.
	Lost
	// Failed: the backend server answered with an error.
	Failed
)

// budgetShares holds the share of the limit up to which attempts for each cause
// are allowed, so that less useful attempts leave room for more useful ones.
var budgetShares = [...]float64{Rejected: 1, Slow: 0.85, Lost: 0.85, Failed: 0.6}

// maxCallsPerExecution bounds the number of nested calls that one execution is
// assumed to make at another service.
const maxCallsPerExecution = 2

// Charge returns what one more attempt for a service costs in the window of
// each service, and whether the limits allow it. A repeated execution repeats
// its nested calls, which count at the services that they go to. The call
// graph is not known here, so each other service is assumed to be called as
// often per call as the ratio of the call counts suggests.
func Charge(service string, counts []board.AttemptCounts, limit Limit, cause Cause) (map[string]float64, bool) {
	ownCalls := 0.0
	for _, c := range counts {
		if c.Service == service {
			ownCalls = c.Calls
		}
	}
	charges := map[string]float64{service: 1}
	for _, c := range counts {
		charge := 1.0
		if c.Service != service {
			if ownCalls == 0 || c.Calls == 0 {
				continue
			}
			charge = min(maxCallsPerExecution, c.Calls/ownCalls)
		}
		if c.AdditionalAttempts+charge > budgetShares[cause]*(limit.Ratio*c.Calls+limit.Slack) {
			return nil, false
		}
		charges[c.Service] = charge
	}
	return charges, true
}

// outlierMargin is how far the failure ratio of a backend server must exceed
// the mean of the others for it to count as an outlier, that is, to fail for a
// cause of its own.
const outlierMargin = 0.08

// IsOutlier reports whether the failure ratio of a backend server stands out
// from that of the others, so that another attempt elsewhere is worthwhile.
// When all of them fail, the cause is a shared dependency, and retries add to
// its load.
func IsOutlier(own float64, others []float64) bool {
	if len(others) == 0 {
		return false
	}
	sum := 0.0
	for _, ratio := range others {
		sum += ratio
	}
	return own > sum/float64(len(others))+outlierMargin
}
