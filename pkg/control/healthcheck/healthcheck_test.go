package healthcheck

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// The tests run with GOMAXPROCS=1 because the race detector of Go 1.26 crashes
// when two threads run timers of one synctest bubble at the same time.
func init() { runtime.GOMAXPROCS(1) }

// Guards against an idle node that polls as often as a busy one, and against a
// node that has become busy and still polls at the idle interval.
func TestIdleNodePollsAtIdleInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var polls, running atomic.Int64
		b := board.NewMeshBoard(board.NodeIdentity{Instance: "n"})
		b.LocalServer.Claim("test").Publish(&board.BackendServer{ID: "s", State: board.ServerReady})
		c := &Controller{Board: b, Log: zerolog.Nop(), InFlight: func() int {
			polls.Add(1)
			return int(running.Load())
		}}
		go c.Run(ctx)
		time.Sleep(10*time.Second + time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 100, polls.Swap(0))
		running.Store(1)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Greater(t, polls.Load(), int64(30))
	})
}
