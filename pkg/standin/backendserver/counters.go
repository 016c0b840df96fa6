package backendserver

import "sync/atomic"

// callCounters counts the calls by their end since the start.
type callCounters struct {
	completed atomic.Uint64
	cancelled atomic.Uint64
	shed      atomic.Uint64
}

// Counters is the answer of GET /standin/counters.
type Counters struct {
	Completed uint64 `json:"completed"`
	// Cancelled counts calls whose work was cancelled or ran into its deadline.
	Cancelled uint64 `json:"cut"`
	// Shed counts calls that were refused because too many waited.
	Shed uint64 `json:"shed"`
}

func (c *callCounters) snapshot() Counters {
	return Counters{Completed: c.completed.Load(), Cancelled: c.cancelled.Load(), Shed: c.shed.Load()}
}
