package board

import (
	"slices"
	"sync/atomic"
	"time"
)

// Admission holds what the executor needs to admit a call.
type Admission struct {
	// ConcurrencyLimit is the number of calls that may run at once; 0 means that no
	// backend server has announced itself.
	ConcurrencyLimit uint32 `json:"limit"`
	// MaxQueueLength is the number of calls that may wait.
	MaxQueueLength int `json:"queue_length"`
	// MaxQueueWait is the longest wait.
	MaxQueueWait time.Duration `json:"queue_wait"`
}

// FinishedCall is the event of a call that ended at the executor.
type FinishedCall struct {
	ServiceTime time.Duration
	// Succeeded is set when the answer counts as a success of the server.
	Succeeded bool
	// Shed is set when the backend server itself refused the call as overload
	// (429 or 503).
	Shed bool
	// InFlight counts the calls that ran at the end, this one included.
	InFlight uint32
	// ServerIncarnation is the incarnation of the backend server that ran the call.
	ServerIncarnation uint64
}

// recentSize is the number of service times behind the median. It spans some
// 20 ms of a busy server, so that the median follows swings of its speed.
const recentSize = 31

// ServiceTimes keeps the newest service times of the executor. The executor
// adds to it, any goroutine reads the median; neither takes a lock.
type ServiceTimes struct {
	next  atomic.Uint64
	times [recentSize]atomic.Int64
}

// Add records the service time of a successful call.
func (s *ServiceTimes) Add(d time.Duration) {
	slot := (s.next.Add(1) - 1) % recentSize
	s.times[slot].Store(int64(max(d, 1)))
}

// Median returns the median of the newest service times, 0 without any.
func (s *ServiceTimes) Median() time.Duration {
	var sorted [recentSize]int64
	n := 0
	for i := range s.times {
		if t := s.times[i].Load(); t > 0 {
			sorted[n] = t
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(sorted[:n])
	return time.Duration(sorted[n/2])
}
