package board

import (
	"sync/atomic"
	"time"
)

// completedRequestSlots is the number of remembered requests: some seconds of calls on
// one backend server.
const completedRequestSlots = 1024

// CompletedRequests remembers the requests that the local backend server has answered
// last. A request that is suspected later of crashing backend servers is cleared by
// them. The path of a call replaces one slot and takes no lock.
type CompletedRequests struct {
	next  atomic.Uint64
	slots [completedRequestSlots]atomic.Pointer[CompletedRequest]
}

// CompletedRequest is a request whose whole response has arrived.
type CompletedRequest struct {
	Digest string
	// ServerIncarnation is the start of the backend server that executed it.
	ServerIncarnation uint64
	At                time.Time
}

// Add remembers a request in the place of the earliest one.
func (c *CompletedRequests) Add(r CompletedRequest) {
	c.slots[(c.next.Add(1)-1)%completedRequestSlots].Store(&r)
}

// Since returns the remembered requests that completed after a time, by digest; of
// several executions of a request one is returned.
func (c *CompletedRequests) Since(t time.Time) map[string]CompletedRequest {
	recent := map[string]CompletedRequest{}
	for i := range c.slots {
		if r := c.slots[i].Load(); r != nil && r.At.After(t) {
			recent[r.Digest] = *r
		}
	}
	return recent
}
