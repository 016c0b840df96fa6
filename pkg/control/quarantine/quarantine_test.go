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

// testNode is a quarantine controller with a board that stands for its node.
type testNode struct {
	board   *board.Board
	local   *board.Writer[*board.LocalServer]
	refused atomic.Bool
}

// startNodes runs controllers that pass their rumors to one another, each
// rumor twice.
func startNodes(t *testing.T, count int) ([]*testNode, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*testNode
	for i := range count {
		b := board.New(board.InstanceID(fmt.Sprintf("i%d", i)))
		n := &testNode{board: b, local: b.LocalServer.Claim("test")}
		n.announce(1)
		dial := func(context.Context, string) error {
			if n.refused.Load() {
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

// withNodes runs a test in a bubble with nodes of its own.
func withNodes(t *testing.T, count int, test func(*testing.T, []*testNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nodes, stop := startNodes(t, count)
		defer stop()
		test(t, nodes)
	})
}

func (n *testNode) announce(incarnation uint64) {
	n.local.Publish(&board.LocalServer{Announced: true, Service: "s", Addr: "a", Incarnation: incarnation})
}

func (n *testNode) lose(digest string, incarnation uint64) {
	n.board.ExecutionResults.Post(board.ExecutionResult{Kind: board.ExecutionConnectionLost, Digest: digest, Summary: "GET /s/a", ServerIncarnation: incarnation})
	synctest.Wait()
}

// kill lets the backend server die under a request and restart.
func (n *testNode) kill(digest string, incarnation uint64) {
	n.lose(digest, incarnation)
	n.announce(incarnation + 1)
	synctest.Wait()
}

func (n *testNode) refuses(digest string) bool {
	return n.board.Quarantine.Load().IsQuarantined(digest, time.Now())
}

func requireAll(t *testing.T, nodes []*testNode, digest string, refused bool) {
	t.Helper()
	synctest.Wait()
	for _, n := range nodes {
		require.Equal(t, refused, n.refuses(digest))
	}
}

// Guards against a request that crashes backend servers one after the other.
func TestPoisonIsQuarantinedEverywhere(t *testing.T) {
	withNodes(t, 4, func(t *testing.T, nodes []*testNode) {
		nodes[0].kill("poison", 1)
		requireAll(t, nodes, "poison", false)
		nodes[1].kill("poison", 1)
		requireAll(t, nodes, "poison", true)
		time.Sleep(nodes[0].board.Config.Load().Quarantine.TTL + time.Second)
		requireAll(t, nodes, "poison", false)
		require.Empty(t, nodes[2].board.Quarantine.Load().Entries)
	})
}

// Guards against an innocent request that is refused because it ran beside a
// poison one, or was lost without a death.
func TestInnocentRequestIsCleared(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, nodes []*testNode) {
		nodes[0].lose("no death", 1)
		nodes[1].lose("no death", 1)
		time.Sleep(time.Minute)
		requireAll(t, nodes, "no death", false)
		require.Empty(t, nodes[0].board.Quarantine.Load().Entries)

		nodes[0].kill("innocent", 1)
		completed := board.ExecutionResult{Kind: board.ExecutionCompleted, Digest: "innocent", ServerIncarnation: 1}
		nodes[0].board.ExecutionResults.Post(completed)
		synctest.Wait()
		require.Len(t, nodes[2].board.Quarantine.Load().Entries, 1, "a completion on the incarnation that died clears it")
		nodes[1].board.ExecutionResults.Post(completed)
		synctest.Wait()
		require.Empty(t, nodes[2].board.Quarantine.Load().Entries)
		nodes[1].kill("innocent", 1)
		requireAll(t, nodes, "innocent", false)

		nodes[2].kill("innocent", 1)
		requireAll(t, nodes, "innocent", true)
		nodes[2].board.ExecutionResults.Post(board.ExecutionResult{Kind: board.ExecutionCompleted, Digest: "innocent", ServerIncarnation: 2})
		requireAll(t, nodes, "innocent", false)
	})
}

// Guards against a quarantine that an operator cannot end.
func TestOperatorLiftsQuarantine(t *testing.T) {
	withNodes(t, 3, func(t *testing.T, nodes []*testNode) {
		nodes[0].kill("poison", 1)
		nodes[1].kill("poison", 1)
		requireAll(t, nodes, "poison", true)
		nodes[2].board.QuarantineLifts.Post(board.QuarantineLift{Digest: "poison"})
		requireAll(t, nodes, "poison", false)
		nodes[0].kill("poison", 2)
		requireAll(t, nodes, "poison", false)
		nodes[1].kill("poison", 2)
		requireAll(t, nodes, "poison", true)
	})
}

// Guards against a death that is only known when the next request is refused,
// and against a closed connection that is taken for a death.
func TestLostConnectionIsConfirmed(t *testing.T) {
	withNodes(t, 1, func(t *testing.T, nodes []*testNode) {
		n := nodes[0]
		n.lose("a", 1)
		time.Sleep(time.Second)
		require.Empty(t, n.board.Announcements.Events())
		n.refused.Store(true)
		n.lose("b", 1)
		time.Sleep(time.Second)
		require.Len(t, n.board.Announcements.Events(), 1)
		down := <-n.board.Announcements.Events()
		require.Equal(t, board.AnnounceDown, down.Kind)
		require.Equal(t, uint64(1), down.Server.Incarnation)
	})
}

// Guards against suspects that are missed: requests still running at the death
// of a backend server, and those that notice it late.
func TestRunningAndLateRequestsAreSuspects(t *testing.T) {
	withNodes(t, 2, func(t *testing.T, nodes []*testNode) {
		n := nodes[0]
		record := &board.RequestRecord{ID: "r", ExecutionResult: func() board.ExecutionResult {
			return board.ExecutionResult{Digest: "running", ServerIncarnation: 1}
		}}
		record.Advance(board.RequestRunning)
		n.board.Requests.Add(record)
		n.board.Requests.Add(&board.RequestRecord{ID: "of the entry"})
		n.announce(2)
		synctest.Wait()
		n.lose("late", 1)
		n.lose("next incarnation", 2)
		entries := nodes[1].board.Quarantine.Load().Entries
		require.Len(t, entries, 2)
		require.Contains(t, entries, "running")
		require.Contains(t, entries, "late")
	})
}

// Guards against a malformed rumor that stops the controller, and against a
// clock that is ahead and stretches a quarantine.
func TestStrangeRumors(t *testing.T) {
	withNodes(t, 1, func(t *testing.T, nodes []*testNode) {
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
