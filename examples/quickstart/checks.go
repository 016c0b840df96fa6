package main

import (
	"fmt"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/standin/executionlog"
)

// check is one verdict; an empty problem means that it passed.
type check struct {
	name    string
	problem string
}

// runChecks judges a run by what the clients saw and by the execution log.
func runChecks(f *fleet, r *results, executions []executionlog.Execution) []check {
	runs, all := countRuns(executions), r.all()
	return []check{
		checkAtMostOnce(f, all, runs),
		checkOutcomes(all, runs),
		checkAnswers(all),
		checkServed(r),
		checkDrain(r),
		checkChildren(f),
	}
}

// countRuns counts the executions of each call.
func countRuns(executions []executionlog.Execution) map[string]int {
	runs := map[string]int{}
	for _, e := range executions {
		runs[e.Nonce]++
	}
	return runs
}

// spread counts bookings by the number of their executions.
type spread struct{ none, one, more int }

func executionsPerBooking(f *fleet, all []Result, runs map[string]int) spread {
	var s spread
	counted := map[string]bool{}
	for _, r := range all {
		if r.Kind != f.site.Booking || counted[r.Nonce] {
			continue
		}
		counted[r.Nonce] = true
		switch runs[r.Nonce] {
		case 0:
			s.none++
		case 1:
			s.one++
		default:
			s.more++
		}
	}
	return s
}

// checkAtMostOnce finds bookings that ran more than once.
func checkAtMostOnce(f *fleet, all []Result, runs map[string]int) check {
	s := executionsPerBooking(f, all, runs)
	c := check{name: fmt.Sprintf("each %s ran at most once", f.site.Booking)}
	if s.more > 0 {
		c.problem = fmt.Sprintf("%d ran more than once", s.more)
	}
	if s == (spread{}) {
		c.problem = "no booking was sent"
	}
	return c
}

// checkOutcomes compares what callers of non-idempotent calls were told with
// the execution log. A key that was repeated is judged by its last answer.
func checkOutcomes(all []Result, runs map[string]int) check {
	c := check{name: "non-idempotent calls: succeeded means run, not-run means not run"}
	last := map[string]Result{}
	for _, r := range all {
		if r.Method == http.MethodPost {
			last[r.Nonce] = r
		}
	}
	wrong := 0
	for nonce, r := range last {
		ran := runs[nonce] > 0
		if r.Outcome == board.OutcomeSucceeded.String() && !ran || r.Outcome == board.OutcomeNotRun.String() && ran {
			wrong++
			c.problem = fmt.Sprintf("%d wrong, such as %s with outcome %s and %d executions", wrong, nonce, r.Outcome, runs[nonce])
		}
	}
	return c
}

// checkAnswers finds answers that belong to another request.
func checkAnswers(all []Result) check {
	whole, wrong := 0, 0
	c := check{}
	for _, r := range all {
		if r.Outcome == board.OutcomeSucceeded.String() {
			whole++
		}
		if r.Mismatch != "" {
			wrong++
			c.problem = fmt.Sprintf("%d do not, such as: %s", wrong, r.Mismatch)
		}
	}
	c.name = fmt.Sprintf("%d answers match their requests", whole)
	return c
}

// checkServed finds kinds of calls of which none succeeded in a phase, so that
// a run without traffic does not pass.
func checkServed(r *results) check {
	c := check{name: "each kind of call succeeded in each phase"}
	expected := kinds(r.direct)
	if len(expected) == 0 {
		c.problem = "no call was sent"
	}
	for _, p := range r.measured() {
		for _, kind := range expected {
			if len(latencies(p.results, kind)) == 0 {
				c.problem = fmt.Sprintf("no %s succeeded in phase %s", kind, p.name)
			}
		}
	}
	return c
}

// checkDrain finds calls that reached the drained server after the limit.
func checkDrain(r *results) check {
	c := check{name: fmt.Sprintf("no call at %s later than %v after its drain", r.drained.name, drainLimit)}
	if r.afterDrain > 0 {
		c.problem = fmt.Sprintf("%d calls", r.afterDrain)
	}
	return c
}

// checkChildren finds processes that ended without being asked to.
func checkChildren(f *fleet) check {
	c := check{name: "no process ended by itself"}
	if dead := f.firstDead(); dead != nil {
		c.problem = fmt.Sprintf("%s ended, see %s", dead.name, dead.log.Name())
	}
	return c
}
