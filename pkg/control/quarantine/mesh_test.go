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

// meshNode is a mesh node of which only the board and the quarantine controller
// exist.
type meshNode struct {
	board        *board.MeshBoard
	serverWriter *board.Writer[*board.BackendServer]
}

func startMeshNodes(ctx context.Context, count int) []*meshNode {
	var nodes []*meshNode
	for i := range count {
		b := board.NewMeshBoard(board.NodeIdentity{Instance: board.InstanceID(fmt.Sprintf("n%d", i))})
		n := &meshNode{board: b, serverWriter: b.LocalServer.Claim("test")}
		n.serverWriter.Publish(&board.BackendServer{ID: "s", StartMillis: 1, State: board.ServerReady})
		nodes = append(nodes, n)
		go NewMeshController(b, dynconf.Default().Quarantine, zerolog.Nop()).Run(ctx)
	}
	synctest.Wait()
	return nodes
}

func (n *meshNode) postExecution(kind board.ExecutionResultKind, digest string, incarnation uint64) {
	n.board.ExecutionResults.Post(board.ExecutionResult{Kind: kind, Digest: digest, ServerIncarnation: incarnation})
	synctest.Wait()
}

func (n *meshNode) publishServer(s board.BackendServer) {
	n.serverWriter.Publish(&s)
	synctest.Wait()
}

// receiveReports delivers the reports that another node would send to n.
func (n *meshNode) receiveReports(from *meshNode) {
	n.board.Suspicions.Post(decide.ReportDelta(from.board.Quarantine.Load(), n.board.Quarantine.Load().BucketDigests, time.Now()))
	synctest.Wait()
}

func (n *meshNode) isQuarantined(digest string) bool {
	return n.board.Quarantine.Load().IsQuarantined(digest, time.Now())
}

// Guards against a request that crashes one backend server after another. The
// crash must count whether the node detects the lost connection first or the end
// of the incarnation.
func TestCrashingRequestIsQuarantinedInMesh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes := startMeshNodes(ctx, 3)
		nodes[0].postExecution(board.ExecutionConnectionLost, "crash", 1)
		nodes[0].publishServer(board.BackendServer{ID: "s", StartMillis: 1, Down: true})
		nodes[1].publishServer(board.BackendServer{ID: "s", StartMillis: 2})
		nodes[1].postExecution(board.ExecutionConnectionLost, "crash", 1)
		require.False(t, nodes[0].isQuarantined("crash"))
		require.False(t, nodes[1].isQuarantined("crash"))
		nodes[2].receiveReports(nodes[0])
		require.False(t, nodes[2].isQuarantined("crash"))
		nodes[2].receiveReports(nodes[1])
		require.True(t, nodes[2].isQuarantined("crash"))
		nodes[0].receiveReports(nodes[2])
		require.True(t, nodes[0].isQuarantined("crash"))
		time.Sleep(dynconf.Default().Quarantine.TTL + 2*expiryInterval)
		require.False(t, nodes[0].isQuarantined("crash"))
		require.Empty(t, nodes[0].board.Quarantine.Load().Advertised)
	})
}

// Guards against the quarantine of a harmless request: one that lost its
// connection without a crash, or one that was running when another request
// crashed the backend server and that completed elsewhere.
func TestHarmlessRequestIsClearedInMesh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes := startMeshNodes(ctx, 3)
		nodes[0].postExecution(board.ExecutionConnectionLost, "no death", 1)
		nodes[1].postExecution(board.ExecutionConnectionLost, "no death", 1)
		time.Sleep(2 * decide.SuspectWindow)
		nodes[0].publishServer(board.BackendServer{ID: "s", StartMillis: 2})
		require.Empty(t, nodes[0].board.Quarantine.Load().Entries)

		nodes[0].postExecution(board.ExecutionConnectionLost, "beside", 2)
		nodes[0].publishServer(board.BackendServer{ID: "s", StartMillis: 3})
		nodes[1].receiveReports(nodes[0])
		require.Contains(t, nodes[1].board.Quarantine.Load().Entries, "beside")
		nodes[1].postExecution(board.ExecutionCompleted, "beside", 1)
		require.Empty(t, nodes[1].board.Quarantine.Load().Entries)
		nodes[0].receiveReports(nodes[1])
		require.Empty(t, nodes[0].board.Quarantine.Load().Entries)
		nodes[2].postExecution(board.ExecutionConnectionLost, "beside", 1)
		nodes[2].publishServer(board.BackendServer{ID: "s", StartMillis: 2})
		nodes[2].receiveReports(nodes[0])
		require.False(t, nodes[2].isQuarantined("beside"))
	})
}

// Guards against the quarantine of a request that is sent often and was running on two
// backend servers when another request crashed them: it completed on others shortly
// before, and once it is quarantined, no completion can clear it.
func TestRequestThatCompletedLatelyIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		nodes := startMeshNodes(ctx, 4)
		complete := func(n *meshNode, digest string, incarnation uint64) {
			n.board.CompletedRequests.Add(board.CompletedRequest{Digest: digest, ServerIncarnation: incarnation, At: time.Now()})
		}
		complete(nodes[2], "long ago", 1)
		time.Sleep(2 * decide.SuspectWindow)
		// It completed on the servers that crash, too, which proves nothing.
		for _, n := range nodes[:2] {
			complete(n, "often", 1)
			complete(n, "crash", 1)
			for _, digest := range []string{"often", "crash", "long ago"} {
				n.postExecution(board.ExecutionConnectionLost, digest, 1)
			}
		}
		complete(nodes[2], "often", 1)
		for _, n := range nodes[:2] {
			n.publishServer(board.BackendServer{ID: "s", StartMillis: 1, Down: true})
		}
		nodes[3].receiveReports(nodes[0])
		nodes[3].receiveReports(nodes[1])
		nodes[2].receiveReports(nodes[3])
		require.False(t, nodes[2].isQuarantined("often"))
		require.True(t, nodes[2].isQuarantined("crash"))
		require.True(t, nodes[2].isQuarantined("long ago"))
		for _, n := range nodes {
			n.receiveReports(nodes[2])
			require.False(t, n.isQuarantined("often"))
		}
	})
}
