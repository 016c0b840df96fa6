package board

import (
	"runtime"
	"sync/atomic"

	"mangostand.example/mangostand/pkg/decide/bodies"
)

// minCollectedBytes is the size from which a released body counts until the garbage
// collector has run. Smaller ones are a small part of what is collected anyway.
const minCollectedBytes = 64 << 10

// HeldBodies counts the bytes of the request bodies that a node holds in its memory.
type HeldBodies struct {
	// Bound is the largest number of bytes, 0 for no bound. It is not changed while the
	// node runs.
	Bound int64

	held atomic.Int64
	// uncollected counts the bytes of large bodies that were released since the latest
	// collection. They may still take memory.
	uncollected atomic.Int64
	// collecting holds a value while a goroutine collects garbage.
	collecting chan struct{}
}

// NewHeldBodies returns a counter with a bound in bytes, 0 for none.
func NewHeldBodies(bound int64) *HeldBodies {
	return &HeldBodies{Bound: bound, collecting: make(chan struct{}, 1)}
}

// Held returns the number of bytes that are held.
func (b *HeldBodies) Held() int64 { return b.held.Load() }

// Reserve reports whether a body of a size may be held, and counts it if so. It may
// collect garbage, which takes milliseconds, if the body fits only without released
// bodies.
func (b *HeldBodies) Reserve(size int64) bool {
	for {
		held, uncollected := b.held.Load(), b.uncollected.Load()
		switch {
		case bodies.Accept(size, held+uncollected, b.Bound):
			if b.held.CompareAndSwap(held, held+size) {
				return true
			}
		case uncollected > 0 && bodies.Accept(size, held, b.Bound):
			b.collect()
		default:
			return false
		}
	}
}

// Release ends the holding of bytes.
func (b *HeldBodies) Release(size int64) {
	if size >= minCollectedBytes && b.Bound > 0 {
		b.uncollected.Add(size)
	}
	b.held.Add(-size)
}

// collect frees the memory of released bodies.
func (b *HeldBodies) collect() {
	b.collecting <- struct{}{}
	if released := b.uncollected.Load(); released > 0 {
		runtime.GC()
		b.uncollected.Add(-released)
	}
	<-b.collecting
}
