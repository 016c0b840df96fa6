package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// MeshMetrics counts the calls of a node on the platform. A nil MeshMetrics counts nothing.
type MeshMetrics struct {
	scope    tally.Scope
	calls    family
	executed family
}

// NewMeshMetrics registers the counters below a scope.
func NewMeshMetrics(scope tally.Scope) *MeshMetrics {
	return &MeshMetrics{
		scope:    scope,
		calls:    family{scope: scope, name: "mesh_calls"},
		executed: family{scope: scope, name: "mesh_executed"},
	}
}

// family is a counter and a latency histogram by outcome and reason.
type family struct {
	scope   tally.Scope
	name    string
	entries sync.Map // of familyKey to *familyEntry
}

type familyKey struct{ outcome, reason string }

type familyEntry struct {
	counter tally.Counter
	latency tally.Histogram
}

func (f *family) record(outcome, reason string, took time.Duration) {
	key := familyKey{outcome, reason}
	v, ok := f.entries.Load(key)
	if !ok {
		scope := f.scope.Tagged(map[string]string{"outcome": outcome, "reason": reason})
		v, _ = f.entries.LoadOrStore(key, &familyEntry{
			counter: scope.Counter(f.name), latency: scope.Histogram(f.name+"_seconds", latencyBuckets),
		})
	}
	entry := v.(*familyEntry)
	entry.counter.Inc(1)
	entry.latency.RecordDuration(took)
}

// RecordEntryCall counts a call that the entry has answered.
func (m *MeshMetrics) RecordEntryCall(outcome, reason string, took time.Duration) {
	if m != nil {
		m.calls.record(outcome, reason, took)
	}
}

// RecordExecutorCall counts a call that the executor has answered.
func (m *MeshMetrics) RecordExecutorCall(outcome, reason string, took time.Duration) {
	if m != nil {
		m.executed.record(outcome, reason, took)
	}
}

// IncrementCounter adds one to a counter with tags.
func (m *MeshMetrics) IncrementCounter(name string, tags map[string]string) {
	if m != nil {
		m.scope.Tagged(tags).Counter(name).Inc(1)
	}
}
