// Package attempts decides whether a call may be sent once more. All functions
// are pure.
package attempts

import "mangostand.example/mangostand/pkg/board"

// Limit bounds the additional attempts of one node for a service in a window.
type Limit struct {
	// Ratio is the number of additional attempts per call.
	Ratio float64
	// Slack is the number that is allowed besides.
	Slack float64
}

// Cause is why a call is to be sent once more.
type Cause uint8

// Causes, the most useful one first.
const (
	// Rejected: a backend server said that it did not run the call, so that no
	// work is lost.
	Rejected Cause = iota
	// Slow: the executor expects to miss the objective and another one does not.
	Slow
	// Lost: no answer came, or a broken one.
	Lost
	// Failed: the backend server answered with a failure.
	Failed
)

// budgetShares are the parts of the limit that a cause may use up, so that less
// useful attempts leave room for more useful ones.
var budgetShares = [...]float64{Rejected: 1, Slow: 0.85, Lost: 0.85, Failed: 0.6}

// maxCallsPerExecution bounds the calls that one run is taken to make at another service.
const maxCallsPerExecution = 2

// Charge returns what one more attempt for a service spends in the window of
// each service, and whether the limits allow it. The runs of a repeated call
// make their calls again, and those count at the services that they go to.
// Which service calls which is not known here, so that each is taken to be
// called as often as its share of the calls allows.
func Charge(service string, counts []board.AttemptCounts, limit Limit, cause Cause) (map[string]float64, bool) {
	own := 0.0
	for _, c := range counts {
		if c.Service == service {
			own = c.Calls
		}
	}
	spending := map[string]float64{service: 1}
	for _, c := range counts {
		spend := 1.0
		if c.Service != service {
			if own == 0 || c.Calls == 0 {
				continue
			}
			spend = min(maxCallsPerExecution, c.Calls/own)
		}
		if c.AdditionalAttempts+spend > budgetShares[cause]*(limit.Ratio*c.Calls+limit.Slack) {
			return nil, false
		}
		spending[c.Service] = spend
	}
	return spending, true
}

// outlierMargin is the distance in failure share to the other backend servers
// beyond which a backend server counts as the cause of its failures.
const outlierMargin = 0.08

// IsOutlier reports whether a failure that a backend server answered is worth
// another attempt: its own share of failures stands out. When all of them fail,
// something behind them does, and a repetition makes its load worse.
func IsOutlier(own float64, others []float64) bool {
	if len(others) == 0 {
		return false
	}
	sum := 0.0
	for _, share := range others {
		sum += share
	}
	return own > sum/float64(len(others))+outlierMargin
}
