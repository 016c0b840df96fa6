package nesting

import (
	"math"
	"time"
)

// loadDecay is the time constant with which Load forgets.
const loadDecay = time.Second

// Load is the mean number of nested calls that a backend server has run at once lately.
// The zero value is no load.
type Load struct {
	// value is the time on slots within loadDecay, as a multiple of it, at a time.
	value float64
	at    time.Time
}

// Add returns the load after a nested call that held a slot for a time.
func (l Load) Add(held time.Duration, now time.Time) Load {
	return Load{value: l.Mean(now) + float64(held)/float64(loadDecay), at: now}
}

// Mean returns the load at a time.
func (l Load) Mean(now time.Time) float64 {
	return l.value * math.Exp(-float64(max(0, now.Sub(l.at)))/float64(loadDecay))
}

const (
	// minReservedLoad is the load below which no slot is reserved: nested calls are too
	// rare to wait for each other.
	minReservedLoad = 0.5
	// reserveHeadroom is the factor by which the reserved slots exceed the mean load.
	// Nested calls come in groups, and a load that is measured on too few slots would
	// shrink with them.
	reserveHeadroom = 1.3
	// maxReservedShare bounds the slots that are reserved for nested calls.
	maxReservedShare = 0.5
)

// ReservedSlots returns how many of the slots of a backend server only nested calls may
// use. Other calls hold their slots while nested calls of their own wait, so that a
// shortage at one service would otherwise fill the slots of those before it, and with
// them block nested calls that have nothing to do with it.
func ReservedSlots(load float64, slots int) int {
	if load < minReservedLoad {
		return 0
	}
	return min(int(math.Ceil(reserveHeadroom*load)), int(maxReservedShare*float64(slots)))
}
