// Package concurrency decides how many calls a backend server runs at once.
// Some servers slow down when they are nearly full, so that they finish more
// calls with fewer at once. All functions are pure.
package concurrency

import "time"

const (
	// KneeShare is the share of slots above which a server counts as nearly
	// full.
	KneeShare = 0.8
	// kneeRatio is the ratio of the work of nearly full to that of calm times
	// from which a limit is set. With a fifth of the slots left empty, a server
	// finishes more calls if the ratio is above 1/KneeShare; the rest is the
	// error of the averages.
	kneeRatio = 1.4
	// leastSamples is the number of calls of each kind that a verdict needs.
	leastSamples = 30
	// sampleWeight is the weight of a call in the moving averages.
	sampleWeight = 0.05
	// verdictTime is how long a limit holds before it is tried again.
	verdictTime = 60 * time.Second
)

// State is what is known about a server. The zero value knows nothing.
type State struct {
	calm, full average
	// limitedUntil is the end of a limit.
	limitedUntil time.Time
}

type average struct {
	value   float64
	samples int
}

func (a average) add(sample float64) average {
	a.samples++
	weight := max(sampleWeight, 1/float64(a.samples))
	a.value += weight * (sample - a.value)
	return a
}

// Sample is one call that has ended.
type Sample struct {
	// Ratio is its work relative to the usual work of its rule.
	Ratio float64
	// Running is the number of calls that ran beside it, itself included.
	Running int
	Slots   int
	// MostSlowdown is the greatest slowdown of the host meanwhile.
	MostSlowdown float64
}

// usualSpeed is the slowdown up to which a host counts as being at its usual
// speed. Calls pile up on slow hosts, so that the work of slow times would be
// put down to the number of calls.
const usualSpeed = 1.5

// Next returns the state after a call.
func Next(s State, sample Sample, now time.Time) State {
	if sample.MostSlowdown > usualSpeed {
		return s
	}
	if float64(sample.Running) > KneeShare*float64(sample.Slots) {
		s.full = s.full.add(sample.Ratio)
	} else {
		s.calm = s.calm.add(sample.Ratio)
	}
	if now.Before(s.limitedUntil) || s.full.samples < leastSamples || s.calm.samples < leastSamples {
		return s
	}
	if s.full.value > kneeRatio*s.calm.value {
		s.limitedUntil = now.Add(verdictTime)
		s.full = average{}
	}
	return s
}

// Limit returns the number of calls that may run at once.
func (s State) Limit(slots int, now time.Time) int {
	if now.Before(s.limitedUntil) {
		return max(1, int(KneeShare*float64(slots)))
	}
	return max(1, slots)
}
