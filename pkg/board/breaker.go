package board

import (
	"sync/atomic"
	"time"
)

// BreakerState is the state of the breaker of one instance.
type BreakerState uint8

// States of a breaker.
const (
	// BreakerClosed lets all calls pass.
	BreakerClosed BreakerState = iota
	// BreakerOpen lets no call pass.
	BreakerOpen
	// BreakerHalfOpen lets a single trial pass.
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

// Breaker is one state of one breaker. The breaker controller publishes a
// new gate for each change of state.
type Breaker struct {
	State BreakerState
	// Since is when the state began.
	Since time.Time

	trial atomic.Bool
}

// AcquireTrial reports whether the caller may send the one trial of a half-open
// breaker. Any goroutine may call it; one of them gets true.
func (g *Breaker) AcquireTrial() bool {
	return g.State == BreakerHalfOpen && g.trial.CompareAndSwap(false, true)
}

// TrialTaken reports whether the trial was handed out.
func (g *Breaker) TrialTaken() bool { return g.trial.Load() }

// Breakers holds the gates of the instances whose breaker is not closed.
type Breakers struct {
	ByInstance map[InstanceID]*Breaker
}

// State returns the state of an instance's breaker.
func (b *Breakers) State(id InstanceID) BreakerState {
	if g := b.ByInstance[id]; g != nil {
		return g.State
	}
	return BreakerClosed
}
