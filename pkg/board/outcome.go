package board

// Outcome is the result of a call as far as it is known.
type Outcome uint8

// Call outcomes.
const (
	// OutcomeNone means that the call has not ended.
	OutcomeNone Outcome = iota
	// OutcomeSucceeded means that a complete response arrived with a status
	// below 500.
	OutcomeSucceeded
	// OutcomeNotRun means that the backend server provably did not start the
	// call.
	OutcomeNotRun
	// OutcomeFailed means that a complete response arrived with a status of 500
	// or above.
	OutcomeFailed
	// OutcomeUnknown means that the call may or may not have run.
	OutcomeUnknown
)

var outcomeNames = [...]string{"none", "succeeded", "not-run", "failed", "unknown"}

// String returns the value of the Mangostand-Outcome header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// OutcomeNames returns the names of all outcomes, ordered by value.
func OutcomeNames() []string { return outcomeNames[:] }
