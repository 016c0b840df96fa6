// Package estimate predicts when a call would be finished at a backend server
// whose host changes its speed within milliseconds. All functions are pure.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MeanTimeToSpeedChange is how long a host keeps its speed on average from a random
	// moment on. Hosts with noisy neighbours change about every 500 ms.
	MeanTimeToSpeedChange = 250 * time.Millisecond
	// SpeedDecay is the age at which a reported speed says little: two periods
	// of SpeedHold.
	SpeedDecay = 2 * MeanTimeToSpeedChange
	// MinSlowdownDecay is the age at which a reported floor says little. Backend
	// servers are cold or slow for seconds.
	MinSlowdownDecay = 1500 * time.Millisecond
	// MeanSlowdown is the slowdown to assume where none is known. A host that
	// is slowed sevenfold for a quarter of the time has about this mean.
	MeanSlowdown = 1.3
)

// Speed is how fast a backend server works. The zero value is an unknown speed.
type Speed struct {
	// Slowdown is how long work takes now relative to the usual time.
	Slowdown float64
	// MinSlowdown is the least slowdown lately: that of the backend server itself,
	// while its host is not disturbed. Up to 1 is usual.
	MinSlowdown float64
}

// LongTermSlowdown returns the slowdown to expect in the long run.
func (s Speed) LongTermSlowdown() float64 { return MeanSlowdown * max(1, s.MinSlowdown) }

// CurrentSlowdown returns the slowdown now.
func (s Speed) CurrentSlowdown() float64 {
	if s.Slowdown <= 0 {
		return s.LongTermSlowdown()
	}
	return s.Slowdown
}

// Decayed returns the speed to expect when a report of it has the age and backend
// servers of its service have a floor in common, see CommonFloor.
func (s Speed) Decayed(age time.Duration, common float64) Speed {
	common = max(1, common)
	aged := Speed{MinSlowdown: common + (max(1, s.MinSlowdown)-common)*decay(age, MinSlowdownDecay)}
	if s.Slowdown > 0 {
		settled := aged.LongTermSlowdown()
		aged.Slowdown = settled + (s.Slowdown-settled)*decay(age, SpeedDecay)
	}
	return aged
}

// MinSlowdownReport is a reported floor and the age of its report.
type MinSlowdownReport struct {
	MinSlowdown float64
	Age         time.Duration
}

// priorWeight is the weight of the assumption that backend servers work at
// their usual speed, in fresh reports. Two reports that say otherwise outweigh it.
const priorWeight = 1.5

// TypicalMinSlowdown returns the floor to expect where none is known: the median of
// the known ones by the trust in their age. After a loss of power all backend
// servers are cold at once.
func TypicalMinSlowdown(known []MinSlowdownReport) float64 {
	sorted := slices.SortedFunc(slices.Values(known), func(a, b MinSlowdownReport) int { return cmp.Compare(a.MinSlowdown, b.MinSlowdown) })
	weights := make([]float64, len(sorted))
	total := priorWeight
	for i, k := range sorted {
		weights[i] = decay(k.Age, MinSlowdownDecay)
		total += weights[i]
	}
	sum := priorWeight
	floor := 1.0
	for i := 0; 2*sum < total; i++ {
		sum += weights[i]
		floor = max(1, sorted[i].MinSlowdown)
	}
	return floor
}

func decay(age, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(memory))
}

// ServiceTime returns how long work of the usual time takes when it starts at the
// speed and the host changes its own after SpeedHold.
func (s Speed) ServiceTime(usual time.Duration) time.Duration {
	slowdown := s.CurrentSlowdown()
	stretched := time.Duration(float64(usual) * slowdown)
	if stretched <= MeanTimeToSpeedChange {
		return stretched
	}
	done := time.Duration(float64(MeanTimeToSpeedChange) / slowdown)
	return MeanTimeToSpeedChange + time.Duration(float64(usual-done)*s.LongTermSlowdown())
}

// minFilterWindow is the time over which the floor is taken. It is longer than
// hosts with noisy neighbours keep a speed.
const minFilterWindow = 600 * time.Millisecond

// MinFilter follows the least slowdown of the last one to two windows. The zero
// value has seen nothing.
type MinFilter struct {
	firstReport, windowStart time.Time
	currentMin, previousMin  float64
}

// Add returns the floor after a report.
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

// Value returns the floor, and assumes no more than most until it has seen a
// whole window.
func (f MinFilter) Value(most float64, now time.Time) float64 {
	value := f.currentMin
	if f.previousMin > 0 {
		value = min(value, f.previousMin)
	}
	if now.Sub(f.firstReport) < minFilterWindow {
		value = min(value, most)
	}
	return value
}

// Load is the load of a backend server as it is known at some moment.
type Load struct {
	// Running and Waiting count its calls, Slots those it runs at once.
	Running, Waiting, Slots int
	Speed
	// MeanServiceTime is the mean time of its calls at usual speed.
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

// ResponseTime returns how long a new call takes from its arrival to its answer.
func ResponseTime(l Load, usual time.Duration) time.Duration {
	return QueueWait(l) + l.ServiceTime(usual)
}
