package budget

import "time"

// Token is the cost of one additional attempt in the unit of the token
// counters.
const Token = 1000

// maxTokens bounds the tokens that can accumulate in a quiet period. More
// would let a burst of retries through at the start of an overload.
const maxTokens = 10 * Token

// InitialTokens returns the initial token counter of a service. Additional
// attempts are disabled when a success earns 0 tokens.
func InitialTokens(tokensPerSuccess float64) int64 {
	if tokensPerSuccess <= 0 {
		return 0
	}
	return maxTokens
}

// EarnTokens returns the token counter after a successful call, which earns
// tokensPerSuccess additional attempts.
func EarnTokens(tokens int64, tokensPerSuccess float64) int64 {
	return max(tokens, min(maxTokens, tokens+int64(tokensPerSuccess*Token)))
}

// Steps of the moving P95. It rises by 95 steps when a sample is above it and
// falls by 5 when a sample is below, so that it settles where 5 % of the
// samples are above.
const (
	p95Up   = 95
	p95Down = 5
	// p95Divisor divides the current value to give the size of a step.
	p95Divisor = 1000
)

// MovingP95 returns the moving 95th percentile of latency after a sample. The
// first sample sets it.
func MovingP95(current, sample time.Duration) time.Duration {
	switch step := max(current/p95Divisor, 1); {
	case current == 0:
		return max(sample, 1)
	case sample > current:
		return min(sample, current+step*p95Up)
	default:
		return max(sample, current-step*p95Down)
	}
}

// minHedgeDelay prevents hedges from doubling the load of very fast services.
const minHedgeDelay = 2 * time.Millisecond

// HedgeDelay returns how long an attempt may take before it is hedged: the
// 95th percentile of latency, so that about one call in 20 would be hedged. It
// returns false when the latency is not known yet or when the deadline leaves
// too little time for a second attempt.
func HedgeDelay(p95, remaining time.Duration) (time.Duration, bool) {
	delay := max(p95, minHedgeDelay)
	return delay, p95 > 0 && delay < remaining/2
}
