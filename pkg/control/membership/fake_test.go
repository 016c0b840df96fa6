package membership

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/pkg/wire"
	"mangostand.example/mangostand/platform"
)

// testSeed makes the random choices of all tests of this package reproducible.
const testSeed = 20261204

// linkDelay is the one-way delay of the network.
const linkDelay = time.Millisecond

// testTombstoneTTL is shorter than in production to save simulated time.
const testTombstoneTTL = 3 * time.Minute

// runWithFakeClock runs a test in a synctest bubble. It uses one processor,
// because the race detector of Go 1.26 crashes when two threads run timers of
// one bubble at the same time; they share one race context.
func runWithFakeClock(t *testing.T, test func(*testing.T)) {
	t.Helper()
	old := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(old)
	synctest.Test(t, test)
}

// runWithNetwork runs a test with the fake clock and a network of its own.
func runWithNetwork(t *testing.T, test func(*testing.T, *fakeNetwork)) {
	t.Helper()
	runWithFakeClock(t, func(t *testing.T) {
		n := newFakeNetwork(t)
		defer n.stopAll()
		test(t, n)
	})
}

// fakeNetwork carries messages between the controllers of one test. It encodes
// them, so that their sizes are realistic and the nodes share no memory.
type fakeNetwork struct {
	mu    sync.Mutex
	nodes map[string]*testNode
	// partitioned reports whether a node cannot reach another one.
	partitioned   func(from, to string) bool
	lossRate      float64
	duplicateRate float64
	random        *rand.Rand
	sentBytes     int
	store         ContactStore
}

// testNode is a node on a fakeNetwork. It implements Peers.
type testNode struct {
	network      *fakeNetwork
	addr         string
	board        *board.Board
	responder    *Responder
	serverWriter *board.Writer[*board.LocalServer]
	stop         context.CancelFunc
	done         chan struct{}
}

func newFakeNetwork(t *testing.T) *fakeNetwork {
	t.Logf("seed %d", testSeed)
	return &fakeNetwork{
		nodes: map[string]*testNode{}, random: rand.New(rand.NewPCG(testSeed, 0)),
		partitioned: func(string, string) bool { return false },
	}
}

// start starts a node. Its address is its name unless addr is given.
func (n *fakeNetwork) start(name, region, addr string, seeds ...string) *testNode {
	if addr == "" {
		addr = name
	}
	b := board.New(board.InstanceID(name))
	node := &testNode{network: n, addr: addr, board: b, done: make(chan struct{})}
	node.responder = &Responder{Board: b, Peers: node}
	self := board.Member{
		Instance: board.InstanceID(name), Incarnation: uint64(time.Now().UnixNano()), Sequence: 1,
		Region: region, FailureDomain: region + "-a", PeerAddr: addr,
	}
	c := New(b, Options{Self: self, SeedAddrs: seeds, Store: n.store, Peers: node, Log: zerolog.Nop(), RandomSeed: testSeed + uint64(len(n.nodes)), TombstoneTTL: testTombstoneTTL})
	node.serverWriter = b.LocalServer.Claim("test")
	node.setServer(&board.LocalServer{Announced: true, Service: "s", Slots: 10, Incarnation: 7})
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = cancel
	n.mu.Lock()
	n.nodes[addr] = node
	n.mu.Unlock()
	go func() {
		defer close(node.done)
		c.Run(ctx)
	}()
	return node
}

// startFleet starts nodes whose only seed is the first one.
func (n *fakeNetwork) startFleet(size int, region string) []*testNode {
	var nodes []*testNode
	for i := range size {
		nodes = append(nodes, n.start(fmt.Sprintf("%s-%03d", region, i), region, "", region+"-000"))
	}
	return nodes
}

// crash stops a node without any message to the others.
func (n *fakeNetwork) crash(node *testNode) {
	n.mu.Lock()
	if n.nodes[node.addr] == node {
		delete(n.nodes, node.addr)
	}
	n.mu.Unlock()
	node.stop()
	<-node.done
}

func (n *fakeNetwork) stopAll() {
	for _, node := range n.nodes {
		node.stop()
	}
	for _, node := range n.nodes {
		<-node.done
	}
}

func (n *fakeNetwork) setPartition(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// drawBool returns true with probability p.
func (n *fakeNetwork) drawBool(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < p
}

// reachableNode returns the node at an address, or nil if there is none or a
// partition lies in between.
func (n *fakeNetwork) reachableNode(from, to string) *testNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned(from, to) {
		return nil
	}
	return n.nodes[to]
}

func (n *fakeNetwork) countBytes(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes += bytes
}

// takeSentBytes returns the number of bytes sent since the last call.
func (n *fakeNetwork) takeSentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := n.sentBytes
	n.sentBytes = 0
	return bytes
}

func (node *testNode) setServer(local *board.LocalServer) { node.serverWriter.Publish(local) }

// Refresh implements Peers.
func (node *testNode) Refresh(string) {}

// Exchange implements Peers.
func (node *testNode) Exchange(ctx context.Context, addr string, requestType wire.MessageType, message any, _ wire.MessageType, response any) error {
	frame, err := node.encode(requestType, message)
	if err != nil {
		return err
	}
	if !control.Sleep(ctx, linkDelay) {
		return ctx.Err()
	}
	target := node.network.reachableNode(node.addr, addr)
	if target == nil || node.network.drawBool(node.network.lossRate) {
		<-ctx.Done()
		return ctx.Err()
	}
	if node.network.drawBool(node.network.duplicateRate) {
		_, _, _ = target.respond(ctx, frame)
	}
	responseType, responseMessage, err := target.respond(ctx, frame)
	if err != nil {
		return err
	}
	frame, err = node.encode(responseType, responseMessage)
	if err != nil {
		return err
	}
	if !control.Sleep(ctx, linkDelay) {
		return ctx.Err()
	}
	if node.network.reachableNode(addr, node.addr) == nil || node.network.drawBool(node.network.lossRate) {
		<-ctx.Done()
		return ctx.Err()
	}
	return frame.Decode(response)
}

// encode encodes a message as on the wire and counts its bytes.
func (node *testNode) encode(messageType wire.MessageType, message any) (wire.Frame, error) {
	var buffer bytes.Buffer
	if err := wire.WriteMessage(&buffer, messageType, message); err != nil {
		return wire.Frame{}, err
	}
	node.network.countBytes(buffer.Len())
	return wire.ReadFrame(&buffer)
}

// respond passes a frame to the responder, as the transport does.
func (node *testNode) respond(ctx context.Context, frame wire.Frame) (wire.MessageType, any, error) {
	switch frame.Type {
	case wire.TypePing:
		m, err := decode[wire.Ping](frame)
		return wire.TypePingResponse, node.responder.Ping(m), err
	case wire.TypePingIndirect:
		m, err := decode[wire.PingIndirect](frame)
		if err != nil {
			return 0, nil, err
		}
		response, err := node.responder.PingIndirect(ctx, m)
		return wire.TypePingResponse, response, err
	case wire.TypeDigest:
		m, err := decode[wire.Digest](frame)
		return wire.TypeDigest, node.responder.Digest(m), err
	case wire.TypeDelta:
		m, err := decode[wire.Delta](frame)
		return wire.TypeDelta, node.responder.Delta(m), err
	case wire.TypeRumor:
		m, err := decode[wire.Rumors](frame)
		return wire.TypeAck, node.responder.Rumors(m), err
	}
	return 0, nil, errors.Errorf("no handler for type %d", frame.Type)
}

func decode[M any](frame wire.Frame) (M, error) {
	var m M
	err := frame.Decode(&m)
	return m, err
}

// record returns the record that the node has of an instance, and whether it
// has one.
func (node *testNode) record(id string) (board.Member, bool) {
	return node.board.Members.Load().Get(board.InstanceID(id))
}

// liveMembers returns the number of live members that the node knows.
func (node *testNode) liveMembers() int {
	live := 0
	for _, m := range node.board.Members.Load().ByInstance {
		if m.State < board.MemberLeft {
			live++
		}
	}
	return live
}

// eventually waits on the fake clock until the condition holds and returns how
// long that took.
func eventually(t *testing.T, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for {
		synctest.Wait()
		if condition() {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			t.Fatalf("not within %s: %s", limit, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// allSeeLive reports whether each node knows the wanted number of live members.
func allSeeLive(nodes []*testNode, want int) func() bool {
	return func() bool {
		for _, node := range nodes {
			if node.liveMembers() != want {
				return false
			}
		}
		return true
	}
}

// testStore is the stand-in store without its HTTP interface. While it is down,
// calls time out.
type testStore struct {
	inner *store.Store
	mu    sync.Mutex
	down  bool
	calls int
}

func newTestStore() *testStore { return &testStore{inner: store.New(time.Now)} }

func (s *testStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// beginCall counts a call. While the store is down it fails when ctx ends.
func (s *testStore) beginCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if !down {
		return nil
	}
	<-ctx.Done()
	return errors.Annotate(platform.ErrUnavailable, "store is down")
}

func (s *testStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	return s.inner.List(prefix), nil
}

func (s *testStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.beginCall(ctx); err != nil {
		return platform.Entry{}, err
	}
	return s.inner.Get(key)
}

func (s *testStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	revision, err := s.inner.CompareAndSwap(key, expect, value, lease)
	if err != nil {
		return 0, errors.Annotate(platform.ErrConflict, err.Error())
	}
	return revision, nil
}

func (s *testStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	if err := s.beginCall(ctx); err != nil {
		return platform.Lease{}, err
	}
	return s.inner.Grant(ttl), nil
}

func (s *testStore) RenewLease(ctx context.Context, id string) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	if s.inner.Renew(id) != nil {
		return errors.Annotate(platform.ErrNotFound, id)
	}
	return nil
}

func (s *testStore) RevokeLease(ctx context.Context, id string) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	if s.inner.Revoke(id) != nil {
		return errors.Annotate(platform.ErrNotFound, id)
	}
	return nil
}
