// Package concurrency decides how many calls a backend server runs at once.
// Some servers slow down when they are nearly full, so that they finish more
// calls with fewer at once. All functions are pure.
package concurrency

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// HighLoadShare is the share of slots above which a server counts as nearly
	// full.
	HighLoadShare = 0.8
	// contentionRatio is the ratio of the work of nearly full to that of calm times
	// from which a limit is set. With a fifth of the slots left empty, a server
	// finishes as many calls at 1/KneeShare, and each of them sooner.
	contentionRatio = 1.2
	// minSamples is the number of calls of each kind that a verdict needs.
	minSamples = 30
	// sampleWeight is the weight of a call in the moving averages.
	sampleWeight = 0.05
	// decisionTTL is how long a verdict holds.
	decisionTTL = 60 * time.Second
)

// State is what is known about a server. The zero value knows nothing and, as
// long as no other server of the service has a verdict, keeps below KneeShare
// until the work of calm times is known; then all slots are tried, and the
// verdict holds for a while.
type State struct {
	lowLoad, highLoad average
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
	// RelativeTime is its work relative to the usual work of its rule beside few calls.
	RelativeTime float64
	// Running is the number of calls that ran beside it, itself included.
	Running int
	Slots   int
	// MaxSlowdown is the greatest slowdown of the host meanwhile.
	MaxSlowdown float64
}

// maxNormalSlowdown is the slowdown up to which a host counts as being at its usual
// speed. Calls pile up on slow hosts, so that the work of slow times would be
// put down to the number of calls.
const maxNormalSlowdown = 1.5

// HostSlow reports whether the host was too slow for the call to count.
func (s Sample) HostSlow() bool { return s.MaxSlowdown > maxNormalSlowdown }

// LowLoad reports whether the call ran beside few others.
func (s Sample) LowLoad() bool { return float64(s.Running) <= HighLoadShare*float64(s.Slots) }

// Next returns the state after a call.
func Next(s State, sample Sample, now time.Time) State {
	if sample.HostSlow() {
		return s
	}
	if sample.LowLoad() {
		s.lowLoad = s.lowLoad.add(sample.RelativeTime)
	} else {
		s.highLoad = s.highLoad.add(sample.RelativeTime)
	}
	switch {
	case now.Before(s.decidedUntil):
	case !s.decidedUntil.IsZero():
		s = State{}
	case s.highLoad.samples >= minSamples && s.lowLoad.samples >= minSamples:
		s.limited = s.highLoad.value > contentionRatio*s.lowLoad.value
		s.decidedUntil = now.Add(decisionTTL)
	}
	return s
}

// Limit returns the number of calls that may run at once. Common is what other
// servers of the service have shown.
func (s State) Limit(slots int, common board.Contention, now time.Time) int {
	below := s.lowLoad.samples < minSamples && common != board.ContentionNone
	if now.Before(s.decidedUntil) {
		below = s.limited
	}
	if below {
		return max(1, int(HighLoadShare*float64(slots)))
	}
	return max(1, slots)
}

// HighToLowLoadRatio returns the work of nearly full relative to that of calm times, 0 when
// it is not known.
func (s State) HighToLowLoadRatio() float64 {
	if s.lowLoad.value == 0 || s.highLoad.samples == 0 {
		return 0
	}
	return s.highLoad.value / s.lowLoad.value
}

// Contention returns the verdict as nodes tell it to each other.
func (s State) Contention() board.Contention {
	switch {
	case s.decidedUntil.IsZero():
		return board.ContentionUnknown
	case s.limited:
		return board.ContentionSlowdown
	}
	return board.ContentionNone
}

// MajorityDecision returns the verdict of most servers of a service. Single verdicts may
// be wrong.
func MajorityDecision(records []board.NodeRecord, service string) board.Contention {
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
