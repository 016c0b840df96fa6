package board

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/lazymap"
)

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 10

// AttemptCounters counts the calls and the additional attempts (retries and
// hedges) of this node by service in a sliding window. The counters are atomics;
// when two goroutines start a new bucket at the same time, one count may be lost.
type AttemptCounters struct {
	// startedAt is the reference of the bucket numbers, on the monotonic clock.
	startedAt time.Time
	byService lazymap.Map[string, attemptWindow]
}

// NewAttemptCounters returns counters whose first bucket starts at now.
func NewAttemptCounters(now time.Time) *AttemptCounters { return &AttemptCounters{startedAt: now} }

// attemptWindow is the sliding window of one service, a ring of buckets.
type attemptWindow struct{ buckets [windowBuckets]attemptBucket }

// attemptBucket holds the counts of one bucket of the window. A bucket whose
// number is outdated is reset when it is used again.
type attemptBucket struct {
	number atomic.Int64
	calls  atomic.Int64
	// milliAttempts counts additional attempts in thousandths.
	milliAttempts atomic.Int64
}

// bucketAt returns the bucket with the number and resets it when it holds older
// counts.
func (w *attemptWindow) bucketAt(number int64) *attemptBucket {
	bucket := &w.buckets[number%windowBuckets]
	old := bucket.number.Load()
	if old != number && bucket.number.CompareAndSwap(old, number) {
		bucket.calls.Store(0)
		bucket.milliAttempts.Store(0)
	}
	return bucket
}

// AttemptCounts holds the counts of one service in the window.
type AttemptCounts struct {
	Service string
	// Calls is the number of calls received from callers.
	Calls float64
	// AdditionalAttempts is the number of retries and hedges. It has a fraction
	// when attempts for other services are charged to this one in part.
	AdditionalAttempts float64
}

// bucketNumber returns the number of the bucket that covers now, starting at 1.
func (c *AttemptCounters) bucketNumber(window time.Duration, now time.Time) int64 {
	return int64(max(0, now.Sub(c.startedAt)))/int64(window/windowBuckets) + 1
}

// AddCall counts a call received from a caller.
func (c *AttemptCounters) AddCall(service string, window time.Duration, now time.Time) {
	c.byService.Get(service).bucketAt(c.bucketNumber(window, now)).calls.Add(1)
}

// AddAttempts counts additional attempts, which may be fractional.
func (c *AttemptCounters) AddAttempts(service string, attempts float64, window time.Duration, now time.Time) {
	c.byService.Get(service).bucketAt(c.bucketNumber(window, now)).milliAttempts.Add(int64(1000 * attempts))
}

// Counts returns the counts of all services in the window that ends at now.
func (c *AttemptCounters) Counts(window time.Duration, now time.Time) []AttemptCounts {
	number := c.bucketNumber(window, now)
	var counts []AttemptCounts
	for service, w := range c.byService.All {
		count := AttemptCounts{Service: service}
		for i := range w.buckets {
			bucket := &w.buckets[i]
			if bucket.number.Load() > number-windowBuckets {
				count.Calls += float64(bucket.calls.Load())
				count.AdditionalAttempts += float64(bucket.milliAttempts.Load()) / 1000
			}
		}
		counts = append(counts, count)
	}
	return counts
}
