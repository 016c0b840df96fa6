// Package admission decides how many calls run at once at an executor, which
// calls wait for a slot and which are refused.
package admission

import "time"

// Window summarizes the calls that ended in one interval.
type Window struct {
	Calls, Shed int
	// Median is the median service time of the successful calls, 0 without
	// any.
	Median time.Duration
	// PeakInFlight is the largest number of calls that ran at once.
	PeakInFlight uint32
}

// State is the state of the adaptive concurrency limit between two windows.
type State struct {
	Limit float64
	// Baseline is the moving average of median service times that a window is
	// compared with.
	Baseline time.Duration
	// SlowWindows counts the consecutive slow windows.
	SlowWindows int
}

// Parameters of the limit: additive increase and multiplicative decrease, with
// a tolerance wide enough for the varying speed of a shared host.
const (
	// overloadLatencyRatio is the ratio of median to baseline from which a
	// busy server counts as overloaded. Noisy neighbours alone change the
	// median of 100 ms up to threefold.
	overloadLatencyRatio = 4
	slowDecrease         = 0.9
	// slowWindowsToDecrease is the number of consecutive slow windows that
	// lowers the limit. A shorter series is a pause of the host, which a lower
	// limit would only make worse.
	slowWindowsToDecrease = 5
	// shedThreshold is the share of calls shed by the server itself from which
	// the limit is lowered.
	shedThreshold = 0.1
	shedDecrease  = 0.8
	// busyThreshold is the share of the limit that must have been in use for a
	// server to count as busy. The limit of a server that is not busy does not
	// rise, and slow calls do not lower it.
	busyThreshold = 0.8
	// minLimitShare is the share of the announced slots below which the limit
	// never falls.
	minLimitShare = 0.25
	// initialLimitShare is the share of the announced slots that a server
	// starts with, since it may be cold.
	initialLimitShare = 0.5
	// baselineDivisor is the divisor of the moving average of medians, which
	// follows a lasting change within some 50 windows.
	baselineDivisor = 50
)

// InitialState returns the state for a server that has just announced its
// slots.
func InitialState(slots uint32) State { return State{Limit: max(1, initialLimitShare*float64(slots))} }

// Next returns the state after a window. The limit never exceeds the announced
// slots: calls beyond them would only wait inside the server, where priorities
// and deadlines do not apply.
func Next(s State, w Window, slots uint32) State {
	maxLimit := max(1, float64(slots))
	minLimit := max(1, minLimitShare*maxLimit)
	s.Baseline = nextBaseline(s.Baseline, w.Median)
	busy := float64(w.PeakInFlight) >= busyThreshold*min(s.Limit, maxLimit)
	s.SlowWindows++
	if !busy || w.Median <= overloadLatencyRatio*s.Baseline {
		s.SlowWindows = 0
	}
	switch {
	case w.Calls > 0 && float64(w.Shed) >= shedThreshold*float64(w.Calls):
		s.Limit *= shedDecrease
	case s.SlowWindows >= slowWindowsToDecrease:
		s.Limit *= slowDecrease
	case busy:
		s.Limit += max(1, maxLimit/10)
	}
	s.Limit = min(max(s.Limit, minLimit), maxLimit)
	return s
}

// nextBaseline returns the baseline after a window with the median service
// time.
func nextBaseline(baseline, median time.Duration) time.Duration {
	switch {
	case median == 0:
		return baseline
	case baseline == 0:
		return median
	}
	return baseline + (median-baseline)/baselineDivisor
}
