// Package estimate predicts the response time of a call at a backend server
// whose host changes its speed within milliseconds. All functions are pure.
//
// The nominal time of a call is its service time on a host at normal speed. A
// slowdown is the ratio of the actual service time to it, so 1 is normal
// speed.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MeanTimeToSpeedChange is the mean time until a host changes its speed,
	// counted from a random moment. Hosts with noisy neighbours change their
	// speed about every 500 ms.
	MeanTimeToSpeedChange = 250 * time.Millisecond
	// SpeedDecay is the time constant with which a reported slowdown loses its
	// weight: two mean times to a change of speed.
	SpeedDecay = 2 * MeanTimeToSpeedChange
	// MinSlowdownDecay is the time constant with which a reported minimum
	// slowdown loses its weight. Backend servers stay cold or slow for
	// seconds.
	MinSlowdownDecay = 1500 * time.Millisecond
	// MeanSlowdown is the slowdown to assume where none is known. A host that
	// is seven times slower for a quarter of the time has about this slowdown
	// over the long run.
	MeanSlowdown = 1.3
)

// Speed describes how fast a backend server works. The zero value is an
// unknown speed.
type Speed struct {
	// Slowdown is the current slowdown, 0 when it is not known.
	Slowdown float64
	// MinSlowdown is the minimum slowdown of the recent past: the slowdown of
	// the backend server itself while its host runs at normal speed. Values up
	// to 1 are normal.
	MinSlowdown float64
}

// LongTermSlowdown returns the slowdown to expect over the long run.
func (s Speed) LongTermSlowdown() float64 { return MeanSlowdown * max(1, s.MinSlowdown) }

// CurrentSlowdown returns the current slowdown, or the long-term one when the
// current one is not known.
func (s Speed) CurrentSlowdown() float64 {
	if s.Slowdown <= 0 {
		return s.LongTermSlowdown()
	}
	return s.Slowdown
}

// Decayed returns the speed to expect now from a report of the given age. As
// the report ages, its minimum slowdown tends to typicalMin, that of the
// servers of the service (see TypicalMinSlowdown), and its slowdown to the
// long-term one.
func (s Speed) Decayed(age time.Duration, typicalMin float64) Speed {
	typicalMin = max(1, typicalMin)
	decayed := Speed{MinSlowdown: typicalMin}
	if difference := max(1, s.MinSlowdown) - typicalMin; difference != 0 {
		decayed.MinSlowdown += difference * decay(age, MinSlowdownDecay)
	}
	if s.Slowdown > 0 {
		longTerm := decayed.LongTermSlowdown()
		decayed.Slowdown = longTerm + (s.Slowdown-longTerm)*decay(age, SpeedDecay)
	}
	return decayed
}

// MinSlowdownReport is a reported minimum slowdown and the age of the report.
type MinSlowdownReport struct {
	MinSlowdown float64
	Age         time.Duration
}

// priorWeight is the weight of the prior assumption that backend servers work
// at normal speed, in fresh reports. Two fresh reports that say otherwise
// outweigh it.
const priorWeight = 1.5

// TypicalMinSlowdown returns the minimum slowdown to assume for a backend
// server without a recent report: the median of the reported values, weighted
// by age, and of the prior assumption. It matters after a power failure, when
// all backend servers are cold at once.
func TypicalMinSlowdown(reports []MinSlowdownReport) float64 {
	aboveNormal := 0
	for _, report := range reports {
		if report.MinSlowdown > 1 {
			aboveNormal++
		}
	}
	if aboveNormal == 0 {
		return 1
	}
	slow := make([]MinSlowdownReport, 0, aboveNormal)
	total, cumulative := priorWeight, priorWeight
	for _, report := range reports {
		weight := decay(report.Age, MinSlowdownDecay)
		total += weight
		if report.MinSlowdown > 1 {
			slow = append(slow, report)
		} else {
			cumulative += weight
		}
	}
	if 2*cumulative >= total {
		return 1
	}
	slices.SortFunc(slow, func(a, b MinSlowdownReport) int { return cmp.Compare(a.MinSlowdown, b.MinSlowdown) })
	median := 1.0
	for i := 0; 2*cumulative < total && i < len(slow); i++ {
		cumulative += decay(slow[i].Age, MinSlowdownDecay)
		median = slow[i].MinSlowdown
	}
	return median
}

// decay returns the weight of a report, which falls exponentially with its
// age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

// ServiceTime returns how long a call with the nominal time takes when it
// starts now. The current slowdown is assumed for MeanTimeToSpeedChange and
// the long-term one after that.
func (s Speed) ServiceTime(nominal time.Duration) time.Duration {
	slowdown := s.CurrentSlowdown()
	stretched := time.Duration(float64(nominal) * slowdown)
	if stretched <= MeanTimeToSpeedChange {
		return stretched
	}
	doneInPeriod := time.Duration(float64(MeanTimeToSpeedChange) / slowdown)
	return MeanTimeToSpeedChange + time.Duration(float64(nominal-doneInPeriod)*s.LongTermSlowdown())
}

// minFilterWindow is the length of a window of MinFilter. A host with noisy
// neighbours keeps one speed for a shorter time, so that a window usually
// includes normal speed.
const minFilterWindow = 600 * time.Millisecond

// MinFilter tracks the minimum slowdown over the last one to two windows. The
// zero value has no reports.
type MinFilter struct {
	firstReport, windowStart time.Time
	currentMin, previousMin  float64
}

// Add returns the filter after a report.
func (f MinFilter) Add(slowdown float64, now time.Time) MinFilter {
	switch {
	case now.Sub(f.windowStart) >= 2*minFilterWindow:
		return MinFilter{firstReport: now, windowStart: now, currentMin: slowdown}
	case now.Sub(f.windowStart) >= minFilterWindow:
		f.windowStart, f.previousMin, f.currentMin = now, f.currentMin, slowdown
	}
	f.currentMin = min(f.currentMin, slowdown)
	return f
}

// Value returns the minimum slowdown. It is at most upperBound until the
// filter has covered a whole window.
func (f MinFilter) Value(upperBound float64, now time.Time) float64 {
	value := f.currentMin
	if f.previousMin > 0 {
		value = min(value, f.previousMin)
	}
	if now.Sub(f.firstReport) < minFilterWindow {
		value = min(value, upperBound)
	}
	return value
}

// Load is the known load of a backend server at some moment.
type Load struct {
	// Running and Waiting count its calls; Slots is the number of calls that
	// it runs at once.
	Running, Waiting, Slots int
	Speed
	// MeanServiceTime is the mean nominal time of its calls.
	MeanServiceTime time.Duration
}

// QueueWait returns how long a new call waits for a slot.
func QueueWait(l Load) time.Duration {
	slots := max(1, l.Slots)
	ahead := l.Running + l.Waiting - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(l.ServiceTime(l.MeanServiceTime)) * float64(ahead) / float64(slots))
}

// ResponseTime returns the time from the arrival of a new call to its
// response.
func ResponseTime(l Load, nominal time.Duration) time.Duration {
	return QueueWait(l) + l.ServiceTime(nominal)
}
