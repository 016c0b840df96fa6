// Package breaker decides when the circuit breaker of an instance opens,
// becomes half-open and closes. It classifies calls before they are counted.
package breaker

import (
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Class says what the result of a call means for the health of its instance.
type Class uint8

// Classes of calls.
const (
	// Neutral calls say nothing about the instance, such as calls canceled by
	// the caller.
	Neutral Class = iota
	// Success is a response of a healthy instance, including 4xx other than
	// 408 and 429.
	Success
	// Failure is a transport failure, a reset, a timeout, 408, 429 or 5xx.
	Failure
	// Rejection is a refusal by an overloaded executor, which is not a
	// failure.
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

// classifyNotRun returns the class of a call that did not run.
func classifyNotRun(reason board.Reason) Class {
	switch reason {
	case board.ReasonExecutorUnreachable, board.ReasonBackendDown:
		return Failure
	case board.ReasonOverloaded, board.ReasonShedByPriority:
		return Rejection
	}
	return Neutral
}

// Counts holds the outcome counters of an instance since its start.
type Counts struct {
	Successes, Failures uint64
}

// Since returns the calls counted since an earlier reading.
func (c Counts) Since(earlier Counts) Counts {
	return Counts{Successes: c.Successes - earlier.Successes, Failures: c.Failures - earlier.Failures}
}

// trialTimeout is the time after which a trial call without an outcome is given
// up, for example when its caller canceled it. The next call is then the trial.
const trialTimeout = 2 * time.Second

// Next returns the next state of a breaker. For a closed breaker the counts
// are those of the recent window, otherwise those since the state began.
func Next(state board.BreakerState, age time.Duration, counts Counts, trialTaken bool, config dynconf.Breaker) board.BreakerState {
	switch state {
	case board.BreakerClosed:
		if shouldOpen(counts, config) {
			return board.BreakerOpen
		}
	case board.BreakerOpen:
		if age >= config.OpenDuration {
			return board.BreakerHalfOpen
		}
	case board.BreakerHalfOpen:
		return afterTrial(counts, trialTaken)
	}
	return state
}

// shouldOpen reports whether there are enough calls and enough of them failed.
func shouldOpen(counts Counts, config dynconf.Breaker) bool {
	total := counts.Successes + counts.Failures
	if total == 0 || total < uint64(config.MinCalls) {
		return false
	}
	return float64(counts.Failures) >= config.FailureRatioThreshold*float64(total)
}

// afterTrial returns the next state of a half-open breaker. Successes from
// before the trial was taken do not close it.
func afterTrial(counts Counts, trialTaken bool) board.BreakerState {
	switch {
	case counts.Failures > 0:
		return board.BreakerOpen
	case counts.Successes > 0 && trialTaken:
		return board.BreakerClosed
	}
	return board.BreakerHalfOpen
}

// TrialTimedOut reports whether a half-open breaker must admit a new trial
// call because the previous one has no outcome yet.
func TrialTimedOut(age time.Duration, counts Counts, trialTaken bool) bool {
	return trialTaken && counts == Counts{} && age >= trialTimeout
}
