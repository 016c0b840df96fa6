package metrics

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"mangostand.example/mangostand/pkg/board"
)

// latencyBuckets range from 250 µs to about 8 s, so that they resolve both the
// added latency of some tenths of a millisecond and deadlines of some seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

// CallMetrics counts the finished calls of an entry by service and outcome and
// records their latency by service. It is safe for concurrent use.
type CallMetrics struct {
	scope tally.Scope
	// byService is copied and replaced when a service is added, so that the
	// request path takes no lock.
	byService atomic.Pointer[map[string]*serviceMetrics]
	mu        sync.Mutex
}

// serviceMetrics holds the metrics of one service. The counters are indexed by
// outcome.
type serviceMetrics struct {
	outcomes [board.OutcomeUnknown + 1]tally.Counter
	latency  tally.Histogram
}

// NewCallMetrics returns call metrics that are registered below a scope.
func NewCallMetrics(scope tally.Scope) *CallMetrics {
	c := &CallMetrics{scope: scope}
	c.byService.Store(&map[string]*serviceMetrics{})
	return c
}

// CallFinished implements call.Observer. The service must be a configured one
// or a constant, because the series of each name stay in memory. An elapsed time
// of 0 is not recorded as a latency.
func (c *CallMetrics) CallFinished(service string, outcome board.Outcome, elapsed time.Duration) {
	s := (*c.byService.Load())[service]
	if s == nil {
		s = c.addService(service)
	}
	if outcome > board.OutcomeNone && int(outcome) < len(s.outcomes) {
		s.outcomes[outcome].Inc(1)
	}
	if elapsed > 0 {
		s.latency.RecordDuration(elapsed)
	}
}

// addService registers the metrics of a service, unless another goroutine has
// done so.
func (c *CallMetrics) addService(service string) *serviceMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.byService.Load()
	if s := old[service]; s != nil {
		return s
	}
	scope := c.scope.Tagged(map[string]string{"service": service})
	s := &serviceMetrics{latency: scope.Histogram("call_latency_seconds", latencyBuckets)}
	for outcome := board.OutcomeSucceeded; outcome <= board.OutcomeUnknown; outcome++ {
		s.outcomes[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("calls_total")
	}
	next := maps.Clone(old)
	next[service] = s
	c.byService.Store(&next)
	return s
}
