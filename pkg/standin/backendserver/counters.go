package backendserver

import "sync/atomic"

// callCounters counts the calls since the start by outcome.
type callCounters struct {
	completed atomic.Uint64
	canceled  atomic.Uint64
	shed      atomic.Uint64
}

// Counters is the response body of GET /standin/counters.
type Counters struct {
	Completed uint64 `json:"completed"`
	// Canceled counts calls whose execution ended by cancellation or deadline.
	Canceled uint64 `json:"cut"`
	// Shed counts calls rejected because too many were waiting for a slot.
	Shed uint64 `json:"shed"`
}

func (c *callCounters) snapshot() Counters {
	return Counters{Completed: c.completed.Load(), Canceled: c.canceled.Load(), Shed: c.shed.Load()}
}
