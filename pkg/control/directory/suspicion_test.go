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

// stabilityWindow is the time within which the platform requires all nodes to
// know a request that has crashed three backend servers.
const stabilityWindow = 3 * time.Second

// Guards against nodes that go on sending a request that crashes backend
// servers. Two nodes each see one crash and do not know of the other; both
// crashes must reach all nodes.
func TestCrashingRequestIsQuarantinedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNet()
		nodes := startFleet(ctx, n, 60)
		for _, node := range nodes {
			go quarantine.NewMeshController(node.board, dynconf.Default().Quarantine, zerolog.Nop()).Run(ctx)
		}
		time.Sleep(5 * time.Second)
		for _, node := range []*testNode{nodes[3], nodes[50]} {
			server := *node.board.LocalServer.Load()
			node.board.ExecutionResults.Post(board.ExecutionResult{Kind: board.ExecutionConnectionLost, Digest: "crash"})
			synctest.Wait()
			server.Down = true
			node.serverWriter.Publish(&server)
		}
		time.Sleep(stabilityWindow)
		for _, node := range nodes {
			require.True(t, node.board.Quarantine.Load().IsQuarantined("crash", time.Now()))
		}
		cancel()
		synctest.Wait()
	})
}
