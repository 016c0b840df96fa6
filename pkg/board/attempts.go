package board

import (
	"sync"
	"time"
)

// attemptBuckets divide the window of an attempt budget, so that it slides.
const attemptBuckets = 10

// AttemptBudgets bound the additional attempts of this node by service.
type AttemptBudgets struct{ byService sync.Map }

// Of returns the budget of a service.
func (b *AttemptBudgets) Of(service string) *AttemptBudget {
	if v, ok := b.byService.Load(service); ok {
		return v.(*AttemptBudget)
	}
	v, _ := b.byService.LoadOrStore(service, &AttemptBudget{})
	return v.(*AttemptBudget)
}

// AttemptLimit is the bound of a service over a sliding window.
type AttemptLimit struct {
	Window time.Duration
	// Ratio is the number of additional attempts per call.
	Ratio float64
	// Slack is this node's share of the attempts that are allowed besides.
	Slack float64
}

// AttemptBudget counts calls and additional attempts in a sliding window.
type AttemptBudget struct {
	mu    sync.Mutex
	slots [attemptBuckets]attemptSlot
}

type attemptSlot struct {
	number int64
	calls  int
	extra  int
}

func (b *AttemptBudget) slot(limit AttemptLimit, now time.Time) *attemptSlot {
	number := sinceStart(now) / int64(limit.Window/attemptBuckets)
	s := &b.slots[number%attemptBuckets]
	if s.number != number {
		*s = attemptSlot{number: number}
	}
	return s
}

// Call counts a call that a caller sent.
func (b *AttemptBudget) Call(limit AttemptLimit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(limit, now).calls++
}

// Take takes an additional attempt and reports whether there was one.
func (b *AttemptBudget) Take(limit AttemptLimit, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slot(limit, now)
	calls, extra := 0, 0
	for _, s := range b.slots {
		if s.number > current.number-attemptBuckets {
			calls += s.calls
			extra += s.extra
		}
	}
	if float64(extra+1) > limit.Ratio*float64(calls)+limit.Slack {
		return false
	}
	current.extra++
	return true
}
