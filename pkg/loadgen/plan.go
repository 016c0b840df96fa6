// Package loadgen is an open-loop load generator: calls start at the times of a
// seeded schedule whether or not earlier calls have ended. Latency is measured
// from the intended start, so that calls delayed by a stalled system count in
// full (no coordinated omission).
package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// DefaultMaxInFlight is the default limit on calls in flight in one run. A call
// that would exceed the limit is not sent and counts as dropped.
const DefaultMaxInFlight = 20000

// Target is one node that receives calls.
type Target struct {
	// Name labels the target in results.
	Name string
	// URL is the address of the node's listener for callers, without a path.
	URL string
}

// CallSpec describes one kind of call of the traffic mix.
type CallSpec struct {
	Service string
	Method  string
	// Path is the path below the service, starting with /.
	Path string
	// Weight sets the share of this kind: its weight divided by the sum of all
	// weights. Negative weights count as 0.
	Weight float64
	// Deadline is the time allowed for the call. It is sent to the node; 0 sends
	// none. A call whose response arrives later counts as a missed deadline.
	Deadline time.Duration
	// Priority is background, normal or critical; empty sends none.
	Priority string
	// Body is sent with each call of this kind.
	Body []byte
}

// Plan describes one run of the load generator.
type Plan struct {
	// Rate is the mean number of calls per second over all targets.
	Rate float64
	// Duration is how long new calls are started.
	Duration time.Duration
	// Warmup is the first part of Duration. Its calls are left out of the result.
	Warmup time.Duration
	Mix    []CallSpec
	// Targets are picked at random with equal probability.
	Targets []Target
	// Seed makes the schedule reproducible, including the picks of call specs and
	// targets.
	Seed uint64
	// MaxInFlight limits the calls in flight; 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// ScheduledCall is one call of the schedule.
type ScheduledCall struct {
	// Offset is the intended start relative to the start of the run.
	Offset time.Duration
	Spec   *CallSpec
	Target *Target
	// Measured is false during the warm-up.
	Measured bool
}

func (p *Plan) validate() error {
	switch {
	case p.Rate <= 0:
		return errors.New("load plan: rate must be above 0")
	case p.Duration <= 0:
		return errors.New("load plan: duration must be above 0")
	case p.Warmup < 0 || p.Warmup >= p.Duration:
		return errors.New("load plan: warm-up must be shorter than the duration")
	case len(p.Targets) == 0:
		return errors.New("load plan: no targets")
	case totalWeight(p.Mix) <= 0:
		return errors.New("load plan: the mix needs a call with a weight above 0")
	}
	return nil
}

func totalWeight(mix []CallSpec) float64 {
	total := 0.0
	for i := range mix {
		total += max(0, mix[i].Weight)
	}
	return total
}

// schedule generates the calls of a plan in order. Arrivals are a Poisson
// process.
type schedule struct {
	plan        *Plan
	rng         *rand.Rand
	totalWeight float64
	offset      time.Duration
}

func newSchedule(p *Plan) *schedule {
	return &schedule{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), totalWeight: totalWeight(p.Mix)}
}

// next returns the next call, or false at the end of the run.
func (s *schedule) next() (ScheduledCall, bool) {
	interval := s.rng.ExpFloat64() / s.plan.Rate
	s.offset += time.Duration(interval * float64(time.Second))
	if s.offset >= s.plan.Duration {
		return ScheduledCall{}, false
	}
	return ScheduledCall{
		Offset: s.offset, Spec: s.pickSpec(), Target: &s.plan.Targets[s.rng.IntN(len(s.plan.Targets))],
		Measured: s.offset >= s.plan.Warmup,
	}, true
}

func (s *schedule) pickSpec() *CallSpec {
	remaining := s.rng.Float64() * s.totalWeight
	chosen := 0
	for i := range s.plan.Mix {
		weight := max(0, s.plan.Mix[i].Weight)
		if weight == 0 {
			continue
		}
		chosen = i
		if remaining < weight {
			break
		}
		remaining -= weight
	}
	return &s.plan.Mix[chosen]
}
