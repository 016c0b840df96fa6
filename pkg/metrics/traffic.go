package metrics

import (
	"strconv"

	"github.com/uber-go/tally/v4"
)

// Traffic holds the counters of calls and their control. Any goroutine may
// use them; an increment is one atomic addition.
type Traffic struct {
	// outcomes is indexed by the number of the outcome.
	outcomes []tally.Counter

	// Picks and NoPick count choices of an instance and choices without one.
	Picks  tally.Counter
	NoPick tally.Counter
	// Retries and Hedges count additional attempts, HedgeWins the hedges whose
	// answer was used.
	Retries   tally.Counter
	Hedges    tally.Counter
	HedgeWins tally.Counter
	// Rejections and Queued count calls that the executor refused or made wait.
	Rejections tally.Counter
	Queued     tally.Counter

	// ProbesSent and ProbesFailed count probes of this node, ProbesAnswered and
	// ProbesRefused those of others. ProbeBytes sums up both directions.
	ProbesSent     tally.Counter
	ProbesFailed   tally.Counter
	ProbesAnswered tally.Counter
	ProbesRefused  tally.Counter
	ProbeBytes     tally.Counter

	// BreakersOpened counts changes to open; BreakersNotClosed is the number of
	// instances whose breaker is open or half open.
	BreakersOpened    tally.Counter
	BreakersNotClosed tally.Gauge
	// Limit is the concurrency limit of the executor.
	Limit tally.Gauge
}

// NewTraffic registers the counters. Outcomes are the names of the outcomes of
// calls in the order of their numbers.
func NewTraffic(scope tally.Scope, outcomes []string) *Traffic {
	t := &Traffic{
		Picks: scope.Counter("picks"), NoPick: scope.Counter("picks_without_instance"),
		Retries: scope.Counter("retries"), Hedges: scope.Counter("hedges"), HedgeWins: scope.Counter("hedges_won"),
		Rejections: scope.Counter("admission_rejections"), Queued: scope.Counter("admission_queued"),
		ProbesSent: scope.Counter("probes_sent"), ProbesFailed: scope.Counter("probes_failed"),
		ProbesAnswered: scope.Counter("probes_answered"), ProbesRefused: scope.Counter("probes_refused"),
		ProbeBytes:     scope.Counter("probe_bytes"),
		BreakersOpened: scope.Counter("breakers_opened"), BreakersNotClosed: scope.Gauge("breakers_not_closed"),
		Limit: scope.Gauge("admission_limit"),
	}
	for _, name := range outcomes {
		t.outcomes = append(t.outcomes, scope.Tagged(map[string]string{"outcome": name}).Counter("calls"))
	}
	return t
}

// Call counts the end of a call at its entry by the number of its outcome.
func (t *Traffic) Call(outcome uint8) {
	if int(outcome) < len(t.outcomes) {
		t.outcomes[outcome].Inc(1)
	}
}

// Discard returns counters that go nowhere, for parts that run without a node.
func Discard(outcomes int) *Traffic {
	names := make([]string, outcomes)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return NewTraffic(tally.NoopScope, names)
}
