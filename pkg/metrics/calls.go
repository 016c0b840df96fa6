package metrics

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"mangostand.example/mangostand/pkg/board"
)

// latencyBuckets resolve the added latency of some tenths of a millisecond as
// well as deadlines of some seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

// Calls counts the finished calls of an entry by service and outcome. Any
// goroutine may use it.
type Calls struct {
	scope tally.Scope
	// byService is replaced as a whole when a service is new, so that the path
	// of a request takes no lock.
	byService atomic.Pointer[map[string]*serviceCalls]
	mu        sync.Mutex
}

// serviceCalls holds the figures of one service. The counters are indexed by
// outcome.
type serviceCalls struct {
	outcomes [board.OutcomeUnknown + 1]tally.Counter
	latency  tally.Histogram
}

// NewCallMetrics returns the call figures below a scope.
func NewCallMetrics(scope tally.Scope) *Calls {
	c := &Calls{scope: scope}
	c.byService.Store(&map[string]*serviceCalls{})
	return c
}

// CallFinished counts a call. The service must be one of the configuration or
// a fixed word, since each name stays in memory. An elapsed time of 0 is not
// counted as a latency.
func (c *Calls) CallFinished(service string, outcome board.Outcome, elapsed time.Duration) {
	s := (*c.byService.Load())[service]
	if s == nil {
		s = c.add(service)
	}
	if outcome > board.OutcomeNone && int(outcome) < len(s.outcomes) {
		s.outcomes[outcome].Inc(1)
	}
	if elapsed > 0 {
		s.latency.RecordDuration(elapsed)
	}
}

// add creates the figures of a new service.
func (c *Calls) add(service string) *serviceCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.byService.Load()
	if s := old[service]; s != nil {
		return s
	}
	scope := c.scope.Tagged(map[string]string{"service": service})
	s := &serviceCalls{latency: scope.Histogram("call_latency_seconds", latencyBuckets)}
	for outcome := board.OutcomeSucceeded; outcome <= board.OutcomeUnknown; outcome++ {
		s.outcomes[outcome] = scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("calls_total")
	}
	next := maps.Clone(old)
	next[service] = s
	c.byService.Store(&next)
	return s
}
