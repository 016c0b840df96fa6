package nesting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The reservation must follow the nested calls that a server runs, and must not keep
// slots empty on a server that runs none.
func TestReservedSlotsFollowTheNestedLoad(t *testing.T) {
	now := time.Unix(0, 0)
	var load Load
	require.Zero(t, ReservedSlots(load.Mean(now), 8))
	for range 400 { // 80 nested calls per second of 31 ms
		now = now.Add(12500 * time.Microsecond)
		load = load.Add(31*time.Millisecond, now)
	}
	require.InDelta(t, 2.5, load.Mean(now), 0.1)
	require.Equal(t, 4, ReservedSlots(load.Mean(now), 8))
	require.Equal(t, 4, ReservedSlots(20, 8), "other calls keep half of the slots")
	require.Zero(t, ReservedSlots(load.Mean(now.Add(3*time.Second)), 8))
}

// Plays two services: parents on 8 slots that make nested calls at a slow service, and
// nested calls of other parents that need the same slots for 30 ms. While the slow
// service takes a second for each call, parents hold every slot that they may use;
// without reserved slots no nested call would run.
func TestParentsLeaveSlotsForNestedCalls(t *testing.T) {
	now := time.Unix(0, 0)
	var load Load
	const slots = 8
	nestedRun, nestedOffered := 0, 0
	var nestedEnds []time.Time
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		parents := slots - ReservedSlots(load.Mean(now), slots)
		var running []time.Time
		for _, end := range nestedEnds {
			if end.After(now) {
				running = append(running, end)
			}
		}
		nestedEnds = running
		nestedOffered++
		if nestedOffered <= 100 || parents+len(nestedEnds) < slots { // calm for the first second
			nestedRun++
			nestedEnds = append(nestedEnds, now.Add(30*time.Millisecond))
			load = load.Add(30*time.Millisecond, now)
		}
	}
	require.Greater(t, float64(nestedRun)/float64(nestedOffered), 0.9)
}
