package board

import (
	"slices"
	"sync/atomic"
	"time"
)

// Admission holds the limits by which the executor admits calls.
type Admission struct {
	// ConcurrencyLimit is the number of calls that may run at once; 0 means that
	// no backend server has announced itself.
	ConcurrencyLimit uint32 `json:"limit"`
	// MaxQueueLength is the number of calls that may wait for a slot.
	MaxQueueLength int `json:"queue_length"`
	// MaxQueueWait is the longest time that a call may wait for a slot.
	MaxQueueWait time.Duration `json:"queue_wait"`
}

// FinishedCall reports a call that ended at the executor.
type FinishedCall struct {
	ServiceTime time.Duration
	// Succeeded is set when the response counts as a success of the backend
	// server.
	Succeeded bool
	// Shed is set when the backend server itself rejected the call because of
	// overload (429 or 503).
	Shed bool
	// InFlight is the number of calls that were running when this one ended,
	// itself included.
	InFlight uint32
	// ServerIncarnation identifies the process of the backend server that ran
	// the call.
	ServerIncarnation uint64
}

// medianSamples is the number of service times in the median. They span about
// 20 ms of a busy server, so that the median follows changes of its speed.
const medianSamples = 31

// ServiceTimes is a ring buffer of the latest service times at the executor.
// Writers and readers take no lock.
type ServiceTimes struct {
	next  atomic.Uint64
	times [medianSamples]atomic.Int64
}

// Add records the service time of a successful call.
func (s *ServiceTimes) Add(d time.Duration) {
	index := (s.next.Add(1) - 1) % medianSamples
	s.times[index].Store(int64(max(d, 1)))
}

// Median returns the median of the latest service times, or 0 when there are
// none.
func (s *ServiceTimes) Median() time.Duration {
	var sorted [medianSamples]int64
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
