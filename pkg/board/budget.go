package board

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/budget"
)

// Budgets holds the budgets of this node.
type Budgets struct {
	RetryByService map[string]*RetryBudget
	// OutgoingProbes bounds the probes that this node sends, IncomingProbes those that it
	// answers.
	OutgoingProbes, IncomingProbes *ProbeBudget
}

// RetryBudget holds the retry tokens of a service at this entry and its
// recent latency. The call path updates it without a lock.
type RetryBudget struct {
	// Share is the number of tokens earned per success.
	Share float64
	// figures survive a change of Share.
	*serviceFigures
}

type serviceFigures struct {
	tokens    atomic.Int64 // thousandths of a token
	latencyNS atomic.Int64 // moving 95th percentile
}

// NewRetryBudget returns the budget of a service. It goes on with the
// figures of old, which may be nil.
func NewRetryBudget(share float64, old *RetryBudget) *RetryBudget {
	if old != nil {
		return &RetryBudget{Share: share, serviceFigures: old.serviceFigures}
	}
	b := &RetryBudget{Share: share, serviceFigures: &serviceFigures{}}
	b.tokens.Store(budget.InitialTokens(share))
	return b
}

// RecordSuccess earns tokens and adds the latency of the call.
func (b *RetryBudget) RecordSuccess(latency time.Duration) {
	for {
		old := b.tokens.Load()
		next := budget.EarnTokens(old, b.Share)
		if next == old || b.tokens.CompareAndSwap(old, next) {
			break
		}
	}
	for {
		old := b.latencyNS.Load()
		next := budget.MovingP95(time.Duration(old), latency)
		if b.latencyNS.CompareAndSwap(old, int64(next)) {
			return
		}
	}
}

// Take spends the token of one additional attempt, or returns false.
func (b *RetryBudget) Take() bool {
	for {
		old := b.tokens.Load()
		if old < budget.Token {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-budget.Token) {
			return true
		}
	}
}

// LatencyP95 returns the moving 95th percentile of latency, 0 without calls.
func (b *RetryBudget) LatencyP95() time.Duration { return time.Duration(b.latencyNS.Load()) }

// ProbeBudget bounds probes in every window of 1 s. It is not on the path of a
// request, so a lock guards it.
type ProbeBudget struct {
	mu     sync.Mutex
	window budget.SlidingWindow
}

// SetLimits changes the limits; probes of the last second still count.
func (b *ProbeBudget) SetLimits(probes, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.SetLimits(probes, bytes)
}

// Take spends one probe of a size in bytes, or returns false.
func (b *ProbeBudget) Take(now time.Time, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Take(now, bytes)
}
