// Package admission decides how many calls run at once at an executor, which
// calls wait for a slot and which are refused.
package admission

import "time"

// Window sums up the calls that ended in one interval.
type Window struct {
	Calls, Shed int
	// Median is the median service time of the successes, 0 without any.
	Median time.Duration
	// PeakInFlight is the most calls that ran at once.
	PeakInFlight uint32
}

// State is the adaptive limit between two windows.
type State struct {
	Limit float64
	// Baseline is the median service time that the limit is compared with.
	Baseline time.Duration
	// SlowWindows counts the slow windows in a row.
	SlowWindows int
}

// Constants of the limit. They are additive increase, multiplicative decrease
// with a tolerance wide enough for the swings of a shared host.
const (
	// overloadLatencyRatio is the ratio of median to baseline from which a busy server
	// counts as overloaded. Noisy neighbours alone change the median of 100 ms up
	// to threefold.
	overloadLatencyRatio = 4
	slowDecrease         = 0.9
	// slowWindowsToDecrease is how many windows in a row must be slow. A shorter slowness
	// is a pause of the host, which a lower limit would only make worse.
	slowWindowsToDecrease = 5
	// shedThreshold is the share of calls shed by the server itself that lowers the
	// limit.
	shedThreshold = 0.1
	shedDecrease  = 0.8
	// busyThreshold of the limit must have been in use before it is changed.
	busyThreshold = 0.8
	// minLimitShare of the announced slots is always kept.
	minLimitShare = 0.25
	// initialLimitShare of the announced slots is open to a server that starts cold.
	initialLimitShare = 0.5
	// baselineDivisor is the divisor of the moving average of medians: it follows
	// a lasting change in some 50 windows.
	baselineDivisor = 50
)

// InitialState returns the state for a server that has just announced its slots.
func InitialState(slots uint32) State { return State{Limit: max(1, initialLimitShare*float64(slots))} }

// Next returns the state after a window. The announced slots are the ceiling:
// calls beyond them would only wait inside the server, out of reach of
// priorities and deadlines.
func Next(s State, w Window, slots uint32) State {
	ceiling := max(1, float64(slots))
	floor := max(1, minLimitShare*ceiling)
	s.Baseline = nextBaseline(s.Baseline, w.Median)
	busy := float64(w.PeakInFlight) >= busyThreshold*min(s.Limit, ceiling)
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
		s.Limit += max(1, ceiling/10)
	}
	s.Limit = min(max(s.Limit, floor), ceiling)
	return s
}

func nextBaseline(baseline, median time.Duration) time.Duration {
	switch {
	case median == 0:
		return baseline
	case baseline == 0:
		return median
	}
	return baseline + (median-baseline)/baselineDivisor
}
