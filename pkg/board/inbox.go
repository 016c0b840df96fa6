package board

import "sync/atomic"

// Inbox is a bounded queue of events for the one controller that drains it. A
// full inbox drops the event and counts it, so that a burst never blocks a
// request.
type Inbox[T any] struct {
	events  chan T
	dropped atomic.Uint64
}

// NewInbox returns an inbox that holds at most size events.
func NewInbox[T any](size int) *Inbox[T] {
	return &Inbox[T]{events: make(chan T, size)}
}

// Post enqueues an event. It returns false when the inbox is full and the event
// was dropped. Any goroutine may call it.
func (i *Inbox[T]) Post(event T) bool {
	select {
	case i.events <- event:
		return true
	default:
		i.dropped.Add(1)
		return false
	}
}

// Events returns the channel for the controller that drains the inbox.
func (i *Inbox[T]) Events() <-chan T { return i.events }

// Dropped returns the number of events dropped because the inbox was full.
func (i *Inbox[T]) Dropped() uint64 { return i.dropped.Load() }
