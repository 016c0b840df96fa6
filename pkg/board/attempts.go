package board

import (
	"sync"
	"sync/atomic"
	"time"
)

// attemptBuckets divide the window of an attempt budget, so that it slides.
const attemptBuckets = 10

// AttemptCounters count the calls and the additional attempts of this node by
// service in a sliding window. The counters are atomics; two calls that begin a
// new part of the window at once may lose one of each other's counts.
type AttemptCounters struct {
	// base is what times are counted from, on the steady clock.
	base      time.Time
	byService sync.Map
}

// NewAttemptBudgets returns empty windows.
func NewAttemptBudgets(now time.Time) *AttemptCounters { return &AttemptCounters{base: now} }

// attemptWindow is the window of one service.
type attemptWindow struct{ parts [attemptBuckets]attemptPart }

type attemptPart struct {
	number atomic.Int64
	calls  atomic.Int64
	// extraMilli counts additional attempts in thousandths.
	extraMilli atomic.Int64
}

func (w *attemptWindow) part(number int64) *attemptPart {
	p := &w.parts[number%attemptBuckets]
	old := p.number.Load()
	if old != number && p.number.CompareAndSwap(old, number) {
		p.calls.Store(0)
		p.extraMilli.Store(0)
	}
	return p
}

// AttemptCounts is what a window holds.
type AttemptCounts struct {
	Service string
	// Calls is the number of calls that callers sent.
	Calls float64
	// AdditionalAttempts is the number of additional attempts.
	AdditionalAttempts float64
}

func (b *AttemptCounters) of(service string) *attemptWindow {
	if v, ok := b.byService.Load(service); ok {
		return v.(*attemptWindow)
	}
	v, _ := b.byService.LoadOrStore(service, &attemptWindow{})
	return v.(*attemptWindow)
}

// partNumber returns the number of a part of the window, from 1 on.
func (b *AttemptCounters) partNumber(window time.Duration, now time.Time) int64 {
	return int64(max(0, now.Sub(b.base)))/int64(window/attemptBuckets) + 1
}

// AddCall counts a call of a caller.
func (b *AttemptCounters) AddCall(service string, window time.Duration, now time.Time) {
	b.of(service).part(b.partNumber(window, now)).calls.Add(1)
}

// AddAttempts counts additional attempts, which may be a fraction.
func (b *AttemptCounters) AddAttempts(service string, attempts float64, window time.Duration, now time.Time) {
	b.of(service).part(b.partNumber(window, now)).extraMilli.Add(int64(1000 * attempts))
}

// Counts returns what the windows of all services hold.
func (b *AttemptCounters) Counts(window time.Duration, now time.Time) []AttemptCounts {
	number := b.partNumber(window, now)
	var counts []AttemptCounts
	b.byService.Range(func(key, v any) bool {
		count := AttemptCounts{Service: key.(string)}
		w := v.(*attemptWindow)
		for i := range w.parts {
			p := &w.parts[i]
			if p.number.Load() > number-attemptBuckets {
				count.Calls += float64(p.calls.Load())
				count.AdditionalAttempts += float64(p.extraMilli.Load()) / 1000
			}
		}
		counts = append(counts, count)
		return true
	})
	return counts
}
