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

// testExecutor returns an executor whose limit, queue length and queue wait
// are fixed.
func testExecutor(a board.Admission) *Executor {
	x := &Executor{Instance: "x", Board: board.New("x")}
	x.Board.Admission.Claim("test").Publish(&a)
	return x
}

func admit(ctx context.Context, x *Executor, priority dynconf.Priority) board.Reason {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	return x.admit(ctx, &board.LocalServer{}, &wire.Call{Priority: uint8(priority)}, &board.RequestRecord{})
}

// Guards against more calls than the limit, and against a call that waits
// forever beside a free slot.
func TestGateHoldsLimitAndLosesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, calls = 4, 400
		x := testExecutor(board.Admission{ConcurrencyLimit: limit, MaxQueueLength: calls, MaxQueueWait: time.Minute})
		var running, most, admitted atomic.Int64
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				if admit(t.Context(), x, dynconf.PriorityNormal) != "" {
					return
				}
				most.Store(max(most.Load(), running.Add(1)))
				admitted.Add(1)
				time.Sleep(time.Millisecond)
				running.Add(-1)
				x.gate.release(limit)
			})
		}
		group.Wait()
		require.Equal(t, int64(limit), most.Load())
		require.Equal(t, int64(calls), admitted.Load())
		require.Zero(t, x.gate.running.Load())
		require.Zero(t, x.gate.waiting.Load())
	})
}

// Guards against a call that waits forever because a slot became free while
// the call entered the queue.
func TestGateLosesNoWakeUp(t *testing.T) {
	const limit, workers, rounds = 1, 2, 20000
	x := testExecutor(board.Admission{ConcurrencyLimit: limit, MaxQueueLength: workers, MaxQueueWait: 5 * time.Second})
	var refused atomic.Int64
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range rounds {
				if admit(t.Context(), x, dynconf.PriorityNormal) != "" {
					refused.Add(1)
					return
				}
				x.gate.release(limit)
			}
		})
	}
	group.Wait()
	require.Zero(t, refused.Load())
	require.Zero(t, x.gate.running.Load())
}

// Guards against background calls that keep calls of a higher priority out of
// the queue, and against an order that ignores the priority.
func TestBackgroundIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := testExecutor(board.Admission{ConcurrencyLimit: 1, MaxQueueLength: 2, MaxQueueWait: time.Second})
		require.Empty(t, admit(t.Context(), x, dynconf.PriorityNormal))
		var mu sync.Mutex
		var order []string
		enter := func(name string, p dynconf.Priority) {
			go func() {
				reason := admit(t.Context(), x, p)
				mu.Lock()
				order = append(order, name+string(reason))
				mu.Unlock()
				if reason == "" {
					x.gate.release(1)
				}
			}()
			synctest.Wait()
		}
		enter("background:", dynconf.PriorityBackground)
		enter("second background:", dynconf.PriorityBackground)
		require.Equal(t, []string{"second background:shed-by-priority"}, order, "half of the queue is kept free")
		enter("normal:", dynconf.PriorityNormal)
		enter("critical:", dynconf.PriorityCritical)
		enter("second normal:", dynconf.PriorityNormal)
		require.Equal(t, []string{
			"second background:shed-by-priority", "background:shed-by-priority", "second normal:overloaded",
		}, order)
		x.gate.release(1)
		synctest.Wait()
		require.Equal(t, []string{"critical:", "normal:"}, order[3:])
		require.Zero(t, x.gate.running.Load())
	})
}

// Guards against a call that waits longer than the queue or its deadline
// allow, or that keeps a place in the queue after it was given up.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := testExecutor(board.Admission{ConcurrencyLimit: 1, MaxQueueLength: 9, MaxQueueWait: 100 * time.Millisecond})
		require.Empty(t, admit(t.Context(), x, dynconf.PriorityNormal))
		start := time.Now()
		require.Equal(t, board.ReasonOverloaded, admit(t.Context(), x, dynconf.PriorityNormal))
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		canceled, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		require.Equal(t, board.ReasonCanceledByCaller, admit(canceled, x, dynconf.PriorityNormal))
		short, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer stop()
		require.Equal(t, board.ReasonOverloaded, admit(short, x, dynconf.PriorityNormal))
		require.Zero(t, x.gate.waiting.Load())
		x.gate.release(1)
		require.Zero(t, x.gate.running.Load())
	})
}
