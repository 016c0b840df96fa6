package board

// Outcome is what is known about a call when it ends.
type Outcome uint8

// Outcomes of a call.
const (
	// OutcomeNone is the outcome of a call that has not ended.
	OutcomeNone Outcome = iota
	// OutcomeSucceeded: the whole answer arrived with a status below 500.
	OutcomeSucceeded
	// OutcomeNotRun: it is proven that the backend server did not start it.
	OutcomeNotRun
	// OutcomeFailed: the whole answer arrived with a status of 500 or above.
	OutcomeFailed
	// OutcomeUnknown: there is no proof that the call ran or did not run.
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

// OutcomeNames returns the names of all outcomes in the order of their numbers.
func OutcomeNames() []string { return outcomeNames[:] }
