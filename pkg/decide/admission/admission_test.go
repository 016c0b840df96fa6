package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// repeatWindow returns the state after the same window several times.
func repeatWindow(s State, w Window, slots uint32, times int) State {
	for range times {
		s = Next(s, w, slots)
	}
	return s
}

// Guards against a limit that leaves slots unused, exceeds them, or follows
// the varying speed of a shared host.
func TestLimitConvergesToSlots(t *testing.T) {
	busy := Window{Calls: 100, Median: 10 * time.Millisecond, PeakInFlight: 10}
	s := repeatWindow(InitialState(10), busy, 10, 20)
	require.Equal(t, 10.0, s.Limit)
	busy.Median = 30 * time.Millisecond
	require.Equal(t, 10.0, Next(s, busy, 10).Limit)
}

// Guards against a limit that keeps an overloaded server overloaded, and
// against one that falls to zero.
func TestLimitDecreasesOnOverload(t *testing.T) {
	normal := Window{Calls: 100, Median: 10 * time.Millisecond, PeakInFlight: 10}
	s := repeatWindow(InitialState(10), normal, 10, 20)
	shedding := normal
	shedding.Shed = 20
	require.Less(t, Next(s, shedding, 10).Limit, 8.1)
	slow := normal
	slow.Median = 100 * time.Millisecond
	require.Equal(t, 10.0, repeatWindow(s, slow, 10, slowWindowsToDecrease-1).Limit, "a pause of the host is not an overload")
	require.Less(t, repeatWindow(s, slow, 10, slowWindowsToDecrease).Limit, 10.0)
	require.Equal(t, 2.5, repeatWindow(s, shedding, 10, 100).Limit)
}

// Guards against background calls that fill the queue, and against calls that
// wait for a slot that they can't get in time.
func TestAdmit(t *testing.T) {
	admission := &board.Admission{ConcurrencyLimit: 10, MaxQueueLength: 20, MaxQueueWait: 100 * time.Millisecond}
	const s = time.Second
	ms := time.Millisecond
	require.Positive(t, Admit(Queue{Waiting: 9}, dynconf.PriorityBackground, s, admission).Wait)
	require.Equal(t, board.ReasonShedByPriority, Admit(Queue{Waiting: 10}, dynconf.PriorityBackground, s, admission).Reason)
	require.Positive(t, Admit(Queue{Waiting: 19}, dynconf.PriorityNormal, s, admission).Wait)
	require.Equal(t, board.ReasonOverloaded, Admit(Queue{Waiting: 20}, dynconf.PriorityNormal, s, admission).Reason)
	require.True(t, Admit(Queue{Waiting: 20, HasLowerPriority: true}, dynconf.PriorityCritical, s, admission).Evict)
	require.Equal(t, 30*ms, Admit(Queue{ServiceTime: 10 * ms}, dynconf.PriorityNormal, 40*ms, admission).Wait)
	require.Equal(t, board.ReasonOverloaded, Admit(Queue{ServiceTime: 50 * ms}, dynconf.PriorityNormal, 40*ms, admission).Reason)
	require.Equal(t, board.ReasonOverloaded, Admit(Queue{Waiting: 19, Ahead: 19, ServiceTime: 80 * ms}, dynconf.PriorityNormal, s, admission).Reason)
}
