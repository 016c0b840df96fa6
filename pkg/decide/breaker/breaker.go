// Package breaker decides when the breaker of an instance opens, tries again
// and closes. It classifies answers before they are counted.
package breaker

import (
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Class is what a call says about the health of its instance.
type Class uint8

// Classes of calls.
const (
	// Neutral calls say nothing, such as calls that the caller cancelled.
	Neutral Class = iota
	// Success is an answer of a healthy instance, other 4xx included.
	Success
	// Failure is a transport failure, a reset, a timeout, 408, 429 or 5xx.
	Failure
	// Rejection is a refusal of a loaded executor: load, not failure.
	Rejection
)

// Classify returns the class of a call.
func Classify(outcome board.Outcome, reason board.Reason, status int) Class {
	switch outcome {
	case board.OutcomeSucceeded:
		if status == http.StatusRequestTimeout || status == http.StatusTooManyRequests {
			return Failure
		}
		return Success
	case board.OutcomeFailed:
		return Failure
	case board.OutcomeNotRun:
		return classifyNotRun(reason)
	case board.OutcomeUnknown:
		if reason == board.ReasonCanceledByCaller || reason == board.ReasonKeyExpired {
			return Neutral
		}
		return Failure
	}
	return Neutral
}

func classifyNotRun(reason board.Reason) Class {
	switch reason {
	case board.ReasonExecutorUnreachable, board.ReasonBackendDown:
		return Failure
	case board.ReasonOverloaded, board.ReasonShedByPriority:
		return Rejection
	}
	return Neutral
}

// Counts are the outcome counters of an instance since its start.
type Counts struct {
	Successes, Failures uint64
}

// Since returns the calls between two readings.
func (c Counts) Since(earlier Counts) Counts {
	return Counts{Successes: c.Successes - earlier.Successes, Failures: c.Failures - earlier.Failures}
}

// trialTimeout ends a trial that brought no answer, for example because its
// caller went away; the next call is then the trial.
const trialTimeout = 2 * time.Second

// Next returns the state that follows. For a closed breaker, calls are those
// of the recent window; otherwise they are those since the state began.
func Next(state board.BreakerState, age time.Duration, calls Counts, trialTaken bool, p dynconf.Breaker) board.BreakerState {
	switch state {
	case board.BreakerClosed:
		if shouldOpen(calls, p) {
			return board.BreakerOpen
		}
	case board.BreakerOpen:
		if age >= p.OpenFor {
			return board.BreakerHalfOpen
		}
	case board.BreakerHalfOpen:
		return afterTrial(calls, trialTaken)
	}
	return state
}

func shouldOpen(calls Counts, p dynconf.Breaker) bool {
	total := calls.Successes + calls.Failures
	if total == 0 || total < uint64(p.MinCalls) {
		return false
	}
	return float64(calls.Failures) >= p.FailureRatio*float64(total)
}

func afterTrial(calls Counts, trialTaken bool) board.BreakerState {
	switch {
	case calls.Failures > 0:
		return board.BreakerOpen
	case calls.Successes > 0 && trialTaken:
		return board.BreakerClosed
	}
	return board.BreakerHalfOpen
}

// TrialTimedOut reports whether a half-open state must offer a new trial because
// the one that was taken brought no answer.
func TrialTimedOut(age time.Duration, calls Counts, trialTaken bool) bool {
	return trialTaken && calls == Counts{} && age >= trialTimeout
}
