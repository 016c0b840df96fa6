package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// Guards against a nested call that waits although a slot is reserved for it and free:
// while calls without a customer have more than their share of the service, a call of a
// customer that may not use the slot goes before it.
func TestReservedSlotIsGrantedBehindACallThatMayNotUseIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 2
		x := executorFor(true)
		now := time.Now()
		x.slotUse.addNested(time.Second, now)
		require.Equal(t, 1, x.slotsFor(queueing.Job{}, slots, now), "one slot is reserved")
		x.Board.CustomerService.Add(0, time.Second, now)

		running := jobOf(x, "hot", time.Minute)
		require.Empty(t, x.acquireSlot(t.Context(), running, slots))
		waiting := queueCalls(t, x, "small", 1, slots)
		nested := jobOf(x, "", time.Minute)
		nested.Nested = true
		granted := make(chan board.Reason, 1)
		go func() { granted <- x.acquireSlot(t.Context(), nested, slots) }()
		synctest.Wait()
		require.Len(t, granted, 1, "the reserved slot is free")
		require.Empty(t, <-granted)
		require.Empty(t, waiting, "the call of the customer may not use the reserved slot")

		x.releaseSlot(running, playServiceTime, slots)
		synctest.Wait()
		require.Empty(t, <-waiting)
		x.releaseSlot(jobOf(x, "small", time.Minute), playServiceTime, slots)
		x.releaseSlot(nested, playServiceTime, slots)
		require.Zero(t, x.InFlight())
		require.Zero(t, x.slotUse.ordinary.Load())
	})
}

// Guards against calls of customers that go before all others as nested ones, because the
// callers of a rule use only the nodes beside the servers of one service. Nested calls
// carry no API key.
func TestCallsOfCustomersAreNotTakenForNestedOnes(t *testing.T) {
	x := executorFor(true)
	endpoints := map[string][]*board.MeshEndpoint{"desk": make([]*board.MeshEndpoint, 2)}
	x.Board.Fleet.Claim("test").Publish(&board.Fleet{ByService: endpoints, Size: 10})
	for _, customer := range []string{"small", ""} {
		var job queueing.Job
		for range 100 {
			now := time.Now()
			c := &Call{Rule: "read" + customer, Customer: customer, CallerService: "desk", Received: now, Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}
			job = x.newJob(c, estimate.Speed{}, 0)
		}
		require.Equal(t, customer == "", job.Nested)
	}
}
