package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/quarantine"
	"mangostand.example/mangostand/pkg/dynconf"
)

// stabilityWindow is the time in which the platform wants a request that has
// crashed three backend servers to be known everywhere.
const stabilityWindow = 3 * time.Second

// Guards against a crashing request that some nodes go on to send: two deaths,
// at nodes that do not know of each other's, must meet at all nodes.
func TestCrashingRequestIsKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork()
		nodes := fleetOf(ctx, n, 60)
		for _, node := range nodes {
			go quarantine.NewMeshController(node.board, dynconf.Default().Quarantine, zerolog.Nop()).Run(ctx)
		}
		time.Sleep(5 * time.Second)
		for _, node := range []*testNode{nodes[3], nodes[50]} {
			server := *node.board.LocalServer.Load()
			node.board.ExecutionResults.Post(board.ExecutionResult{Kind: board.ExecutionConnectionLost, Digest: "crash"})
			synctest.Wait()
			server.Down = true
			node.server.Publish(&server)
		}
		time.Sleep(stabilityWindow)
		for _, node := range nodes {
			require.True(t, node.board.Quarantine.Load().IsQuarantined("crash", time.Now()))
		}
		cancel()
		synctest.Wait()
	})
}
