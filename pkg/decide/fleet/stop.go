package fleet

import "time"

const (
	// executeAfterStop is how long a stopping node runs calls of other nodes: its
	// backend server goes on, and would be idle until the next node is there. The
	// news that it leaves take some tenths of a second until acceptAfterStop.
	executeAfterStop = 2 * time.Second
	// acceptAfterStop is how long a stopping node takes new calls: until the
	// platform has noticed twice, a second apart, that it is not ready.
	acceptAfterStop = 3 * time.Second
	// stopMargin is left before the platform's kill to withdraw from the store
	// and to write the last lines of the log.
	stopMargin = 900 * time.Millisecond
	// executeShare bounds executeAfterStop to a share of a short grace time, so
	// that the calls end before the kill.
	executeShare = 3
)

// StopPlan holds times after the order to stop.
type StopPlan struct {
	// Execute is when other nodes are told to send no more calls, Accept when
	// callers' connections end, Last when the node exits at the latest.
	Execute, Accept, Last time.Duration
}

// PlanStop returns the plan for the time between the order and the kill.
func PlanStop(grace time.Duration) StopPlan {
	last := max(0, grace-stopMargin)
	return StopPlan{
		Execute: min(executeAfterStop, last/executeShare), Accept: min(acceptAfterStop, last), Last: last,
	}
}
