package backendserver

import "sync/atomic"

// counters counts the calls by their end since the start.
type counters struct {
	completed atomic.Uint64
	cut       atomic.Uint64
	shed      atomic.Uint64
}

// Counters is the answer of GET /standin/counters.
type Counters struct {
	Completed uint64 `json:"completed"`
	// Cut counts calls whose work was cancelled or ran into its deadline.
	Cut uint64 `json:"cut"`
	// Shed counts calls that were refused because too many waited.
	Shed uint64 `json:"shed"`
}

func (c *counters) read() Counters {
	return Counters{Completed: c.completed.Load(), Cut: c.cut.Load(), Shed: c.shed.Load()}
}
