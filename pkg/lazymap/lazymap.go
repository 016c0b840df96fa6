// Package lazymap provides a concurrent map whose values are created on first use.
package lazymap

import "sync"

// Map maps keys to values that are created as zero values when they are first needed
// and are never removed. Lookups of existing keys take no lock. The zero Map is empty.
type Map[K comparable, V any] struct{ values sync.Map } // of K to *V

// Get returns the value of a key and creates it when needed.
func (m *Map[K, V]) Get(key K) *V {
	if v, ok := m.values.Load(key); ok {
		return v.(*V)
	}
	v, _ := m.values.LoadOrStore(key, new(V))
	return v.(*V)
}

// Find returns the value of a key, or nil if it was never needed.
func (m *Map[K, V]) Find(key K) *V {
	if v, ok := m.values.Load(key); ok {
		return v.(*V)
	}
	return nil
}

// All calls yield with each key and its value, in no particular order, until it returns
// false.
func (m *Map[K, V]) All(yield func(K, *V) bool) {
	m.values.Range(func(key, value any) bool { return yield(key.(K), value.(*V)) })
}
