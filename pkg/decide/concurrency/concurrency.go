// Package concurrency decides how many calls a backend server runs at once.
// Some servers slow down when they are nearly full, so that they finish more
// calls with fewer at once. All functions are pure.
package concurrency

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// KneeShare is the share of slots above which a server counts as nearly
	// full.
	KneeShare = 0.8
	// kneeRatio is the ratio of the work of nearly full to that of calm times
	// from which a limit is set. With a fifth of the slots left empty, a server
	// finishes as many calls at 1/KneeShare, and each of them sooner.
	kneeRatio = 1.2
	// leastSamples is the number of calls of each kind that a verdict needs.
	leastSamples = 30
	// sampleWeight is the weight of a call in the moving averages.
	sampleWeight = 0.05
	// verdictTime is how long a verdict holds.
	verdictTime = 60 * time.Second
)

// State is what is known about a server. The zero value knows nothing and, as
// long as no other server of the service has a verdict, keeps below KneeShare
// until the work of calm times is known; then all slots are tried, and the
// verdict holds for a while.
type State struct {
	calm, full average
	// limited is the verdict, until its end; decidedUntil is zero before the
	// first one.
	limited      bool
	decidedUntil time.Time
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
	// Ratio is its work relative to the usual work of its rule beside few calls.
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

// Disturbed reports whether the host was too slow for the call to count.
func (s Sample) Disturbed() bool { return s.MostSlowdown > usualSpeed }

// Calm reports whether the call ran beside few others.
func (s Sample) Calm() bool { return float64(s.Running) <= KneeShare*float64(s.Slots) }

// Next returns the state after a call.
func Next(s State, sample Sample, now time.Time) State {
	if sample.Disturbed() {
		return s
	}
	if sample.Calm() {
		s.calm = s.calm.add(sample.Ratio)
	} else {
		s.full = s.full.add(sample.Ratio)
	}
	switch {
	case now.Before(s.decidedUntil):
	case !s.decidedUntil.IsZero():
		s = State{}
	case s.full.samples >= leastSamples && s.calm.samples >= leastSamples:
		s.limited = s.full.value > kneeRatio*s.calm.value
		s.decidedUntil = now.Add(verdictTime)
	}
	return s
}

// Limit returns the number of calls that may run at once. Common is what other
// servers of the service have shown.
func (s State) Limit(slots int, common board.Contention, now time.Time) int {
	below := s.calm.samples < leastSamples && common != board.ContentionNone
	if now.Before(s.decidedUntil) {
		below = s.limited
	}
	if below {
		return max(1, int(KneeShare*float64(slots)))
	}
	return max(1, slots)
}

// Ratio returns the work of nearly full relative to that of calm times, 0 when
// it is not known.
func (s State) Ratio() float64 {
	if s.calm.value == 0 || s.full.samples == 0 {
		return 0
	}
	return s.full.value / s.calm.value
}

// Crowding returns the verdict as nodes tell it to each other.
func (s State) Crowding() board.Contention {
	switch {
	case s.decidedUntil.IsZero():
		return board.ContentionUnknown
	case s.limited:
		return board.ContentionSlowdown
	}
	return board.ContentionNone
}

// Common returns the verdict of most servers of a service. Single verdicts may
// be wrong.
func Common(records []board.NodeRecord, service string) board.Contention {
	var count [3]int
	for _, r := range records {
		if r.Service == service && r.Contention <= board.ContentionSlowdown {
			count[r.Contention]++
		}
	}
	switch {
	case count[board.ContentionNone] > count[board.ContentionSlowdown]:
		return board.ContentionNone
	case count[board.ContentionSlowdown] > 0:
		return board.ContentionSlowdown
	}
	return board.ContentionUnknown
}

// Decided reports whether a verdict holds.
func (s State) Decided(now time.Time) bool { return now.Before(s.decidedUntil) }
