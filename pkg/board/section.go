// Package board is the blackboard that the controllers and the request path of
// a node share.
//
// It holds typed sections. A section is an immutable snapshot behind an atomic
// pointer, with exactly one writing controller and any number of readers.
// Readers on the request path load the pointer once and take no lock. Events
// enter through bounded inboxes, each drained by one controller.
//
// A node runs beside each backend server. In a call, the entry is the node that
// received the call from the caller, and the executor is the node that sends it
// to its backend server; both may be the same node. The home of an idempotency
// key is the node that keeps the records of the key and grants its execution.
package board

import (
	"slices"
	"sync"
	"sync/atomic"

	"mangostand.example/mangostand/pkg/guard"
)

// Snapshot is one published value of a section.
type Snapshot[T any] struct {
	// Version is the number of publications so far, 0 for the initial value.
	Version uint64
	// Value must not be modified after publication.
	Value T
}

// Section publishes immutable snapshots of one kind of state. Any goroutine
// may read it; only the holder of its Writer may publish. Use NewSection to
// create one.
type Section[T any] struct {
	name    string
	current atomic.Pointer[Snapshot[T]]
	owner   atomic.Pointer[string]

	subscribeMu sync.Mutex
	subscribers atomic.Pointer[[]chan struct{}]
}

// NewSection returns a section with the initial value at version 0.
func NewSection[T any](name string, initial T) *Section[T] {
	s := &Section[T]{name: name}
	s.current.Store(&Snapshot[T]{Value: initial})
	return s
}

// Load returns the current value. It never blocks.
func (s *Section[T]) Load() T {
	return s.current.Load().Value
}

// Snapshot returns the current value together with its version.
func (s *Section[T]) Snapshot() *Snapshot[T] {
	return s.current.Load()
}

// Name returns the name of the section, as used in the design document.
func (s *Section[T]) Name() string { return s.name }

// Owner returns the name of the controller that claimed the section, or "".
func (s *Section[T]) Owner() string {
	if o := s.owner.Load(); o != nil {
		return *o
	}
	return ""
}

// Claim returns the only writer of the section. It panics when the section is
// already claimed, because each section has exactly one writer.
func (s *Section[T]) Claim(controller string) *Writer[T] {
	if !s.owner.CompareAndSwap(nil, &controller) {
		guard.Invariantf("board: section %s is written by %s, %s cannot claim it", s.name, s.Owner(), controller)
	}
	return &Writer[T]{section: s}
}

// Subscribe returns a channel that is notified after each publication.
// Notifications coalesce, so the receiver loads the section to get the latest
// value.
func (s *Section[T]) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.subscribeMu.Lock()
	defer s.subscribeMu.Unlock()
	var next []chan struct{}
	if old := s.subscribers.Load(); old != nil {
		next = append(next, *old...)
	}
	next = append(next, ch)
	s.subscribers.Store(&next)
	return ch
}

// Unsubscribe ends the notifications of a channel that Subscribe returned.
func (s *Section[T]) Unsubscribe(ch <-chan struct{}) {
	s.subscribeMu.Lock()
	defer s.subscribeMu.Unlock()
	old := s.subscribers.Load()
	if old == nil {
		return
	}
	next := slices.DeleteFunc(slices.Clone(*old), func(c chan struct{}) bool { return c == ch })
	s.subscribers.Store(&next)
}

// notify wakes the subscribers without blocking.
func (s *Section[T]) notify() {
	subscribers := s.subscribers.Load()
	if subscribers == nil {
		return
	}
	for _, ch := range *subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Writer publishes the snapshots of one section. Only the controller that
// claimed the section may use it, from one goroutine at a time.
type Writer[T any] struct {
	section *Section[T]
}

// Publish replaces the value of the section and notifies the subscribers. The
// value must not be modified afterwards.
func (w *Writer[T]) Publish(value T) {
	next := &Snapshot[T]{Version: w.section.current.Load().Version + 1, Value: value}
	w.section.current.Store(next)
	w.section.notify()
}

// Load returns the latest published value.
func (w *Writer[T]) Load() T { return w.section.Load() }
