// Package estimate predicts when a call would be finished at a backend server
// whose host changes its speed within milliseconds. All functions are pure.
package estimate

import (
	"math"
	"time"
)

const (
	// SpeedHold is how long a host keeps its speed on average from a random
	// moment on. Hosts with noisy neighbours change about every 500 ms.
	SpeedHold = 250 * time.Millisecond
	// SpeedMemory is the age at which a reported speed says little: two periods
	// of SpeedHold.
	SpeedMemory = 2 * SpeedHold
	// UsualSlowdown is the slowdown to assume where none is known. A host that
	// is slowed sevenfold for a quarter of the time has about this mean.
	UsualSlowdown = 1.3
)

// Load is the load of a backend server as it is known at some moment.
type Load struct {
	// Running and Waiting count its calls, Slots those it runs at once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes relative to the usual time.
	Slowdown float64
	// Mean is the mean time of its calls at usual speed.
	Mean time.Duration
}

// Aged returns the slowdown to expect when a report of it has the age.
func Aged(slowdown float64, age time.Duration) float64 {
	if slowdown <= 0 {
		return UsualSlowdown
	}
	trust := math.Exp(-float64(age) / float64(SpeedMemory))
	return UsualSlowdown + (slowdown-UsualSlowdown)*trust
}

// Work returns how long work of the usual time takes when it starts at the
// slowdown and the host changes its speed after SpeedHold.
func Work(usual time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		slowdown = UsualSlowdown
	}
	stretched := time.Duration(float64(usual) * slowdown)
	if stretched <= SpeedHold {
		return stretched
	}
	done := time.Duration(float64(SpeedHold) / slowdown)
	return SpeedHold + time.Duration(float64(usual-done)*UsualSlowdown)
}

// Wait returns how long a new call waits for a slot.
func Wait(l Load) time.Duration {
	slots := max(1, l.Slots)
	ahead := l.Running + l.Waiting - slots + 1
	if ahead <= 0 {
		return 0
	}
	perSlot := Work(l.Mean, l.Slowdown)
	return time.Duration(float64(perSlot) * float64(ahead) / float64(slots))
}

// Finish returns how long a new call takes from its arrival to its answer.
func Finish(l Load, usual time.Duration) time.Duration {
	return Wait(l) + Work(usual, l.Slowdown)
}
