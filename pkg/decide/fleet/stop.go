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
	// from the store and to write the last log lines.
	killMargin = 900 * time.Millisecond
	// leaveDelayDivisor limits leaveDelay to a third of a short grace period,
	// so that the running calls end before the kill.
	leaveDelayDivisor = 3
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
	exit := max(0, grace-killMargin)
	return StopPlan{
		AnnounceLeavingAfter: min(leaveDelay, exit/leaveDelayDivisor), CloseCallersAfter: min(closeCallerConnectionsDelay, exit), ExitAfter: exit,
	}
}
