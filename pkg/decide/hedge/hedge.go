// Package hedge decides when an idempotent call is hedged, that is, sent to a
// second backend server as well. All functions are pure.
package hedge

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

const (
	// lateFactor is the multiple of the expected response time after which a
	// response is taken to be lost rather than late.
	lateFactor = 1.5
	// hedgeTimeFactor is the time that a hedge needs at least, as a multiple
	// of the nominal time of the call.
	hedgeTimeFactor = 1.1
)

// Delay returns how long to wait for a response before the call is hedged,
// unless the executor reports earlier that the call is late. A hedge that is
// sent too early wastes an execution, so it waits until the last moment at which
// it can still meet the objective, and in any case until the response is overdue.
func Delay(expected, nominal, objectiveLeft time.Duration) time.Duration {
	overdue := time.Duration(lateFactor * float64(max(expected, nominal)))
	latestUseful := objectiveLeft - time.Duration(hedgeTimeFactor*float64(nominal))
	return max(overdue, latestUseful)
}

// Execution is the progress of a call on a backend server.
type Execution struct {
	// NominalTime is the service time of the call at normal speed, Progress
	// the part of it that is done.
	NominalTime time.Duration
	Progress    time.Duration
}

// Advance adds the progress made in the elapsed time at a slowdown.
func (e Execution) Advance(elapsed time.Duration, slowdown float64) Execution {
	if slowdown > 0 {
		e.Progress += time.Duration(float64(elapsed) / slowdown)
	}
	return e
}

// minSavingShare is the time that a hedge must be expected to save, as a share
// of the nominal time.
const minSavingShare = 0.25

// ShouldHedge reports whether the execution is expected to miss its objective
// while a hedge on a host at normal speed is expected to meet it and to save
// enough time.
func ShouldHedge(execution Execution, speed estimate.Speed, objectiveLeft time.Duration) bool {
	remainingWork := max(0, execution.NominalTime-execution.Progress)
	remainingTime := speed.ServiceTime(remainingWork)
	hedgeTime := estimate.Speed{Slowdown: 1}.ServiceTime(execution.NominalTime)
	return remainingTime > objectiveLeft && hedgeTime <= objectiveLeft &&
		remainingTime-hedgeTime > time.Duration(minSavingShare*float64(execution.NominalTime))
}
