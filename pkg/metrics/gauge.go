package metrics

// SetGauge sets the gauge with the given name and tags.
func (m *MeshMetrics) SetGauge(name string, tags map[string]string, value float64) {
	if m != nil {
		m.scope.Tagged(tags).Gauge(name).Update(value)
	}
}

// AddToCounter adds a number to the counter with the given name and tags.
func (m *MeshMetrics) AddToCounter(name string, tags map[string]string, n int64) {
	if m != nil {
		m.scope.Tagged(tags).Counter(name).Inc(n)
	}
}
