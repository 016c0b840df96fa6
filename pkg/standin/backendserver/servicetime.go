package backendserver

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the random time for which a factor on the service time is kept.
const (
	minVariationPeriod = 5 * time.Millisecond
	maxVariationPeriod = 50 * time.Millisecond
)

// serviceTimeVariation is a random factor on the service time. A new factor is drawn
// from a seeded random number generator when the period of the last one has passed.
type serviceTimeVariation struct {
	maxFactor float64

	mu         sync.Mutex
	rng        *rand.Rand
	validUntil time.Time
	factor     float64
}

func newServiceTimeVariation(maxFactor float64, seed uint64) *serviceTimeVariation {
	return &serviceTimeVariation{maxFactor: max(maxFactor, 1), rng: rand.New(rand.NewPCG(seed, 0)), factor: 1}
}

// factorAt returns the factor at a time, between 1 and maxFactor.
func (s *serviceTimeVariation) factorAt(now time.Time) float64 {
	if s.maxFactor == 1 {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.validUntil) {
		return s.factor
	}
	s.validUntil = now.Add(minVariationPeriod + time.Duration(s.rng.Int64N(int64(maxVariationPeriod-minVariationPeriod))))
	s.factor = 1 + s.rng.Float64()*(s.maxFactor-1)
	return s.factor
}

// serviceTime returns the service time of a call that starts now: ServiceTime times
// the factors of the variation, the warm-up and the faults.
func (s *Server) serviceTime(faults *Faults, now time.Time) time.Duration {
	factor := s.variation.factorAt(now) * s.warmUpFactor(now)
	if faults.SlowFactor > 0 {
		factor *= faults.SlowFactor
	}
	return time.Duration(float64(s.config.ServiceTime) * factor)
}

// warmUpFactor returns a factor on the service time that falls linearly from
// ColdStartFactor to 1 over WarmUpTime.
func (s *Server) warmUpFactor(now time.Time) float64 {
	age := now.Sub(s.startTime)
	if age >= s.config.WarmUpTime || s.config.ColdStartFactor <= 1 {
		return 1
	}
	progress := float64(age) / float64(s.config.WarmUpTime)
	return s.config.ColdStartFactor - (s.config.ColdStartFactor-1)*progress
}
