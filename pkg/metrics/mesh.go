package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// MeshMetrics holds the metrics of a mesh node, which runs on the deployment
// platform. It is safe for concurrent use. A nil MeshMetrics discards everything.
type MeshMetrics struct {
	scope         tally.Scope
	entryCalls    callMetricFamily
	executorCalls callMetricFamily
	crossDomain   sync.Map // cause to *crossDomainSeries
}

// NewMeshMetrics returns metrics that are registered below a scope.
func NewMeshMetrics(scope tally.Scope) *MeshMetrics {
	return &MeshMetrics{
		scope:         scope,
		entryCalls:    callMetricFamily{scope: scope, name: "mesh_calls"},
		executorCalls: callMetricFamily{scope: scope, name: "mesh_executed"},
	}
}

// callMetricFamily is a call counter and a latency histogram with one series for
// each outcome and reason.
type callMetricFamily struct {
	scope  tally.Scope
	name   string
	series sync.Map // callLabels to *callSeries
}

type callLabels struct{ outcome, reason string }

type callSeries struct {
	counter tally.Counter
	latency tally.Histogram
}

func (f *callMetricFamily) record(outcome, reason string, elapsed time.Duration) {
	key := callLabels{outcome, reason}
	stored, ok := f.series.Load(key)
	if !ok {
		scope := f.scope.Tagged(map[string]string{"outcome": outcome, "reason": reason})
		stored, _ = f.series.LoadOrStore(key, &callSeries{
			counter: scope.Counter(f.name), latency: scope.Histogram(f.name+"_seconds", latencyBuckets),
		})
	}
	series := stored.(*callSeries)
	series.counter.Inc(1)
	series.latency.RecordDuration(elapsed)
}

// RecordEntryCall records a call that the entry has responded to.
func (m *MeshMetrics) RecordEntryCall(outcome, reason string, elapsed time.Duration) {
	if m != nil {
		m.entryCalls.record(outcome, reason, elapsed)
	}
}

// RecordExecutorCall records a call that the executor has responded to.
func (m *MeshMetrics) RecordExecutorCall(outcome, reason string, elapsed time.Duration) {
	if m != nil {
		m.executorCalls.record(outcome, reason, elapsed)
	}
}

// RecordCustomerSlotTime adds to the time for which the calls of a customer held
// slots of the backend server.
func (m *MeshMetrics) RecordCustomerSlotTime(customer string, held time.Duration) {
	if m != nil {
		m.scope.Tagged(map[string]string{"customer": customer}).Counter("customer_slot_microseconds").Inc(held.Microseconds())
	}
}

// RecordCustomerRefusal counts a call of a customer that was refused.
func (m *MeshMetrics) RecordCustomerRefusal(customer, reason string) {
	m.IncrementCounter("customer_refusals", map[string]string{"customer": customer, "reason": reason})
}

// RecordConfigAge records the time from the first read of a configuration version by
// any node to its being in force at this one.
func (m *MeshMetrics) RecordConfigAge(age time.Duration) {
	if m != nil {
		m.scope.Histogram("config_age_seconds", latencyBuckets).RecordDuration(age)
	}
}

// IncrementCounter adds one to the counter with the given name and tags.
func (m *MeshMetrics) IncrementCounter(name string, tags map[string]string) {
	if m != nil {
		m.scope.Tagged(tags).Counter(name).Inc(1)
	}
}

// RecordEvacuation records a change of the evacuated failure domains: their number, the
// era of the store, and whether this node read the change from the store.
func (m *MeshMetrics) RecordEvacuation(domains int, era uint64, fromStore bool) {
	if m == nil {
		return
	}
	m.scope.Gauge("evacuated_domains").Update(float64(domains))
	m.scope.Gauge("store_era").Update(float64(era))
	source := "node"
	if fromStore {
		source = "store"
	}
	m.IncrementCounter("evacuation_changes", map[string]string{"source": source})
}

// crossDomainSeries counts messages and bytes to other failure domains.
type crossDomainSeries struct{ messages, bytes tally.Counter }

// RecordCrossDomain records a call, an exchange or another message to a different
// failure domain with its cause and the bytes of its bodies in both directions.
func (m *MeshMetrics) RecordCrossDomain(cause string, bytes int64) {
	if m == nil {
		return
	}
	stored, ok := m.crossDomain.Load(cause)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"cause": cause})
		stored, _ = m.crossDomain.LoadOrStore(cause, &crossDomainSeries{
			messages: scope.Counter("cross_domain_messages"), bytes: scope.Counter("cross_domain_bytes"),
		})
	}
	series := stored.(*crossDomainSeries)
	series.messages.Inc(1)
	series.bytes.Inc(bytes)
}
