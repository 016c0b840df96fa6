package pulse

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against an idle node that wakes up as often as a busy one, and against
// a node that has become busy and goes on to look seldom.
func TestIdleNodesLookSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		looks, running := 0, 0
		b := board.NewMesh(board.Self{Instance: "n"})
		b.Server.Claim("test").Publish(&board.Server{ID: "s", State: board.ServerReady})
		c := &Controller{Board: b, Log: zerolog.Nop(), InFlight: func() int {
			looks++
			return running
		}}
		go c.Run(ctx)
		time.Sleep(10*time.Second + time.Millisecond)
		synctest.Wait()
		require.Equal(t, 100, looks)
		looks, running = 0, 1
		time.Sleep(time.Second)
		synctest.Wait()
		require.Greater(t, looks, 30)
	})
}
