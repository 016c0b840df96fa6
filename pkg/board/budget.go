package board

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/budget"
)

// Budgets holds the retry and probe budgets of this node.
type Budgets struct {
	// RetryByService holds the retry budget of each service.
	RetryByService map[string]*RetryBudget
	// OutgoingProbes limits the load probes that this node sends, IncomingProbes
	// those that it answers.
	OutgoingProbes, IncomingProbes *ProbeBudget
}

// RetryBudget holds the retry tokens and the recent latency of a service at this
// entry. The request path updates it without a lock.
type RetryBudget struct {
	// TokensPerSuccess is the number of tokens earned per successful call.
	TokensPerSuccess float64
	// retryBudgetStats is kept when TokensPerSuccess changes.
	*retryBudgetStats
}

// retryBudgetStats holds the counters of a retry budget.
type retryBudgetStats struct {
	milliTokens     atomic.Int64 // thousandths of a token
	latencyP95Nanos atomic.Int64 // moving 95th percentile
}

// NewRetryBudget returns the retry budget of a service. It takes over the tokens
// and the latency of old unless old is nil.
func NewRetryBudget(tokensPerSuccess float64, old *RetryBudget) *RetryBudget {
	if old != nil {
		return &RetryBudget{TokensPerSuccess: tokensPerSuccess, retryBudgetStats: old.retryBudgetStats}
	}
	b := &RetryBudget{TokensPerSuccess: tokensPerSuccess, retryBudgetStats: &retryBudgetStats{}}
	b.milliTokens.Store(budget.InitialTokens(tokensPerSuccess))
	return b
}

// RecordSuccess earns tokens and records the latency of the call.
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

// Take spends the token for one additional attempt. It returns false when none
// is left.
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

// LatencyP95 returns the moving 95th percentile of the latency, or 0 before the
// first call.
func (b *RetryBudget) LatencyP95() time.Duration { return time.Duration(b.latencyP95Nanos.Load()) }

// ProbeBudget limits the probes in every window of 1 s. It is not on the request
// path, so it uses a mutex.
type ProbeBudget struct {
	mu     sync.Mutex
	window budget.SlidingWindow
}

// SetLimits changes the limits. Probes of the last second still count.
func (b *ProbeBudget) SetLimits(probes, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.SetLimits(probes, bytes)
}

// Take spends one probe of a size in bytes. It returns false when a limit is
// reached.
func (b *ProbeBudget) Take(now time.Time, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Take(now, bytes)
}
