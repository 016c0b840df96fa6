package main

import (
	"fmt"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/standin/executionlog"
)

// checkResult is the result of one check. It passed if failure is empty.
type checkResult struct {
	name    string
	failure string
}

// runChecks checks the results of the clients against the execution log.
func runChecks(f *fleet, r *results, executions []executionlog.Execution) []checkResult {
	executionsByNonce, all := countExecutions(executions), r.all()
	return []checkResult{
		checkAtMostOnce(f, all, executionsByNonce),
		checkReportedOutcomes(all, executionsByNonce),
		checkResponses(all),
		checkSuccessPerKind(r),
		checkDrain(r),
		checkProcesses(f),
	}
}

// countExecutions returns the number of executions of each call by its nonce.
func countExecutions(executions []executionlog.Execution) map[string]int {
	executionsByNonce := map[string]int{}
	for _, e := range executions {
		executionsByNonce[e.Nonce]++
	}
	return executionsByNonce
}

// bookingCounts counts bookings by the number of their executions.
type bookingCounts struct{ notExecuted, executedOnce, executedMoreThanOnce int }

// countBookings counts each booking once, however often it was sent.
func countBookings(f *fleet, all []Result, executionsByNonce map[string]int) bookingCounts {
	var counts bookingCounts
	counted := map[string]bool{}
	for _, r := range all {
		if r.Kind != f.site.BookingKind || counted[r.Nonce] {
			continue
		}
		counted[r.Nonce] = true
		switch executionsByNonce[r.Nonce] {
		case 0:
			counts.notExecuted++
		case 1:
			counts.executedOnce++
		default:
			counts.executedMoreThanOnce++
		}
	}
	return counts
}

// checkAtMostOnce fails if a booking was executed more than once.
func checkAtMostOnce(f *fleet, all []Result, executionsByNonce map[string]int) checkResult {
	counts := countBookings(f, all, executionsByNonce)
	c := checkResult{name: fmt.Sprintf("each %s ran at most once", f.site.BookingKind)}
	if counts.executedMoreThanOnce > 0 {
		c.failure = fmt.Sprintf("%d ran more than once", counts.executedMoreThanOnce)
	}
	if counts == (bookingCounts{}) {
		c.failure = "no booking was sent"
	}
	return c
}

// checkReportedOutcomes compares the outcomes of non-idempotent calls that were
// reported to callers with the execution log. If a call was repeated with the same
// idempotency key, its last response counts.
func checkReportedOutcomes(all []Result, executionsByNonce map[string]int) checkResult {
	c := checkResult{name: "non-idempotent calls: succeeded means run, not-run means not run"}
	lastResults := map[string]Result{}
	for _, r := range all {
		if r.Method == http.MethodPost {
			lastResults[r.Nonce] = r
		}
	}
	violations := 0
	for nonce, r := range lastResults {
		executed := executionsByNonce[nonce] > 0
		if r.Outcome == board.OutcomeSucceeded.String() && !executed || r.Outcome == board.OutcomeNotRun.String() && executed {
			violations++
			c.failure = fmt.Sprintf("%d wrong, such as %s with outcome %s and %d executions", violations, nonce, r.Outcome, executionsByNonce[nonce])
		}
	}
	return c
}

// checkResponses fails if a caller received the response to another request.
func checkResponses(all []Result) checkResult {
	succeeded, mismatched := 0, 0
	c := checkResult{}
	for _, r := range all {
		if r.Outcome == board.OutcomeSucceeded.String() {
			succeeded++
		}
		if r.Mismatch != "" {
			mismatched++
			c.failure = fmt.Sprintf("%d do not, such as: %s", mismatched, r.Mismatch)
		}
	}
	c.name = fmt.Sprintf("%d answers match their requests", succeeded)
	return c
}

// checkSuccessPerKind fails if no call of a kind succeeded in a phase, so that a
// run without traffic does not pass.
func checkSuccessPerKind(r *results) checkResult {
	c := checkResult{name: "each kind of call succeeded in each phase"}
	expected := callKinds(r.direct)
	if len(expected) == 0 {
		c.failure = "no call was sent"
	}
	for _, p := range r.measuredPhases() {
		for _, kind := range expected {
			if len(succeededLatencies(p.results, kind)) == 0 {
				c.failure = fmt.Sprintf("no %s succeeded in phase %s", kind, p.name)
			}
		}
	}
	return c
}

// checkDrain fails if the drained server completed calls after drainTimeLimit.
func checkDrain(r *results) checkResult {
	c := checkResult{name: fmt.Sprintf("no call at %s later than %v after its drain", r.drained.name, drainTimeLimit)}
	if r.completedAfterDrain > 0 {
		c.failure = fmt.Sprintf("%d calls", r.completedAfterDrain)
	}
	return c
}

// checkProcesses fails if a process exited unexpectedly.
func checkProcesses(f *fleet) checkResult {
	c := checkResult{name: "no process ended by itself"}
	if exited := f.firstUnexpectedExit(); exited != nil {
		c.failure = fmt.Sprintf("%s exited unexpectedly, see %s", exited.name, exited.logFile.Name())
	}
	return c
}
