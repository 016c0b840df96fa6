package fleet

import "time"

const (
	// leaveDelay is how long a stopping node runs calls of other nodes. Its
	// backend server keeps running and would be idle until the next node takes
	// over. The announcement that the node leaves needs some tenths of a second
	// to spread before closeCallerConnectionsDelay.
	leaveDelay = 2 * time.Second
	// closeCallerConnectionsDelay is how long a stopping node accepts new calls:
	// until two readiness checks of the platform, one second apart, have found it
	// not ready.
	closeCallerConnectionsDelay = 3 * time.Second
	// killMargin is reserved before the platform kills the process, to withdraw
	// from the store and to write the last log lines. maxKillMarginShare limits it to a
	// part of a short grace period.
	killMargin         = 900 * time.Millisecond
	maxKillMarginShare = 0.15
	// leaveDelayDivisor limits leaveDelay to a third of a short grace period,
	// so that the running calls end before the kill.
	leaveDelayDivisor = 3
	// maxAcceptShare limits closeCallerConnectionsDelay to a part of a short grace
	// period, so that the last calls have time to end.
	maxAcceptShare = 0.6
)

// StopPlan holds the steps of a graceful stop as times after the stop request.
type StopPlan struct {
	// AnnounceLeavingAfter is when other nodes are asked to send no more calls,
	// CloseCallersAfter when the connections of callers are closed, and
	// ExitAfter when the process exits at the latest.
	AnnounceLeavingAfter, CloseCallersAfter, ExitAfter time.Duration
}

// PlanStop returns the plan for a grace period, the time between the stop
// request and the kill.
func PlanStop(grace time.Duration) StopPlan {
	exit := max(0, grace-min(killMargin, time.Duration(maxKillMarginShare*float64(grace))))
	return StopPlan{
		AnnounceLeavingAfter: min(leaveDelay, exit/leaveDelayDivisor),
		CloseCallersAfter:    min(closeCallerConnectionsDelay, time.Duration(maxAcceptShare*float64(exit))), ExitAfter: exit,
	}
}
