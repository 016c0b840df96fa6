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
	// SpeedHold is how long a host keeps its speed on average from a random
	// moment on. Hosts with noisy neighbours change about every 500 ms.
	SpeedHold = 250 * time.Millisecond
	// SpeedMemory is the age at which a reported speed says little: two periods
	// of SpeedHold.
	SpeedMemory = 2 * SpeedHold
	// FloorMemory is the age at which a reported floor says little. Backend
	// servers are cold or slow for seconds.
	FloorMemory = 1500 * time.Millisecond
	// UsualSlowdown is the slowdown to assume where none is known. A host that
	// is slowed sevenfold for a quarter of the time has about this mean.
	UsualSlowdown = 1.3
)

// Speed is how fast a backend server works. The zero value is an unknown speed.
type Speed struct {
	// Slowdown is how long work takes now relative to the usual time.
	Slowdown float64
	// Floor is the least slowdown lately: that of the backend server itself,
	// while its host is not disturbed. Up to 1 is usual.
	Floor float64
}

// Settled returns the slowdown to expect in the long run.
func (s Speed) Settled() float64 { return UsualSlowdown * max(1, s.Floor) }

// Now returns the slowdown now.
func (s Speed) Now() float64 {
	if s.Slowdown <= 0 {
		return s.Settled()
	}
	return s.Slowdown
}

// Aged returns the speed to expect when a report of it has the age and backend
// servers of its service have a floor in common, see CommonFloor.
func (s Speed) Aged(age time.Duration, common float64) Speed {
	common = max(1, common)
	aged := Speed{Floor: common + (max(1, s.Floor)-common)*trust(age, FloorMemory)}
	if s.Slowdown > 0 {
		settled := aged.Settled()
		aged.Slowdown = settled + (s.Slowdown-settled)*trust(age, SpeedMemory)
	}
	return aged
}

// KnownFloor is a reported floor and the age of its report.
type KnownFloor struct {
	Floor float64
	Age   time.Duration
}

// usualFloorWeight is the weight of the assumption that backend servers work at
// their usual speed, in fresh reports. Two reports that say otherwise outweigh it.
const usualFloorWeight = 1.5

// CommonFloor returns the floor to expect where none is known: the median of
// the known ones by the trust in their age. After a loss of power all backend
// servers are cold at once.
func CommonFloor(known []KnownFloor) float64 {
	sorted := slices.SortedFunc(slices.Values(known), func(a, b KnownFloor) int { return cmp.Compare(a.Floor, b.Floor) })
	weights := make([]float64, len(sorted))
	total := usualFloorWeight
	for i, k := range sorted {
		weights[i] = trust(k.Age, FloorMemory)
		total += weights[i]
	}
	sum := usualFloorWeight
	floor := 1.0
	for i := 0; 2*sum < total; i++ {
		sum += weights[i]
		floor = max(1, sorted[i].Floor)
	}
	return floor
}

func trust(age, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(memory))
}

// Work returns how long work of the usual time takes when it starts at the
// speed and the host changes its own after SpeedHold.
func (s Speed) Work(usual time.Duration) time.Duration {
	slowdown := s.Now()
	stretched := time.Duration(float64(usual) * slowdown)
	if stretched <= SpeedHold {
		return stretched
	}
	done := time.Duration(float64(SpeedHold) / slowdown)
	return SpeedHold + time.Duration(float64(usual-done)*s.Settled())
}

// floorWindow is the time over which the floor is taken. It is longer than
// hosts with noisy neighbours keep a speed.
const floorWindow = 600 * time.Millisecond

// Floor follows the least slowdown of the last one to two windows. The zero
// value has seen nothing.
type Floor struct {
	started, window  time.Time
	current, earlier float64
}

// Add returns the floor after a report.
func (f Floor) Add(slowdown float64, now time.Time) Floor {
	switch {
	case now.Sub(f.window) >= 2*floorWindow:
		return Floor{started: now, window: now, current: slowdown}
	case now.Sub(f.window) >= floorWindow:
		f.window, f.earlier, f.current = now, f.current, slowdown
	}
	f.current = min(f.current, slowdown)
	return f
}

// Value returns the floor, and assumes no more than most until it has seen a
// whole window.
func (f Floor) Value(most float64, now time.Time) float64 {
	value := f.current
	if f.earlier > 0 {
		value = min(value, f.earlier)
	}
	if now.Sub(f.started) < floorWindow {
		value = min(value, most)
	}
	return value
}

// Load is the load of a backend server as it is known at some moment.
type Load struct {
	// Running and Waiting count its calls, Slots those it runs at once.
	Running, Waiting, Slots int
	Speed
	// Mean is the mean time of its calls at usual speed.
	Mean time.Duration
}

// Wait returns how long a new call waits for a slot.
func Wait(l Load) time.Duration {
	slots := max(1, l.Slots)
	ahead := l.Running + l.Waiting - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(l.Work(l.Mean)) * float64(ahead) / float64(slots))
}

// Finish returns how long a new call takes from its arrival to its answer.
func Finish(l Load, usual time.Duration) time.Duration {
	return Wait(l) + l.Work(usual)
}
