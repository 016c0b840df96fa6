package board

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/lazymap"
)

// StatsByRule holds the call statistics of each route rule.
type StatsByRule struct{ byRule lazymap.Map[string, Stats] }

// sampleWeight is the weight of a new sample in the moving averages.
const sampleWeight = 0.1

// Stats holds moving averages over the calls of one rule. Service times are
// normalized: they are the times that the calls would have taken at normal speed.
type Stats struct {
	// micros is the average service time in microseconds, responseBytes the
	// average response size.
	micros        atomic.Int64
	responseBytes atomic.Int64
	// low is the average service time in microseconds of calls that ran while the
	// backend server had low load.
	low atomic.Int64
	// longestTimeoutNanos is the longest caller timeout observed.
	longestTimeoutNanos atomic.Int64
	// origins counts the nodes at which the calls entered.
	origins callOrigins
}

// callOrigins counts calls by whether they entered at nodes beside servers of one
// service, the one that most calls come from. Concurrent updates may lose a count.
type callOrigins struct {
	service     atomic.Pointer[string]
	same, other atomic.Int64
}

// maxOriginCount is the count at which both counts are halved, so that they follow a
// change of the callers.
const maxOriginCount = 1024

// ObserveOrigin records that a call entered at a node beside a server of a service.
func (s *Stats) ObserveOrigin(service string) {
	o := &s.origins
	current := o.service.Load()
	switch {
	case current == nil:
		if o.service.CompareAndSwap(nil, &service) {
			o.same.Add(1)
		}
	case *current == service:
		if o.same.Add(1) >= maxOriginCount {
			o.same.Store(maxOriginCount / 2)
			o.other.Store(o.other.Load() / 2)
		}
	case o.other.Add(1) > o.same.Load():
		o.service.Store(&service)
		o.same.Store(1)
		o.other.Store(0)
	}
}

// Origins returns the service beside whose servers most calls entered, the number of
// those calls and of all others.
func (s *Stats) Origins() (service string, same, other int64) {
	if current := s.origins.service.Load(); current != nil {
		service = *current
	}
	return service, s.origins.same.Load(), s.origins.other.Load()
}

// maxCallerTimeout limits the timeouts that callers state.
const maxCallerTimeout = time.Minute

// ObserveCallerTimeout records how long a caller waits for the response, and
// returns how much shorter that is than the longest timeout observed. Callers of
// one rule are assumed to use the same timeout, so that the difference is the
// time that earlier attempts of the call have taken.
func (s *Stats) ObserveCallerTimeout(timeout time.Duration) time.Duration {
	timeout = min(timeout, maxCallerTimeout)
	for {
		longest := time.Duration(s.longestTimeoutNanos.Load())
		if timeout <= longest {
			return longest - timeout
		}
		if s.longestTimeoutNanos.CompareAndSwap(int64(longest), int64(timeout)) {
			return 0
		}
	}
}

// ForRule returns the statistics of a rule and creates them when needed.
func (s *StatsByRule) ForRule(rule string) *Stats { return s.byRule.Get(rule) }

// updateAverage adds a sample to an exponentially weighted moving average. The
// first sample sets it.
func updateAverage(target *atomic.Int64, sample int64) {
	for {
		old := target.Load()
		next := sample
		if old > 0 {
			next = old + int64(sampleWeight*float64(sample-old))
		}
		if target.CompareAndSwap(old, max(1, next)) {
			return
		}
	}
}

// AddServiceTime adds the normalized service time of a call.
func (s *Stats) AddServiceTime(d time.Duration) { updateAverage(&s.micros, d.Microseconds()) }

// AddResponseSize adds the size of a response in bytes.
func (s *Stats) AddResponseSize(n int64) { updateAverage(&s.responseBytes, n) }

// AddLowLoadTime adds the normalized service time of a call that ran at low load.
func (s *Stats) AddLowLoadTime(d time.Duration) { updateAverage(&s.low, d.Microseconds()) }

// LowLoadTime returns the average service time at low load, 0 when there is none
// yet.
func (s *Stats) LowLoadTime() time.Duration { return time.Duration(s.low.Load()) * time.Microsecond }

// ServiceTime returns the average service time, 0 when there is none yet.
func (s *Stats) ServiceTime() time.Duration { return time.Duration(s.micros.Load()) * time.Microsecond }

// ResponseSize returns the average response size in bytes, 0 when there is none
// yet.
func (s *Stats) ResponseSize() int64 { return s.responseBytes.Load() }
