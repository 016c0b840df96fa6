package metrics

import (
	"strconv"

	"github.com/uber-go/tally/v4"
)

// TrafficMetrics holds the metrics of calls, attempts, admission, load probes and
// breakers. They are safe for concurrent use; an increment is one atomic
// addition.
type TrafficMetrics struct {
	// callsByOutcome is indexed by the numeric value of the outcome.
	callsByOutcome []tally.Counter

	// Picks counts load balancing picks that returned an instance,
	// PicksWithoutInstance those that found none available.
	Picks                tally.Counter
	PicksWithoutInstance tally.Counter
	// Retries and Hedges count additional attempts, HedgesWon the hedges whose
	// response was used.
	Retries   tally.Counter
	Hedges    tally.Counter
	HedgesWon tally.Counter
	// AdmissionRejections counts calls that the executor refused, AdmissionQueued
	// those that it queued first.
	AdmissionRejections tally.Counter
	AdmissionQueued     tally.Counter

	// ProbesSent and ProbesFailed count the probes that this node sends,
	// ProbesAnswered and ProbesRefused those that it receives. ProbeBytes is the
	// total size of the probes sent and answered.
	ProbesSent     tally.Counter
	ProbesFailed   tally.Counter
	ProbesAnswered tally.Counter
	ProbesRefused  tally.Counter
	ProbeBytes     tally.Counter

	// BreakersOpened counts transitions to open; BreakersNotClosed is the number
	// of instances whose breaker is open or half-open.
	BreakersOpened    tally.Counter
	BreakersNotClosed tally.Gauge
	// ConcurrencyLimit is the concurrency limit of the executor.
	ConcurrencyLimit tally.Gauge
}

// NewTrafficMetrics returns metrics that are registered below a scope. The outcome
// names are listed in the order of their numeric values.
func NewTrafficMetrics(scope tally.Scope, outcomeNames []string) *TrafficMetrics {
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
	for _, name := range outcomeNames {
		t.callsByOutcome = append(t.callsByOutcome, scope.Tagged(map[string]string{"outcome": name}).Counter("calls"))
	}
	return t
}

// CountCall counts a call that has ended at its entry, given the numeric value
// of its outcome.
func (t *TrafficMetrics) CountCall(outcome uint8) {
	if int(outcome) < len(t.callsByOutcome) {
		t.callsByOutcome[outcome].Inc(1)
	}
}

// NewNoopTrafficMetrics returns metrics that are discarded, for components that
// run without a node.
func NewNoopTrafficMetrics(outcomeCount int) *TrafficMetrics {
	names := make([]string, outcomeCount)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return NewTrafficMetrics(tally.NoopScope, names)
}
