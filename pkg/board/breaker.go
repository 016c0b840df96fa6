package board

import (
	"sync/atomic"
	"time"
)

// BreakerState is the state of the circuit breaker of one instance.
type BreakerState uint8

// Circuit breaker states.
const (
	// BreakerClosed allows all calls.
	BreakerClosed BreakerState = iota
	// BreakerOpen allows no calls.
	BreakerOpen
	// BreakerHalfOpen allows a single trial call.
	BreakerHalfOpen
)

var breakerStateNames = [...]string{"closed", "open", "half-open"}

// String returns the name used in logs and status output.
func (s BreakerState) String() string {
	if int(s) < len(breakerStateNames) {
		return breakerStateNames[s]
	}
	return "invalid"
}

// Breaker is the circuit breaker of one instance in one state. The breaker
// controller publishes a new Breaker for each change of state.
type Breaker struct {
	State BreakerState
	// Since is the time of the change to this state.
	Since time.Time

	trialTaken atomic.Bool
}

// AcquireTrial reports whether the calling goroutine may send the single trial
// call of a half-open breaker. Only the first call returns true.
func (b *Breaker) AcquireTrial() bool {
	return b.State == BreakerHalfOpen && b.trialTaken.CompareAndSwap(false, true)
}

// TrialTaken reports whether the trial call was acquired.
func (b *Breaker) TrialTaken() bool { return b.trialTaken.Load() }

// Breakers holds the breakers that are not closed.
type Breakers struct {
	ByInstance map[InstanceID]*Breaker
}

// State returns the state of the breaker of an instance.
func (b *Breakers) State(id InstanceID) BreakerState {
	if breaker := b.ByInstance[id]; breaker != nil {
		return breaker.State
	}
	return BreakerClosed
}
