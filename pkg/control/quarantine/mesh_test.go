package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/dynconf"
)

// meshNode is a controller of a node on the platform with a board that stands
// for its node.
type meshNode struct {
	board  *board.MeshBoard
	server *board.Writer[*board.BackendServer]
}

func startMesh(ctx context.Context, count int) []*meshNode {
	var nodes []*meshNode
	for i := range count {
		b := board.NewMeshBoard(board.NodeIdentity{Instance: board.InstanceID(fmt.Sprintf("n%d", i))})
		n := &meshNode{board: b, server: b.LocalServer.Claim("test")}
		n.server.Publish(&board.BackendServer{ID: "s", StartMillis: 1, State: board.ServerReady})
		nodes = append(nodes, n)
		go NewMeshController(b, dynconf.Default().Quarantine, zerolog.Nop()).Run(ctx)
	}
	synctest.Wait()
	return nodes
}

func (n *meshNode) end(kind board.ExecutionResultKind, digest string, born uint64) {
	n.board.ExecutionResults.Post(board.ExecutionResult{Kind: kind, Digest: digest, ServerIncarnation: born})
	synctest.Wait()
}

func (n *meshNode) publish(s board.BackendServer) {
	n.server.Publish(&s)
	synctest.Wait()
}

// hear takes what another node knows.
func (n *meshNode) hear(from *meshNode) {
	n.board.Suspicions.Post(decide.ReportDelta(from.board.Quarantine.Load(), n.board.Quarantine.Load().BucketDigests, time.Now()))
	synctest.Wait()
}

func (n *meshNode) refuses(digest string) bool {
	return n.board.Quarantine.Load().IsQuarantined(digest, time.Now())
}

// Guards against a request that crashes backend servers one after the other, in
// whichever order its node learns of the lost connection and of the death.
func TestCrashingRequestIsQuarantinedOnThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes := startMesh(ctx, 3)
		nodes[0].end(board.ExecutionConnectionLost, "crash", 1)
		nodes[0].publish(board.BackendServer{ID: "s", StartMillis: 1, Down: true})
		nodes[1].publish(board.BackendServer{ID: "s", StartMillis: 2})
		nodes[1].end(board.ExecutionConnectionLost, "crash", 1)
		require.False(t, nodes[0].refuses("crash"))
		require.False(t, nodes[1].refuses("crash"))
		nodes[2].hear(nodes[0])
		require.False(t, nodes[2].refuses("crash"))
		nodes[2].hear(nodes[1])
		require.True(t, nodes[2].refuses("crash"))
		nodes[0].hear(nodes[2])
		require.True(t, nodes[0].refuses("crash"))
		time.Sleep(dynconf.Default().Quarantine.TTL + 2*expireInterval)
		require.False(t, nodes[0].refuses("crash"))
		require.Empty(t, nodes[0].board.Quarantine.Load().Advertised)
	})
}

// Guards against innocent requests that are refused: lost without a death, or
// lost beside the one that crashed the server and completed elsewhere.
func TestInnocentRequestIsClearedOnThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes := startMesh(ctx, 3)
		nodes[0].end(board.ExecutionConnectionLost, "no death", 1)
		nodes[1].end(board.ExecutionConnectionLost, "no death", 1)
		time.Sleep(2 * decide.SuspectWindow)
		nodes[0].publish(board.BackendServer{ID: "s", StartMillis: 2})
		require.Empty(t, nodes[0].board.Quarantine.Load().Entries)

		nodes[0].end(board.ExecutionConnectionLost, "beside", 2)
		nodes[0].publish(board.BackendServer{ID: "s", StartMillis: 3})
		nodes[1].hear(nodes[0])
		require.Contains(t, nodes[1].board.Quarantine.Load().Entries, "beside")
		nodes[1].end(board.ExecutionCompleted, "beside", 1)
		require.Empty(t, nodes[1].board.Quarantine.Load().Entries)
		nodes[0].hear(nodes[1])
		require.Empty(t, nodes[0].board.Quarantine.Load().Entries)
		nodes[2].end(board.ExecutionConnectionLost, "beside", 1)
		nodes[2].publish(board.BackendServer{ID: "s", StartMillis: 2})
		nodes[2].hear(nodes[0])
		require.False(t, nodes[2].refuses("beside"))
	})
}
