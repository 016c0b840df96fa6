package quarantine

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// testNode is a node of which only the board and the quarantine controller exist.
type testNode struct {
	board              *board.Board
	serverWriter       *board.Writer[*board.LocalServer]
	refusesConnections atomic.Bool
}

// startNodes runs controllers whose rumors are delivered to all other nodes, each
// rumor twice.
func startNodes(t *testing.T, count int) ([]*testNode, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*testNode
	for i := range count {
		b := board.New(board.InstanceID(fmt.Sprintf("i%d", i)))
		n := &testNode{board: b, serverWriter: b.LocalServer.Claim("test")}
		n.announceIncarnation(1)
		dial := func(context.Context, string) error {
			if n.refusesConnections.Load() {
				return syscall.ECONNREFUSED
			}
			return nil
		}
		nodes = append(nodes, n)
		go NewWithDialer(b, zerolog.Nop(), dial).Run(ctx)
	}
	for _, from := range nodes {
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case r := <-from.board.OutgoingRumors.Events():
					for _, to := range nodes {
						if to != from {
							to.board.QuarantineRumors.Post(r)
							to.board.QuarantineRumors.Post(r)
						}
					}
				}
			}
		}()
	}
	synctest.Wait()
	return nodes, func() {
		cancel()
		synctest.Wait()
	}
}

// runWithNodes runs a test in a synctest bubble with its own nodes.
func runWithNodes(t *testing.T, count int, test func(*testing.T, []*testNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nodes, stop := startNodes(t, count)
		defer stop()
		test(t, nodes)
	})
}

func (n *testNode) announceIncarnation(incarnation uint64) {
	n.serverWriter.Publish(&board.LocalServer{Announced: true, Service: "s", Addr: "a", Incarnation: incarnation})
}

func (n *testNode) loseConnection(digest string, incarnation uint64) {
	n.board.ExecutionResults.Post(board.ExecutionResult{Kind: board.ExecutionConnectionLost, Digest: digest, Summary: "GET /s/a", ServerIncarnation: incarnation})
	synctest.Wait()
}

// crashServer simulates a backend server that crashes while running a request and
// restarts.
func (n *testNode) crashServer(digest string, incarnation uint64) {
	n.loseConnection(digest, incarnation)
	n.announceIncarnation(incarnation + 1)
	synctest.Wait()
}

func (n *testNode) isQuarantined(digest string) bool {
	return n.board.Quarantine.Load().IsQuarantined(digest, time.Now())
}

func requireQuarantined(t *testing.T, nodes []*testNode, digest string, want bool) {
	t.Helper()
	synctest.Wait()
	for _, n := range nodes {
		require.Equal(t, want, n.isQuarantined(digest))
	}
}

// Guards against a request that crashes one backend server after another.
func TestCrashingRequestIsQuarantinedOnAllNodes(t *testing.T) {
	runWithNodes(t, 4, func(t *testing.T, nodes []*testNode) {
		nodes[0].crashServer("poison", 1)
		requireQuarantined(t, nodes, "poison", false)
		nodes[1].crashServer("poison", 1)
		requireQuarantined(t, nodes, "poison", true)
		time.Sleep(nodes[0].board.Config.Load().Quarantine.TTL + time.Second)
		requireQuarantined(t, nodes, "poison", false)
		require.Empty(t, nodes[2].board.Quarantine.Load().Entries)
	})
}

// Guards against the quarantine of a harmless request: one that was running when
// another request crashed the backend server, or one that lost its connection
// without a crash.
func TestHarmlessRequestIsCleared(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, nodes []*testNode) {
		nodes[0].loseConnection("no death", 1)
		nodes[1].loseConnection("no death", 1)
		time.Sleep(time.Minute)
		requireQuarantined(t, nodes, "no death", false)
		require.Empty(t, nodes[0].board.Quarantine.Load().Entries)

		nodes[0].crashServer("innocent", 1)
		completed := board.ExecutionResult{Kind: board.ExecutionCompleted, Digest: "innocent", ServerIncarnation: 1}
		nodes[0].board.ExecutionResults.Post(completed)
		synctest.Wait()
		require.Len(t, nodes[2].board.Quarantine.Load().Entries, 1, "completing on the crashed incarnation must not clear it")
		nodes[1].board.ExecutionResults.Post(completed)
		synctest.Wait()
		require.Empty(t, nodes[2].board.Quarantine.Load().Entries)
		nodes[1].crashServer("innocent", 1)
		requireQuarantined(t, nodes, "innocent", false)

		nodes[2].crashServer("innocent", 1)
		requireQuarantined(t, nodes, "innocent", true)
		nodes[2].board.ExecutionResults.Post(board.ExecutionResult{Kind: board.ExecutionCompleted, Digest: "innocent", ServerIncarnation: 2})
		requireQuarantined(t, nodes, "innocent", false)
	})
}

// Guards against a quarantine that an operator cannot end.
func TestOperatorLiftsQuarantine(t *testing.T) {
	runWithNodes(t, 3, func(t *testing.T, nodes []*testNode) {
		nodes[0].crashServer("poison", 1)
		nodes[1].crashServer("poison", 1)
		requireQuarantined(t, nodes, "poison", true)
		nodes[2].board.QuarantineLifts.Post(board.QuarantineLift{Digest: "poison"})
		requireQuarantined(t, nodes, "poison", false)
		nodes[0].crashServer("poison", 2)
		requireQuarantined(t, nodes, "poison", false)
		nodes[1].crashServer("poison", 2)
		requireQuarantined(t, nodes, "poison", true)
	})
}

// Guards against a crash that is detected only when the next call to the backend
// server fails, and against a closed connection that is taken for a crash.
func TestServerIsProbedAfterLostConnection(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, nodes []*testNode) {
		n := nodes[0]
		n.loseConnection("a", 1)
		time.Sleep(time.Second)
		require.Empty(t, n.board.Announcements.Events())
		n.refusesConnections.Store(true)
		n.loseConnection("b", 1)
		time.Sleep(time.Second)
		require.Len(t, n.board.Announcements.Events(), 1)
		down := <-n.board.Announcements.Events()
		require.Equal(t, board.AnnounceDown, down.Kind)
		require.Equal(t, uint64(1), down.Server.Incarnation)
	})
}

// Guards against suspects that are missed: requests that are still running when
// the crash is detected, and those whose lost connection is detected after it.
func TestRunningAndLateExecutionsAreSuspects(t *testing.T) {
	runWithNodes(t, 2, func(t *testing.T, nodes []*testNode) {
		n := nodes[0]
		record := &board.RequestRecord{ID: "r", ExecutionResult: func() board.ExecutionResult {
			return board.ExecutionResult{Digest: "running", ServerIncarnation: 1}
		}}
		record.Advance(board.RequestRunning)
		n.board.Requests.Add(record)
		n.board.Requests.Add(&board.RequestRecord{ID: "of the entry"})
		n.announceIncarnation(2)
		synctest.Wait()
		n.loseConnection("late", 1)
		n.loseConnection("next incarnation", 2)
		entries := nodes[1].board.Quarantine.Load().Entries
		require.Len(t, entries, 2)
		require.Contains(t, entries, "running")
		require.Contains(t, entries, "late")
	})
}

// Guards against a malformed rumor that stops the controller, and against a
// sender whose clock is ahead and whose rumor extends a quarantine beyond the TTL.
func TestInvalidRumors(t *testing.T) {
	runWithNodes(t, 1, func(t *testing.T, nodes []*testNode) {
		for _, payload := range [][]byte{nil, {0xff}, []byte("text")} {
			nodes[0].board.QuarantineRumors.Post(board.Rumor{Kind: board.RumorQuarantine, ID: "x", Payload: payload})
		}
		synctest.Wait()
		require.Empty(t, nodes[0].board.Quarantine.Load().Entries)
		data, err := wire.EncodeRumorPayload(wire.QuarantineRumor{RequestDigest: "d", Crashes: []board.ServerIncarnation{{Instance: "i1", Incarnation: 1}}})
		require.NoError(t, err)
		nodes[0].board.QuarantineRumors.Post(board.Rumor{
			Kind: board.RumorQuarantine, ID: "ahead", Payload: data, ExpiresAtMillis: time.Now().Add(24 * time.Hour).UnixMilli(),
		})
		synctest.Wait()
		require.Contains(t, nodes[0].board.Quarantine.Load().Entries, "d")
		entry := nodes[0].board.Quarantine.Load().Entries["d"]
		require.LessOrEqual(t, time.Until(entry.ExpiresAt), nodes[0].board.Config.Load().Quarantine.TTL)
	})
}
