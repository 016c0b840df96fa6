// Package concurrency decides how many calls a backend server runs at once.
// Some servers suffer from contention when most of their slots are in use, so
// that they finish more calls with fewer at once. All functions are pure.
package concurrency

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hashing"
)

const (
	// HighLoadShare is the share of slots in use above which a server is under
	// high load.
	HighLoadShare = 0.8
	// contentionRatio is the ratio of service times under high load to those
	// under low load from which the concurrency is limited. With a fifth of
	// the slots left empty, a server finishes as many calls at a ratio of
	// 1/HighLoadShare, and each of them sooner.
	contentionRatio = 1.2
	// minSamples is the number of calls under each load that a decision needs.
	minSamples = 30
	// sampleWeight is the weight of a call in the moving averages.
	sampleWeight = 0.05
	// decisionTTL is how long a decision holds.
	decisionTTL = 60 * time.Second
)

// State is what is known about a server. It goes through a cycle. The zero value has
// no samples and uses all slots, unless most other servers of the service show
// contention: where nothing is known, a fifth of the slots is worth more than what
// contention costs until the decision. Once there are enough samples under high load,
// some servers limit the concurrency to HighLoadShare to sample low load, if low load
// has not come by itself. The decision that follows holds for decisionTTL, after which the state
// starts again from zero.
type State struct {
	lowLoad, highLoad average
	// limited is the decision, which holds until decidedUntil. Before the
	// first decision decidedUntil is zero.
	limited      bool
	decidedUntil time.Time
}

// average is a moving average. The first samples have equal weights.
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

// Sample is one finished call.
type Sample struct {
	// RelativeTime is its service time at normal speed relative to the mean of
	// its rule under low load.
	RelativeTime float64
	// Running is the number of calls that ran at the same time, including this
	// one.
	Running int
	Slots   int
	// MaxSlowdown is the greatest slowdown of the host during the call.
	MaxSlowdown float64
}

// maxNormalSlowdown is the slowdown up to which a host counts as being at
// normal speed. Calls accumulate on slow hosts, so the effect of the host
// would be attributed to the load.
const maxNormalSlowdown = 1.5

// HostSlow reports whether the host was too slow for the call to count.
func (s Sample) HostSlow() bool { return s.MaxSlowdown > maxNormalSlowdown }

// LowLoad reports whether the call ran under low load.
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

// samplerShare is the divisor for the share of the servers of a service that sample low
// load on purpose. minSamplers is the number of servers below which all of them do.
const (
	samplerShare = 4
	minSamplers  = 8
)

// SamplesLowLoad reports whether a server is one of those that sample low load on
// purpose. Their majority decides for the others, which keep all slots in use.
func SamplesLowLoad(instance board.InstanceID, servers int) bool {
	return servers < minSamplers || hashing.String(string(instance))%samplerShare == 0
}

// Limit returns the number of calls that may run at once. The majority is the decision
// of most servers of the service, sampler the result of SamplesLowLoad.
func (s State) Limit(slots int, majority board.Contention, sampler bool, now time.Time) int {
	var reduced bool
	switch {
	case now.Before(s.decidedUntil):
		reduced = s.limited
	case s.lowLoad.samples >= minSamples:
	case majority == board.ContentionUnknown:
		reduced = sampler && s.highLoad.samples >= minSamples
	default:
		reduced = majority == board.ContentionSlowdown
	}
	if reduced {
		return max(1, int(HighLoadShare*float64(slots)))
	}
	return max(1, slots)
}

// HighToLowLoadRatio returns the ratio of service times under high load to
// those under low load, 0 when it is not known.
func (s State) HighToLowLoadRatio() float64 {
	if s.lowLoad.value == 0 || s.highLoad.samples == 0 {
		return 0
	}
	return s.highLoad.value / s.lowLoad.value
}

// Contention returns the decision in the form that nodes exchange.
func (s State) Contention() board.Contention {
	switch {
	case s.decidedUntil.IsZero():
		return board.ContentionUnknown
	case s.limited:
		return board.ContentionSlowdown
	}
	return board.ContentionNone
}

// MajorityDecision returns the decision of most servers of a service, because
// the decision of a single server may be wrong.
func MajorityDecision(records []board.NodeRecord, service string) board.Contention {
	var counts [3]int
	for _, r := range records {
		if r.Service == service && r.Contention <= board.ContentionSlowdown {
			counts[r.Contention]++
		}
	}
	switch {
	case counts[board.ContentionNone] > counts[board.ContentionSlowdown]:
		return board.ContentionNone
	case counts[board.ContentionSlowdown] > 0:
		return board.ContentionSlowdown
	}
	return board.ContentionUnknown
}

// Decided reports whether a decision holds.
func (s State) Decided(now time.Time) bool { return now.Before(s.decidedUntil) }
