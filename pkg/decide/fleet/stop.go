package fleet

import "time"

const (
	// leaveDelay is how long a stopping node runs calls of other nodes: its
	// backend server goes on, and would be idle until the next node is there. The
	// news that it leaves take some tenths of a second until acceptAfterStop.
	leaveDelay = 2 * time.Second
	// closeCallersDelay is how long a stopping node takes new calls: until the
	// platform has noticed twice, a second apart, that it is not ready.
	closeCallersDelay = 3 * time.Second
	// killMargin is left before the platform's kill to withdraw from the store
	// and to write the last lines of the log.
	killMargin = 900 * time.Millisecond
	// leaveDelayDivisor bounds executeAfterStop to a share of a short grace time, so
	// that the calls end before the kill.
	leaveDelayDivisor = 3
)

// StopPlan holds times after the order to stop.
type StopPlan struct {
	// AnnounceLeavingAfter is when other nodes are told to send no more calls, CloseCallersAfter when
	// callers' connections end, ExitAfter when the node exits at the latest.
	AnnounceLeavingAfter, CloseCallersAfter, ExitAfter time.Duration
}

// PlanStop returns the plan for the time between the order and the kill.
func PlanStop(grace time.Duration) StopPlan {
	last := max(0, grace-killMargin)
	return StopPlan{
		AnnounceLeavingAfter: min(leaveDelay, last/leaveDelayDivisor), CloseCallersAfter: min(closeCallersDelay, last), ExitAfter: last,
	}
}
