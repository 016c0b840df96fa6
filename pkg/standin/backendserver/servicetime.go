package backendserver

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The factor on the service time holds for 5 to 50 ms.
const (
	minVariationPeriod = 5 * time.Millisecond
	maxVariationPeriod = 50 * time.Millisecond
)

// serviceTimeVariation draws the factor on the service time from a seeded source.
type serviceTimeVariation struct {
	maxFactor float64

	mu         sync.Mutex
	rng        *rand.Rand
	validUntil time.Time
	factor     float64
}

func newServiceTimeVariation(limit float64, seed uint64) *serviceTimeVariation {
	return &serviceTimeVariation{maxFactor: max(limit, 1), rng: rand.New(rand.NewPCG(seed, 0)), factor: 1}
}

// factorAt returns the factor in force factorAt a time, between 1 and the limit.
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

// serviceTime returns how long a call that starts now holds its slot.
func (s *Server) serviceTime(faults *Faults, now time.Time) time.Duration {
	factor := s.variation.factorAt(now) * s.warmUpFactor(now)
	if faults.SlowFactor > 0 {
		factor *= faults.SlowFactor
	}
	return time.Duration(float64(s.config.ServiceTime) * factor)
}

// warmUpFactor falls from ColdFactor to 1 over the cold start.
func (s *Server) warmUpFactor(now time.Time) float64 {
	age := now.Sub(s.startTime)
	if age >= s.config.WarmUpTime || s.config.ColdStartFactor <= 1 {
		return 1
	}
	progress := float64(age) / float64(s.config.WarmUpTime)
	return s.config.ColdStartFactor - (s.config.ColdStartFactor-1)*progress
}
