package backendserver

import "sync/atomic"

// callCounters counts the calls since the start by outcome.
type callCounters struct {
	completed atomic.Uint64
	cancelled atomic.Uint64
	shed      atomic.Uint64
}

// Counters is the response body of GET /standin/counters.
type Counters struct {
	Completed uint64 `json:"completed"`
	// Cancelled counts calls whose execution ended by cancellation or deadline.
	Cancelled uint64 `json:"cut"`
	// Shed counts calls rejected because too many were waiting for a slot.
	Shed uint64 `json:"shed"`
}

func (c *callCounters) snapshot() Counters {
	return Counters{Completed: c.completed.Load(), Cancelled: c.cancelled.Load(), Shed: c.shed.Load()}
}
