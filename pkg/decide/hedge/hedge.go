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
func Delay(expected, nominal, objectiveLeft time.Duration) time.Duration {
	overdue := time.Duration(lateFactor * float64(max(expected, nominal)))
	latestUseful := objectiveLeft - time.Duration(hedgeTimeFactor*float64(nominal))
	return max(overdue, latestUseful)
}

// Execution is a call that runs on a backend server.
type Execution struct {
	// NominalTime is the time of the call at usual speed, Done the part of it that is
	// done.
	NominalTime time.Duration
	Progress    time.Duration
}

// Advance adds time at a slowdown to what is done.
func (e Execution) Advance(elapsed time.Duration, slowdown float64) Execution {
	if slowdown > 0 {
		e.Progress += time.Duration(float64(elapsed) / slowdown)
	}
	return e
}

// minSavingShare is the time that a second send must be expected to save, as a part
// of the usual time.
const minSavingShare = 0.25

// ShouldHedge reports whether a second send at a host of usual speed is expected
// to meet an objective that the run is expected to miss.
func ShouldHedge(execution Execution, speed estimate.Speed, objectiveLeft time.Duration) bool {
	remainingWork := max(0, execution.NominalTime-execution.Progress)
	remainingTime := speed.ServiceTime(remainingWork)
	hedgeTime := estimate.Speed{Slowdown: 1}.ServiceTime(execution.NominalTime)
	return remainingTime > objectiveLeft && hedgeTime <= objectiveLeft &&
		remainingTime-hedgeTime > time.Duration(minSavingShare*float64(execution.NominalTime))
}
