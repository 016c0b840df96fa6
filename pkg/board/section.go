// Package board is the blackboard that all controllers and the call path share.
//
// It holds typed sections. A section is an immutable snapshot behind an atomic
// pointer with exactly one writing controller and any number of readers.
// Readers on the path of a request load a pointer once and take no lock.
// Events from outside enter through bounded inboxes, each drained by one
// controller.
package board

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Snapshot is one published, immutable value of a section.
type Snapshot[T any] struct {
	// Version counts the publications of the section, starting at 1.
	Version uint64
	// Value must not be changed after publication.
	Value T
}

// Section publishes immutable snapshots of one kind of state. Any goroutine
// may read it; only the holder of its Writer may publish. The zero value is
// not usable, see NewSection.
type Section[T any] struct {
	name    string
	current atomic.Pointer[Snapshot[T]]
	owner   atomic.Pointer[string]

	subscribeMu sync.Mutex
	subscribers atomic.Pointer[[]chan struct{}]
}

// NewSection returns a section that holds initial at version 0.
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

// Name returns the name of the section as it stands in the design page.
func (s *Section[T]) Name() string { return s.name }

// Owner returns the name of the controller that writes the section, or "".
func (s *Section[T]) Owner() string {
	if o := s.owner.Load(); o != nil {
		return *o
	}
	return ""
}

// Claim hands out the only writer of the section. A second claim breaks the
// invariant that each section has one writer, so it panics.
func (s *Section[T]) Claim(controller string) *Writer[T] {
	if !s.owner.CompareAndSwap(nil, &controller) {
		panic(fmt.Sprintf("board: section %s is written by %s, %s cannot claim it",
			s.name, s.Owner(), controller))
	}
	return &Writer[T]{section: s}
}

// Subscribe returns a channel that receives a notification after a
// publication. Notifications coalesce: the reader loads the section to see the
// newest value. The subscription lasts as long as the section.
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
// claimed it may use it, from one goroutine at a time.
type Writer[T any] struct {
	section *Section[T]
}

// Publish replaces the value of the section and notifies its subscribers. The
// value must not be changed afterwards.
func (w *Writer[T]) Publish(value T) {
	next := &Snapshot[T]{Version: w.section.current.Load().Version + 1, Value: value}
	w.section.current.Store(next)
	w.section.notify()
}

// Load returns the value that was published last.
func (w *Writer[T]) Load() T { return w.section.Load() }
