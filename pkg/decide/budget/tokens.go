package budget

import "time"

// Token is one additional attempt in the unit of the token counters.
const Token = 1000

// maxTokens bounds the additional attempts that a quiet period can save up.
// More would let a burst of retries through at the start of an overload.
const maxTokens = 10 * Token

// InitialTokens returns the counter of a service without calls. A share of 0
// switches additional attempts off.
func InitialTokens(share float64) int64 {
	if share <= 0 {
		return 0
	}
	return maxTokens
}

// EarnTokens returns the counter after a success.
func EarnTokens(tokens int64, share float64) int64 {
	return max(tokens, min(maxTokens, tokens+int64(share*Token)))
}

// Steps of the moving percentile: up by 95 parts when a sample is above it,
// down by 5 when it is below, so that it rests where 5 % are above.
const (
	p95Up   = 95
	p95Down = 5
	// p95Divisor divides the value to give the size of one part.
	p95Divisor = 1000
)

// MovingP95 returns the moving 95th percentile of latency after a sample. A
// first sample sets it.
func MovingP95(current, sample time.Duration) time.Duration {
	switch part := max(current/p95Divisor, 1); {
	case current == 0:
		return max(sample, 1)
	case sample > current:
		return min(sample, current+part*p95Up)
	default:
		return max(sample, current-part*p95Down)
	}
}

// minHedgeDelay keeps hedges of very fast services from doubling their load.
const minHedgeDelay = 2 * time.Millisecond

// HedgeDelay returns how long an attempt may take before a hedge is sent: the
// 95th percentile of latency, so that about one call in 20 would be hedged.
// It returns false when there is no latency yet or the deadline leaves no time
// for a second attempt.
func HedgeDelay(high, remaining time.Duration) (time.Duration, bool) {
	delay := max(high, minHedgeDelay)
	return delay, high > 0 && delay < remaining/2
}
