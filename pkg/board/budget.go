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
	// TokensPerSuccess is the number of tokens earned per success.
	TokensPerSuccess float64
	// figures survive a change of Share.
	*retryBudgetStats
}

type retryBudgetStats struct {
	milliTokens     atomic.Int64 // thousandths of a token
	latencyP95Nanos atomic.Int64 // moving 95th percentile
}

// NewRetryBudget returns the budget of a service. It goes on with the
// figures of old, which may be nil.
func NewRetryBudget(share float64, old *RetryBudget) *RetryBudget {
	if old != nil {
		return &RetryBudget{TokensPerSuccess: share, retryBudgetStats: old.retryBudgetStats}
	}
	b := &RetryBudget{TokensPerSuccess: share, retryBudgetStats: &retryBudgetStats{}}
	b.milliTokens.Store(budget.InitialTokens(share))
	return b
}

// RecordSuccess earns tokens and adds the latency of the call.
func (b *RetryBudget) RecordSuccess(latency time.Duration) {
	for {
		old := b.milliTokens.Load()
		next := budget.EarnTokens(old, b.TokensPerSuccess)
		if next == old || b.milliTokens.CompareAndSwap(old, next) {
			break
		}
	}
	for {
		old := b.latencyP95Nanos.Load()
		next := budget.MovingP95(time.Duration(old), latency)
		if b.latencyP95Nanos.CompareAndSwap(old, int64(next)) {
			return
		}
	}
}

// Take spends the token of one additional attempt, or returns false.
func (b *RetryBudget) Take() bool {
	for {
		old := b.milliTokens.Load()
		if old < budget.Token {
			return false
		}
		if b.milliTokens.CompareAndSwap(old, old-budget.Token) {
			return true
		}
	}
}

// LatencyP95 returns the moving 95th percentile of latency, 0 without calls.
func (b *RetryBudget) LatencyP95() time.Duration { return time.Duration(b.latencyP95Nanos.Load()) }

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
