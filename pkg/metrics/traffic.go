package metrics

import (
	"strconv"

	"github.com/uber-go/tally/v4"
)

// TrafficMetrics holds the counters of calls and their control. Any goroutine may
// use them; an increment is one atomic addition.
type TrafficMetrics struct {
	// outcomes is indexed by the number of the outcome.
	outcomes []tally.Counter

	// Picks and NoPick count choices of an instance and choices without one.
	Picks                tally.Counter
	PicksWithoutInstance tally.Counter
	// Retries and Hedges count additional attempts, HedgeWins the hedges whose
	// answer was used.
	Retries   tally.Counter
	Hedges    tally.Counter
	HedgesWon tally.Counter
	// AdmissionRejections and Queued count calls that the executor refused or made wait.
	AdmissionRejections tally.Counter
	AdmissionQueued     tally.Counter

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
	// ConcurrencyLimit is the concurrency limit of the executor.
	ConcurrencyLimit tally.Gauge
}

// NewTrafficMetrics registers the counters. Outcomes are the names of the outcomes of
// calls in the order of their numbers.
func NewTrafficMetrics(scope tally.Scope, outcomes []string) *TrafficMetrics {
	t := &TrafficMetrics{
		Picks: scope.Counter("picks"), PicksWithoutInstance: scope.Counter("picks_without_instance"),
		Retries: scope.Counter("retries"), Hedges: scope.Counter("hedges"), HedgesWon: scope.Counter("hedges_won"),
		AdmissionRejections: scope.Counter("admission_rejections"), AdmissionQueued: scope.Counter("admission_queued"),
		ProbesSent: scope.Counter("probes_sent"), ProbesFailed: scope.Counter("probes_failed"),
		ProbesAnswered: scope.Counter("probes_answered"), ProbesRefused: scope.Counter("probes_refused"),
		ProbeBytes:     scope.Counter("probe_bytes"),
		BreakersOpened: scope.Counter("breakers_opened"), BreakersNotClosed: scope.Gauge("breakers_not_closed"),
		ConcurrencyLimit: scope.Gauge("admission_limit"),
	}
	for _, name := range outcomes {
		t.outcomes = append(t.outcomes, scope.Tagged(map[string]string{"outcome": name}).Counter("calls"))
	}
	return t
}

// CountCall counts the end of a call at its entry by the number of its outcome.
func (t *TrafficMetrics) CountCall(outcome uint8) {
	if int(outcome) < len(t.outcomes) {
		t.outcomes[outcome].Inc(1)
	}
}

// NewNoopTrafficMetrics returns counters that go nowhere, for parts that run without a node.
func NewNoopTrafficMetrics(outcomes int) *TrafficMetrics {
	names := make([]string, outcomes)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return NewTrafficMetrics(tally.NoopScope, names)
}
