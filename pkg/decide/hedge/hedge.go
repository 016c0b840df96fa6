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
	// hedgeTimeFactor is the part of the usual time that a second send needs at
	// least.
	hedgeTimeFactor = 1.1
)

// Delay returns how long to wait for an answer before a second send, when the
// executor says nothing. A second send too early wastes a run, one that comes
// after the objective minus the usual time can't meet it.
func Delay(expected, usual, objectiveLeft time.Duration) time.Duration {
	late := time.Duration(lateFactor * float64(max(expected, usual)))
	latest := objectiveLeft - time.Duration(hedgeTimeFactor*float64(usual))
	return max(late, latest)
}

// Execution is a call that runs on a backend server.
type Execution struct {
	// NominalTime is the time of the call at usual speed, Done the part of it that is
	// done.
	NominalTime time.Duration
	Progress    time.Duration
}

// Advance adds time at a slowdown to what is done.
func (r Execution) Advance(elapsed time.Duration, slowdown float64) Execution {
	if slowdown > 0 {
		r.Progress += time.Duration(float64(elapsed) / slowdown)
	}
	return r
}

// minSavingShare is the time that a second send must be expected to save, as a part
// of the usual time.
const minSavingShare = 0.25

// ShouldHedge reports whether a second send at a host of usual speed is expected
// to meet an objective that the run is expected to miss.
func ShouldHedge(r Execution, speed estimate.Speed, objectiveLeft time.Duration) bool {
	left := max(0, r.NominalTime-r.Progress)
	finish := speed.ServiceTime(left)
	again := estimate.Speed{Slowdown: 1}.ServiceTime(r.NominalTime)
	return finish > objectiveLeft && again <= objectiveLeft &&
		finish-again > time.Duration(minSavingShare*float64(r.NominalTime))
}
