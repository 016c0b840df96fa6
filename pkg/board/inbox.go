package board

import "sync/atomic"

// Inbox carries events from listeners and the call path to the one controller
// that drains it. It is bounded: a full inbox drops the event and counts it,
// so that a burst never blocks a request.
type Inbox[T any] struct {
	events  chan T
	dropped atomic.Uint64
}

// NewInbox returns an inbox that holds at most size events.
func NewInbox[T any](size int) *Inbox[T] {
	return &Inbox[T]{events: make(chan T, size)}
}

// Post adds an event and reports whether there was room for it. Any goroutine
// may call it.
func (i *Inbox[T]) Post(event T) bool {
	select {
	case i.events <- event:
		return true
	default:
		i.dropped.Add(1)
		return false
	}
}

// Events returns the channel that the owning controller reads.
func (i *Inbox[T]) Events() <-chan T { return i.events }

// Dropped returns how many events were lost because the inbox was full.
func (i *Inbox[T]) Dropped() uint64 { return i.dropped.Load() }
