package backendserver

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The factor on the service time holds for 5 to 50 ms.
const (
	minSwing = 5 * time.Millisecond
	maxSwing = 50 * time.Millisecond
)

// swing draws the factor on the service time from a seeded source.
type swing struct {
	limit float64

	mu     sync.Mutex
	random *rand.Rand
	until  time.Time
	factor float64
}

func newSwing(limit float64, seed uint64) *swing {
	return &swing{limit: max(limit, 1), random: rand.New(rand.NewPCG(seed, 0)), factor: 1}
}

// at returns the factor in force at a time, between 1 and the limit.
func (s *swing) at(now time.Time) float64 {
	if s.limit == 1 {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.until) {
		return s.factor
	}
	s.until = now.Add(minSwing + time.Duration(s.random.Int64N(int64(maxSwing-minSwing))))
	s.factor = 1 + s.random.Float64()*(s.limit-1)
	return s.factor
}

// serviceTime returns how long a call that starts now holds its slot.
func (s *Server) serviceTime(faults *Faults, now time.Time) time.Duration {
	factor := s.swing.at(now) * s.coldFactor(now)
	if faults.SlowFactor > 0 {
		factor *= faults.SlowFactor
	}
	return time.Duration(float64(s.config.ServiceTime) * factor)
}

// coldFactor falls from ColdFactor to 1 over the cold start.
func (s *Server) coldFactor(now time.Time) float64 {
	age := now.Sub(s.started)
	if age >= s.config.WarmUpTime || s.config.ColdStartFactor <= 1 {
		return 1
	}
	warm := float64(age) / float64(s.config.WarmUpTime)
	return s.config.ColdStartFactor - (s.config.ColdStartFactor-1)*warm
}
