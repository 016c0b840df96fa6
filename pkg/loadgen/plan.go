// Package loadgen generates load for measurements. It is open loop: calls
// start at the times of a seeded schedule whether or not earlier calls have
// ended, and latency counts from the intended start, so that a stalled system
// does not hide the calls it delayed (coordinated omission).
package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// DefaultMaxInFlight bounds the calls in flight of one run. A call that finds
// the bound reached counts as dropped.
const DefaultMaxInFlight = 20000

// Target is one node that receives calls.
type Target struct {
	// Name labels the target in results.
	Name string
	// URL is the address of the node's listener for callers, without a path.
	URL string
}

// CallSpec is one kind of call of a mix.
type CallSpec struct {
	Service string
	Method  string
	// Path is the path below the service, starting with /.
	Path string
	// Weight is the share of the kind relative to the sum of all weights.
	Weight float64
	// Deadline is sent to the node; 0 sends none. A call whose answer arrives
	// later counts as a missed deadline.
	Deadline time.Duration
	// Priority is background, normal or critical; empty sends none.
	Priority string
	// Body is sent with each call of this kind.
	Body []byte
}

// Plan describes one run.
type Plan struct {
	// Rate is the mean number of calls per second over all targets.
	Rate float64
	// Duration is how long calls are started.
	Duration time.Duration
	// Warmup is the first part of Duration, whose calls are not counted.
	Warmup time.Duration
	Mix    []CallSpec
	// Targets receive calls in random order with equal shares.
	Targets []Target
	// Seed fixes the schedule, the mix and the targets.
	Seed uint64
	// MaxInFlight bounds the calls in flight, 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// ScheduledCall is one call of the schedule.
type ScheduledCall struct {
	// At is the intended start since the begin of the run.
	At     time.Duration
	Spec   *CallSpec
	Target *Target
	// Counted is false during the warm-up.
	Counted bool
}

func (p *Plan) check() error {
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

// schedule produces the shots of a plan in order. Arrivals are a Poisson
// process.
type schedule struct {
	plan   *Plan
	random *rand.Rand
	total  float64
	at     time.Duration
}

func newSchedule(p *Plan) *schedule {
	return &schedule{plan: p, random: rand.New(rand.NewPCG(p.Seed, 1)), total: totalWeight(p.Mix)}
}

// next returns the next shot, or false at the end of the run.
func (s *schedule) next() (ScheduledCall, bool) {
	gap := s.random.ExpFloat64() / s.plan.Rate
	s.at += time.Duration(gap * float64(time.Second))
	if s.at >= s.plan.Duration {
		return ScheduledCall{}, false
	}
	return ScheduledCall{
		At: s.at, Spec: s.pickCall(), Target: &s.plan.Targets[s.random.IntN(len(s.plan.Targets))],
		Counted: s.at >= s.plan.Warmup,
	}, true
}

func (s *schedule) pickCall() *CallSpec {
	rest := s.random.Float64() * s.total
	last := 0
	for i := range s.plan.Mix {
		weight := max(0, s.plan.Mix[i].Weight)
		if weight == 0 {
			continue
		}
		last = i
		if rest < weight {
			break
		}
		rest -= weight
	}
	return &s.plan.Mix[last]
}
