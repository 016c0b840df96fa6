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

// testSeed fixes the random choices of all tests of this package.
const testSeed = 20261204

const linkDelay = time.Millisecond

// tombstoneTime is shorter than in service to save simulated time.
const tombstoneTime = 3 * time.Minute

// inBubble runs a test on the fake clock. It uses one processor: the race
// detector of Go 1.26 crashes when two threads run timers of one bubble at the
// same time, because they share one race context.
func inBubble(t *testing.T, test func(*testing.T)) {
	t.Helper()
	old := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(old)
	synctest.Test(t, test)
}

// inNetwork runs a test in a bubble with a network of its own.
func inNetwork(t *testing.T, test func(*testing.T, *network)) {
	t.Helper()
	inBubble(t, func(t *testing.T) {
		n := newNetwork(t)
		defer n.stopAll()
		test(t, n)
	})
}

// network passes messages between the controllers of one test. Messages are
// encoded, so that their sizes count and nothing is shared.
type network struct {
	mu     sync.Mutex
	nodes  map[string]*testNode
	cut    func(from, to string) bool
	loss   float64
	twice  float64
	random *rand.Rand
	bytes  int
	store  ContactStore
}

type testNode struct {
	net       *network
	addr      string
	board     *board.Board
	responder *Responder
	local     *board.Writer[*board.LocalServer]
	stop      context.CancelFunc
	done      chan struct{}
}

func newNetwork(t *testing.T) *network {
	t.Logf("seed %d", testSeed)
	return &network{
		nodes: map[string]*testNode{}, random: rand.New(rand.NewPCG(testSeed, 0)),
		cut: func(string, string) bool { return false },
	}
}

// start runs a node. Its address is its name unless addr is given.
func (n *network) start(name, region, addr string, seeds ...string) *testNode {
	if addr == "" {
		addr = name
	}
	b := board.New(board.InstanceID(name))
	node := &testNode{net: n, addr: addr, board: b, done: make(chan struct{})}
	node.responder = &Responder{Board: b, Peers: node}
	self := board.Member{
		Instance: board.InstanceID(name), Incarnation: uint64(time.Now().UnixNano()), Sequence: 1,
		Region: region, FailureDomain: region + "-a", PeerAddr: addr,
	}
	c := New(b, Options{Self: self, SeedAddrs: seeds, Store: n.store, Peers: node, Log: zerolog.Nop(), Seed: testSeed + uint64(len(n.nodes)), TombstoneTime: tombstoneTime})
	node.local = b.LocalServer.Claim("test")
	node.setLocal(&board.LocalServer{Announced: true, Service: "s", Slots: 10, Incarnation: 7})
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

// startFleet runs count nodes that know the first one.
func (n *network) startFleet(count int, region string) []*testNode {
	var nodes []*testNode
	for i := range count {
		nodes = append(nodes, n.start(fmt.Sprintf("%s-%03d", region, i), region, "", region+"-000"))
	}
	return nodes
}

// crash ends a node without a message to the others.
func (n *network) crash(node *testNode) {
	n.mu.Lock()
	if n.nodes[node.addr] == node {
		delete(n.nodes, node.addr)
	}
	n.mu.Unlock()
	node.stop()
	<-node.done
}

func (n *network) stopAll() {
	for _, node := range n.nodes {
		node.stop()
	}
	for _, node := range n.nodes {
		<-node.done
	}
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// chance is true with the given probability.
func (n *network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < p
}

func (n *network) lookUp(from, to string) *testNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut(from, to) {
		return nil
	}
	return n.nodes[to]
}

func (n *network) count(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += bytes
}

func (n *network) takeBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := n.bytes
	n.bytes = 0
	return bytes
}

func (t *testNode) setLocal(local *board.LocalServer) { t.local.Publish(local) }

// Refresh implements Peers.
func (t *testNode) Refresh(string) {}

// Exchange implements Peers.
func (t *testNode) Exchange(ctx context.Context, addr string, send wire.MessageType, message any, _ wire.MessageType, answer any) error {
	frame, err := t.pass(send, message)
	if err != nil {
		return err
	}
	if !control.Sleep(ctx, linkDelay) {
		return ctx.Err()
	}
	target := t.net.lookUp(t.addr, addr)
	if target == nil || t.net.chance(t.net.loss) {
		<-ctx.Done()
		return ctx.Err()
	}
	if t.net.chance(t.net.twice) {
		_, _, _ = target.respond(ctx, frame)
	}
	kind, reply, err := target.respond(ctx, frame)
	if err != nil {
		return err
	}
	frame, err = t.pass(kind, reply)
	if err != nil {
		return err
	}
	if !control.Sleep(ctx, linkDelay) {
		return ctx.Err()
	}
	if t.net.lookUp(addr, t.addr) == nil || t.net.chance(t.net.loss) {
		<-ctx.Done()
		return ctx.Err()
	}
	return frame.Decode(answer)
}

// pass encodes a message as it goes over the wire.
func (t *testNode) pass(kind wire.MessageType, message any) (wire.Frame, error) {
	var buffer bytes.Buffer
	if err := wire.WriteMessage(&buffer, kind, message); err != nil {
		return wire.Frame{}, err
	}
	t.net.count(buffer.Len())
	return wire.ReadFrame(&buffer)
}

func (t *testNode) respond(ctx context.Context, frame wire.Frame) (wire.MessageType, any, error) {
	switch frame.Type {
	case wire.TypePing:
		m, err := decode[wire.Ping](frame)
		return wire.TypePingResponse, t.responder.Ping(m), err
	case wire.TypePingIndirect:
		m, err := decode[wire.PingIndirect](frame)
		if err != nil {
			return 0, nil, err
		}
		answer, err := t.responder.PingIndirect(ctx, m)
		return wire.TypePingResponse, answer, err
	case wire.TypeDigest:
		m, err := decode[wire.Digest](frame)
		return wire.TypeDigest, t.responder.Digest(m), err
	case wire.TypeDelta:
		m, err := decode[wire.Delta](frame)
		return wire.TypeDelta, t.responder.Delta(m), err
	case wire.TypeRumor:
		m, err := decode[wire.Rumors](frame)
		return wire.TypeAck, t.responder.Rumors(m), err
	}
	return 0, nil, errors.Errorf("no handler for type %d", frame.Type)
}

func decode[M any](frame wire.Frame) (M, error) {
	var m M
	err := frame.Decode(&m)
	return m, err
}

// state returns what the node holds of an instance, and whether it holds any.
func (t *testNode) state(id string) (board.Member, bool) {
	return t.board.Members.Load().Get(board.InstanceID(id))
}

// live counts the live members that the node knows.
func (t *testNode) live() int {
	live := 0
	for _, m := range t.board.Members.Load().ByInstance {
		if m.State < board.MemberLeft {
			live++
		}
	}
	return live
}

// eventually waits on the fake clock until the condition holds.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for {
		synctest.Wait()
		if condition() {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// allLive reports whether each node knows count live members.
func allLive(nodes []*testNode, count int) func() bool {
	return func() bool {
		for _, node := range nodes {
			if node.live() != count {
				return false
			}
		}
		return true
	}
}

// testStore is the stand-in of the store without its HTTP interface. It
// answers nothing while it is down.
type testStore struct {
	store *store.Store
	mu    sync.Mutex
	down  bool
	calls int
}

func newTestStore() *testStore { return &testStore{store: store.New(time.Now)} }

func (s *testStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *testStore) enter(ctx context.Context) error {
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
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	return s.store.List(prefix), nil
}

func (s *testStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.enter(ctx); err != nil {
		return platform.Entry{}, err
	}
	return s.store.Get(key)
}

func (s *testStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	revision, err := s.store.CompareAndSwap(key, expect, value, lease)
	if err != nil {
		return 0, errors.Annotate(platform.ErrConflict, err.Error())
	}
	return revision, nil
}

func (s *testStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	if err := s.enter(ctx); err != nil {
		return platform.Lease{}, err
	}
	return s.store.Grant(ttl), nil
}

func (s *testStore) RenewLease(ctx context.Context, id string) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	if s.store.Renew(id) != nil {
		return errors.Annotate(platform.ErrNotFound, id)
	}
	return nil
}

func (s *testStore) RevokeLease(ctx context.Context, id string) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	if s.store.Revoke(id) != nil {
		return errors.Annotate(platform.ErrNotFound, id)
	}
	return nil
}
