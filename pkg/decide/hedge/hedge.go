// Package hedge decides when a call that may run more than once is sent to a
// second backend server. All functions are pure.
package hedge

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

const (
	// lateFactor is the multiple of the expected time after which an answer is
	// taken to be lost rather than late.
	lateFactor = 1.5
	// againShare is the part of the usual time that a second send needs at
	// least.
	againShare = 1.1
)

// Delay returns how long to wait for an answer before a second send, when the
// executor says nothing. A second send too early wastes a run, one that comes
// after the objective minus the usual time can't meet it.
func Delay(expected, usual, objectiveLeft time.Duration) time.Duration {
	late := time.Duration(lateFactor * float64(max(expected, usual)))
	latest := objectiveLeft - time.Duration(againShare*float64(usual))
	return max(late, latest)
}

// Run is a call that runs on a backend server.
type Run struct {
	// Usual is the time of the call at usual speed, Done the part of it that is
	// done.
	Usual time.Duration
	Done  time.Duration
}

// Advance adds time at a slowdown to what is done.
func (r Run) Advance(elapsed time.Duration, slowdown float64) Run {
	if slowdown > 0 {
		r.Done += time.Duration(float64(elapsed) / slowdown)
	}
	return r
}

// leastGain is the time that a second send must be expected to save, as a part
// of the usual time.
const leastGain = 0.25

// Worthwhile reports whether a second send at a host of usual speed is expected
// to meet an objective that the run is expected to miss.
func Worthwhile(r Run, speed estimate.Speed, objectiveLeft time.Duration) bool {
	left := max(0, r.Usual-r.Done)
	finish := speed.Work(left)
	again := estimate.Speed{Slowdown: 1}.Work(r.Usual)
	return finish > objectiveLeft && again <= objectiveLeft &&
		finish-again > time.Duration(leastGain*float64(r.Usual))
}
