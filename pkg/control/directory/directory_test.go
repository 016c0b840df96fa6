package directory

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// One processor: the race detector of Go 1.26 crashes when two threads run
// timers of one synctest bubble at the same time.
func init() { runtime.GOMAXPROCS(1) }

// network carries exchanges between the boards of a test.
type network struct {
	mu     sync.Mutex
	boards map[string]*board.MeshBoard
	cut    map[string]bool
	// exchanges counts the answered ones.
	exchanges atomic.Int64
}

func (n *network) set(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

func (n *network) reach(from, to string) *board.MeshBoard {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil
	}
	return n.boards[to]
}

func (n *network) exchanger(from string) Exchanger {
	return func(ctx context.Context, addr string, m *Message) (*Message, error) {
		to := n.reach(from, addr)
		if to == nil {
			<-ctx.Done()
			return nil, errors.Trace(ctx.Err())
		}
		n.exchanges.Add(1)
		return Respond(to, m, board.LoadReport{}), nil
	}
}

type testNode struct {
	board  *board.MeshBoard
	server *board.Writer[*board.BackendServer]
	store  *board.Writer[*board.StoreStatus]
}

func (n *network) start(ctx context.Context, number int, incarnation uint64) *testNode {
	name := board.InstanceID(fmt.Sprintf("n%d", number))
	return n.startAt(ctx, number, incarnation, board.NodeIdentity{Instance: name, Service: "desk"})
}

// startAt starts a node at the address of a number.
func (n *network) startAt(ctx context.Context, number int, incarnation uint64, self board.NodeIdentity) *testNode {
	self.PeerAddr = fmt.Sprintf("addr-%d", number)
	addr := self.PeerAddr
	b := board.NewMeshBoard(self)
	n.mu.Lock()
	n.boards[addr] = b
	n.mu.Unlock()
	t := &testNode{board: b, server: b.LocalServer.Claim("test"), store: b.Store.Claim("test")}
	t.server.Publish(&board.BackendServer{ID: fmt.Sprintf("s%d", number), State: board.ServerReady, Service: self.Service, Slots: 4})
	c := New(b, incarnation, n.exchanger(addr), func() board.LoadReport { return board.LoadReport{} }, zerolog.Nop())
	go c.Run(ctx)
	return t
}

func newNetwork() *network {
	return &network{boards: map[string]*board.MeshBoard{}, cut: map[string]bool{}}
}

// fleet starts nodes of which each knows only the first one from the store.
func fleetOf(ctx context.Context, n *network, size int) []*testNode {
	var nodes []*testNode
	for i := range size {
		nodes = append(nodes, n.start(ctx, i, 1))
	}
	synctest.Wait()
	time.Sleep(tick)
	first := nodes[0].board.Fleet.Load().ByInstance["n0"].Record
	for _, node := range nodes {
		node.list(first)
	}
	return nodes
}

// list publishes a listing of the store.
func (t *testNode) list(records ...board.NodeRecord) {
	view := &board.StoreStatus{Reachable: true, ReachabilityChangedAt: time.Now().Add(-time.Hour), ListingRequestedAt: time.Now(), ListedRecords: map[board.InstanceID]board.NodeRecord{}}
	for _, record := range records {
		view.ListedRecords[record.Instance] = record
	}
	t.store.Publish(view)
}

func takers(t *testNode) int { return len(t.board.Fleet.Load().ByService["desk"]) }

func within(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		synctest.Wait()
		if holds() {
			return
		}
		require.Less(t, time.Since(started), limit, what)
	}
}

func all(nodes []*testNode, count int) func() bool {
	return func() bool {
		for _, n := range nodes {
			if takers(n) != count {
				return false
			}
		}
		return true
	}
}

// Guards against nodes that do not find each other through one common record,
// and against a drain that stays unknown to some for longer than 1 s.
func TestRecordsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		nodes := fleetOf(ctx, newNetwork(), 20)
		within(t, 5*time.Second, "all know all", all(nodes, 20))
		nodes[3].server.Publish(&board.BackendServer{ID: "s3", State: board.ServerDraining, Service: "desk", Slots: 4})
		within(t, time.Second, "all know the drain", all(nodes, 19))
		cancel()
		synctest.Wait()
	})
}

// Guards against nodes that are lost because the store is away or has dropped
// their records, and against silent nodes that are never dropped.
func TestContactGoesBeforeTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork()
		nodes := fleetOf(ctx, n, 6)
		within(t, 5*time.Second, "all know all", all(nodes, 6))
		for _, node := range nodes {
			node.list()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.True(t, all(nodes, 6)(), "records lapsed in the store, but all answer")

		n.set("addr-5", true)
		for _, node := range nodes[:5] {
			node.store.Publish(&board.StoreStatus{})
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.True(t, all(nodes[:5], 6)(), "the store cannot tell")
		within(t, 30*time.Second, "the silent node is suspected", func() bool {
			return nodes[0].board.Fleet.Load().ByInstance["n5"].Reachability.Suspected()
		})
		for _, node := range nodes[:5] {
			node.list()
		}
		within(t, 2*time.Second, "the silent node is dropped", all(nodes[:5], 5))

		n.set("addr-5", false)
		within(t, 5*time.Second, "it is back after the partition", all(nodes, 6))
		cancel()
		synctest.Wait()
	})
}

// Guards against load reports of a restarted node that are taken for old ones,
// since its node counts them from the start.
func TestRestartedNodeTellsItsLoadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		node := newNetwork().start(ctx, 0, 1)
		report := func(incarnation, sequence uint64, inFlight uint32) uint32 {
			record := board.NodeRecord{Instance: "other", Incarnation: incarnation, Sequence: 1, PeerAddr: "addr-9", Service: "desk", ServerID: "s", Slots: 4, State: board.ServerReady}
			node.board.NodeRecords.Post(board.NodeRecordBatch{Records: []board.NodeRecord{record}, From: "other"})
			synctest.Wait()
			Take(node.board, &Message{From: "other", Load: board.LoadReport{Sequence: sequence, InFlight: inFlight}})
			return node.board.Fleet.Load().ByInstance["other"].LatestLoadReport().InFlight
		}
		require.EqualValues(t, 4, report(1, 500, 4))
		require.EqualValues(t, 4, report(1, 499, 3), "an older report")
		require.EqualValues(t, 1, report(2, 1, 1), "the first report after a restart")
		cancel()
		synctest.Wait()
	})
}

// Guards against a node whose clock went back and whose new records are taken
// for old ones.
func TestRestartWithAnEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork()
		old, stop := context.WithCancel(ctx)
		first := n.start(old, 0, 100)
		second := n.start(ctx, 1, 1)
		time.Sleep(tick)
		synctest.Wait()
		first.list(second.board.Fleet.Load().ByInstance["n1"].Record)
		within(t, 5*time.Second, "both know both", all([]*testNode{first, second}, 2))
		stop()
		synctest.Wait()
		again := n.start(ctx, 0, 50)
		again.server.Publish(&board.BackendServer{ID: "new", State: board.ServerReady, Service: "desk", Slots: 4})
		within(t, 5*time.Second, "the new life is known", func() bool {
			return second.board.Fleet.Load().ByInstance["n0"].Record.ServerID == "new"
		})
		cancel()
		synctest.Wait()
	})
}

// Guards against a fleet that loses what its nodes found out about their
// backend servers when all of them restart.
func TestCrowdingOutlastsARestartOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork()
		nodes := fleetOf(ctx, n, 4)
		nodes[0].board.ServerLoad.SetContention(board.ContentionNone)
		within(t, time.Second, "told to all", func() bool {
			for _, node := range nodes {
				if node.board.Fleet.Load().Contention != board.ContentionNone {
					return false
				}
			}
			return true
		})
		stored := nodes[0].board.Fleet.Load().ByInstance["n0"].Record
		cancel()
		synctest.Wait()
		ctx, cancel = context.WithCancel(t.Context())
		again := n.start(ctx, 0, 2)
		synctest.Wait()
		again.list(stored)
		within(t, time.Second, "read from the store", func() bool {
			return again.board.Fleet.Load().Contention == board.ContentionNone
		})
		own := again.board.Fleet.Load().ByInstance["n0"].Record
		require.Equal(t, board.ContentionNone, own.Contention)
		require.EqualValues(t, 2, own.Incarnation)
		cancel()
		synctest.Wait()
	})
}

// Guards against calls for a node that is gone and whose address another one
// has: the address answers, but not for the service.
func TestAddressOfAnotherNodeIsNotTheOldOne(t *testing.T) {
	for name, incarnation := range map[string]uint64{"newer": 2, "clock behind": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				n := newNetwork()
				nodes := fleetOf(ctx, n, 4)
				within(t, 2*time.Second, "start", all(nodes, 4))
				gone, end := context.WithCancel(ctx)
				lost := n.start(gone, 4, 1)
				synctest.Wait()
				lost.list(nodes[0].board.Fleet.Load().ByInstance["n0"].Record)
				within(t, 2*time.Second, "joined", all(nodes, 5))
				end()
				synctest.Wait()
				next := n.startAt(ctx, 4, incarnation, board.NodeIdentity{Instance: "next", Service: "vault"})
				synctest.Wait()
				next.list(nodes[0].board.Fleet.Load().ByInstance["n0"].Record)
				within(t, 3*time.Second, "the old node is gone", all(nodes, 4))
				time.Sleep(5 * time.Second)
				within(t, 0+tick, "and stays so", all(nodes, 4))
				require.Len(t, nodes[1].board.Fleet.Load().ByService["vault"], 1)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a backend server that is idle while only its node restarts,
// and against calls for a node that is about to exit.
func TestStoppingNodeExecutesUntilItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		nodes := fleetOf(ctx, newNetwork(), 3)
		within(t, 2*time.Second, "start", all(nodes, 3))
		stopping := nodes[2].board.Shutdown.Claim("test")
		stopping.Publish(&board.ShutdownState{Requested: true})
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 3, takers(nodes[0]))
		stopping.Publish(&board.ShutdownState{Requested: true, Leaving: true})
		within(t, time.Second, "told", all(nodes, 2))
		cancel()
		synctest.Wait()
	})
}

// Guards against traffic that grows with the square of the fleet when many
// nodes change at once.
func TestChangesOfManyNodesShareMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork()
		nodes := fleetOf(ctx, n, 8)
		within(t, 2*time.Second, "start", all(nodes, 8))
		time.Sleep(time.Second)
		before := n.exchanges.Load()
		for i := range 40 {
			record := board.NodeRecord{Instance: board.InstanceID(fmt.Sprint("new-", i)), Incarnation: 1, Sequence: 1, PeerAddr: fmt.Sprint("nowhere-", i), Service: "other"}
			nodes[0].board.NodeRecords.Post(board.NodeRecordBatch{Records: []board.NodeRecord{record}, From: "n1"})
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		require.Less(t, n.exchanges.Load()-before, int64(80), "answered messages in 40 ms")
		within(t, 2*time.Second, "told to all", func() bool {
			for _, node := range nodes {
				if node.board.Fleet.Load().Size < 40 {
					return false
				}
			}
			return true
		})
		cancel()
		synctest.Wait()
	})
}

// Guards against nodes that are asked again and again because they came after
// the newest listing of the store, which may be minutes old.
func TestNodesAfterTheListingAreNotDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork()
		fleetOf(ctx, n, 40)
		time.Sleep(10 * time.Second)
		n.exchanges.Store(0)
		time.Sleep(10 * time.Second)
		perNode := float64(n.exchanges.Load()) / 40 / 10
		require.Less(t, perNode, 1.5*randomExchanges/tick.Seconds())
		cancel()
		synctest.Wait()
	})
}
