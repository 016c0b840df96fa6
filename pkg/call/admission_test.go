package call

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// newLimitedExecutor returns an executor with fixed admission limits.
func newLimitedExecutor(limits board.Admission) *Executor {
	x := &Executor{Instance: "x", Board: board.New("x")}
	x.Board.Admission.Claim("test").Publish(&limits)
	return x
}

// acquireSlot takes a slot of x for a call with the priority.
func acquireSlot(ctx context.Context, x *Executor, priority dynconf.Priority) board.Reason {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	return x.acquireSlot(ctx, &board.LocalServer{}, &wire.Call{Priority: uint8(priority)}, &board.RequestRecord{})
}

// Guards against more concurrent calls than the limit, and against a call that
// stays queued while a slot is free.
func TestAdmissionQueueEnforcesLimitAndServesAllCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, calls = 4, 400
		x := newLimitedExecutor(board.Admission{ConcurrencyLimit: limit, MaxQueueLength: calls, MaxQueueWait: time.Minute})
		var running, peak, admitted atomic.Int64
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				if acquireSlot(t.Context(), x, dynconf.PriorityNormal) != "" {
					return
				}
				peak.Store(max(peak.Load(), running.Add(1)))
				admitted.Add(1)
				time.Sleep(time.Millisecond)
				running.Add(-1)
				x.queue.Release(limit, nextByPriority)
			})
		}
		wg.Wait()
		require.Equal(t, int64(limit), peak.Load())
		require.Equal(t, int64(calls), admitted.Load())
		require.Zero(t, x.queue.Running())
		require.Zero(t, x.queue.Waiting())
	})
}

// Guards against a lost wakeup: a call that stays queued because a slot was
// freed while the call was added to the queue.
func TestAdmissionQueueHasNoLostWakeup(t *testing.T) {
	const limit, workers, rounds = 1, 2, 20000
	x := newLimitedExecutor(board.Admission{ConcurrencyLimit: limit, MaxQueueLength: workers, MaxQueueWait: 5 * time.Second})
	var refused atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				if acquireSlot(t.Context(), x, dynconf.PriorityNormal) != "" {
					refused.Add(1)
					return
				}
				x.queue.Release(limit, nextByPriority)
			}
		})
	}
	wg.Wait()
	require.Zero(t, refused.Load())
	require.Zero(t, x.queue.Running())
}

// Guards against background calls that keep calls of a higher priority out of
// the queue, and against a queue order that ignores the priority.
func TestBackgroundIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLimitedExecutor(board.Admission{ConcurrencyLimit: 1, MaxQueueLength: 2, MaxQueueWait: time.Second})
		require.Empty(t, acquireSlot(t.Context(), x, dynconf.PriorityNormal))
		var mu sync.Mutex
		var order []string
		submit := func(name string, p dynconf.Priority) {
			go func() {
				reason := acquireSlot(t.Context(), x, p)
				mu.Lock()
				order = append(order, name+string(reason))
				mu.Unlock()
				if reason == "" {
					x.queue.Release(1, nextByPriority)
				}
			}()
			synctest.Wait()
		}
		submit("background:", dynconf.PriorityBackground)
		submit("second background:", dynconf.PriorityBackground)
		require.Equal(t, []string{"second background:shed-by-priority"}, order, "half of the queue is kept free")
		submit("normal:", dynconf.PriorityNormal)
		submit("critical:", dynconf.PriorityCritical)
		submit("second normal:", dynconf.PriorityNormal)
		require.Equal(t, []string{
			"second background:shed-by-priority", "background:shed-by-priority", "second normal:overloaded",
		}, order)
		x.queue.Release(1, nextByPriority)
		synctest.Wait()
		require.Equal(t, []string{"critical:", "normal:"}, order[3:])
		require.Zero(t, x.queue.Running())
	})
}

// Guards against a call that waits longer than the maximum queue wait or its
// deadline, or that stays in the queue after its caller has canceled it.
func TestQueueWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLimitedExecutor(board.Admission{ConcurrencyLimit: 1, MaxQueueLength: 9, MaxQueueWait: 100 * time.Millisecond})
		require.Empty(t, acquireSlot(t.Context(), x, dynconf.PriorityNormal))
		start := time.Now()
		require.Equal(t, board.ReasonOverloaded, acquireSlot(t.Context(), x, dynconf.PriorityNormal))
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		withCancel, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		require.Equal(t, board.ReasonCanceledByCaller, acquireSlot(withCancel, x, dynconf.PriorityNormal))
		withDeadline, cancelDeadline := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancelDeadline()
		require.Equal(t, board.ReasonOverloaded, acquireSlot(withDeadline, x, dynconf.PriorityNormal))
		require.Zero(t, x.queue.Waiting())
		x.queue.Release(1, nextByPriority)
		require.Zero(t, x.queue.Running())
	})
}
