package atmostonce_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/epoch"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
	"mangostand.example/mangostand/platform"
)

const (
	service        = "bookings"
	caller         = "atelier"
	messageLatency = time.Millisecond
	serviceTime    = 20 * time.Millisecond
)

// errMessageLost is returned for every failed message exchange.
const errMessageLost = errors.ConstError("message lost")

// testMesh connects nodes in one process and can lose their messages. It encodes
// and decodes every message, so that each test covers the codec.
type testMesh struct {
	mu    sync.Mutex
	nodes map[board.InstanceID]*node
	// partition assigns nodes to partitions. Nodes of different partitions cannot
	// reach each other.
	partition map[board.InstanceID]int
	store     *memoryStore
	// executions lists, for each key, the IDs of the requests executed at a
	// backend server.
	executions map[string][]string
	// executionLog describes where and when each key was executed, for the output
	// of failed tests.
	executionLog    map[string][]string
	lastIncarnation uint64
	// faultRandom draws the delays and losses of single messages. Nil disables
	// them.
	faultRandom *rand.Rand
	limits      dynconf.AtMostOnce
	// faults are the faults of one scenario of the fault matrix.
	faults injectedFaults
}

// node is one incarnation of an instance.
type node struct {
	mesh       *testMesh
	member     board.Member
	board      *board.Board
	controller *atmostonce.KeyController
	members    *board.Writer[*board.Members]
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	dead       bool
}

func newTestMesh(t *testing.T, names ...board.InstanceID) *testMesh {
	mesh := &testMesh{
		nodes: map[board.InstanceID]*node{}, partition: map[board.InstanceID]int{}, executions: map[string][]string{}, executionLog: map[string][]string{},
		store: &memoryStore{values: map[string]platform.Entry{}}, limits: dynconf.Default().AtMostOnce,
	}
	t.Cleanup(mesh.close)
	for _, name := range names {
		mesh.start(name)
	}
	mesh.awaitEpochChange()
	return mesh
}

// close stops all nodes. Their goroutines must end before the synctest bubble
// does.
func (mesh *testMesh) close() {
	for _, n := range mesh.nodes {
		n.cancel()
	}
	mesh.thawAll()
	for _, n := range mesh.nodes {
		n.goroutines.Wait()
	}
	mesh.faults.handlers.Wait()
}

// awaitEpochChange waits long enough for the nodes to adopt an epoch of the live
// nodes and to transfer the records.
func (mesh *testMesh) awaitEpochChange() { time.Sleep(5 * time.Second) }

// start starts a new incarnation of an instance.
func (mesh *testMesh) start(name board.InstanceID) *node {
	mesh.lastIncarnation++
	n := &node{mesh: mesh, board: board.New(name), member: board.Member{
		Instance: name, Incarnation: mesh.lastIncarnation, Service: service, PeerAddr: string(name), State: board.MemberServing,
	}}
	n.controller = atmostonce.New(name, mesh.lastIncarnation, n.board, testPeers{n}, zerolog.Nop())
	config := dynconf.Default()
	config.AtMostOnce = mesh.limits
	config.Services[service] = &dynconf.Service{Name: service, InstancePatterns: []string{"*"}}
	n.board.Config.Claim("test").Publish(config)
	n.board.LocalServer.Claim("test").Publish(&board.LocalServer{Announced: true, Service: service})
	n.members = n.board.Members.Claim("test")
	mesh.mu.Lock()
	mesh.nodes[name] = n
	mesh.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	epochController := epoch.New(n.board, n.controller, partitionedStore{mesh, name}, name, mesh.lastIncarnation, zerolog.Nop())
	n.goroutines.Go(func() { n.controller.Run(ctx) })
	n.goroutines.Go(func() { epochController.Run(ctx) })
	mesh.publishMembership()
	return n
}

// crash stops a node without notice. The other nodes learn of it from
// publishMembership.
func (mesh *testMesh) crash(name board.InstanceID) *node {
	mesh.mu.Lock()
	n := mesh.nodes[name]
	n.dead = true
	mesh.mu.Unlock()
	n.cancel()
	return n
}

// publishMembership replaces the membership protocol: each node gets the actual
// state of the nodes in its partition and sees the others as dead.
func (mesh *testMesh) publishMembership() {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	for _, n := range mesh.nodes {
		records := map[board.InstanceID]board.Member{}
		for name, other := range mesh.nodes {
			m := other.member
			if other.dead || mesh.partition[name] != mesh.partition[n.member.Instance] || mesh.faults.frozen[name] != nil && name != n.member.Instance {
				m.State = board.MemberDead
			}
			records[name] = m
		}
		n.members.Publish(board.NewMembers(n.member.Instance, records))
	}
}

// drain makes a node leave gracefully.
func (mesh *testMesh) drain(name board.InstanceID) {
	mesh.mu.Lock()
	mesh.nodes[name].member.State = board.MemberDraining
	mesh.mu.Unlock()
	mesh.publishMembership()
}

func (mesh *testMesh) setPartition(partition int, names ...board.InstanceID) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	for _, name := range names {
		mesh.partition[name] = partition
	}
}

// reachableNode returns the node that a message reaches, or nil if the message is
// lost.
func (mesh *testMesh) reachableNode(from *node, addr string) *node {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	to := mesh.nodes[board.InstanceID(addr)]
	if to == nil || to.dead || from.dead || mesh.partition[to.member.Instance] != mesh.partition[from.member.Instance] {
		return nil
	}
	return to
}

func (mesh *testMesh) epochView(name board.InstanceID) *board.EpochView {
	return mesh.nodes[name].board.Epochs.Load().Get(service)
}

func (mesh *testMesh) executionsOf(key string) []string {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return mesh.executions[key]
}

// enableRandomFaults makes the mesh delay, reorder and lose messages at random.
func (mesh *testMesh) enableRandomFaults(seed uint64) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	mesh.faultRandom = rand.New(rand.NewPCG(seed, seed))
}

// delayMessage waits for the latency of one message. With random faults enabled,
// the latency is random and messages may be reordered.
func (mesh *testMesh) delayMessage() {
	mesh.mu.Lock()
	d := messageLatency
	if mesh.faultRandom != nil {
		d = time.Duration(mesh.faultRandom.IntN(10)) * time.Millisecond
		if mesh.faultRandom.IntN(20) == 0 {
			d = time.Duration(mesh.faultRandom.IntN(700)) * time.Millisecond
		}
	}
	mesh.mu.Unlock()
	time.Sleep(d)
}

// dropMessage reports whether a message is lost at random.
func (mesh *testMesh) dropMessage() bool {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return mesh.faultRandom != nil && mesh.faultRandom.IntN(50) == 0
}

// testPeers implements atmostonce.Peers for one node of the mesh.
type testPeers struct{ from *node }

func sendMessage[Req, Resp any](ctx context.Context, p testPeers, addr string, requestType, responseType wire.MessageType, request *Req, handle func(*node, *Req) *Resp) (*Resp, error) {
	received, response := new(Req), new(Resp)
	encodeAndDecode(requestType, request, received)
	p.from.mesh.waitWhileFrozen(p.from)
	p.from.mesh.delayMessage()
	to := p.from.mesh.reachableNode(p.from, addr)
	if to == nil || p.from.mesh.dropMessage() || p.from.mesh.dropRequest(requestType) {
		<-ctx.Done()
		return nil, errMessageLost
	}
	result := deliver(ctx, to, requestType, received, handle)
	if result == nil || p.from.mesh.dropResponse(requestType) {
		<-ctx.Done()
		return nil, errMessageLost
	}
	p.from.mesh.delayMessage()
	p.from.mesh.waitWhileFrozen(p.from)
	if p.from.mesh.reachableNode(p.from, addr) != to || ctx.Err() != nil || p.from.mesh.dropMessage() {
		<-ctx.Done()
		return nil, errMessageLost
	}
	encodeAndDecode(responseType, result, response)
	return response, nil
}

func encodeAndDecode(t wire.MessageType, from, to any) {
	var buffer bytes.Buffer
	if err := wire.WriteMessage(&buffer, t, from); err != nil {
		panic(err)
	}
	if err := wire.ReadMessage(&buffer, t, to); err != nil {
		panic(err)
	}
}

func (p testPeers) Claim(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error) {
	return sendMessage(ctx, p, to.PeerAddr, wire.TypeClaim, wire.TypeClaimResponse, m,
		func(n *node, r *wire.Claim) *wire.ClaimResponse {
			ctx, cancel := receiverContext(ctx)
			defer cancel()
			return n.controller.HandleClaim(ctx, r)
		})
}

func (p testPeers) Seal(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealResponse, error) {
	return sendMessage(ctx, p, to.PeerAddr, wire.TypeSeal, wire.TypeSealResponse, m,
		func(n *node, r *wire.Seal) *wire.SealResponse { return n.controller.HandleSeal(r) })
}

func (p testPeers) Complete(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteResponse, error) {
	return sendMessage(ctx, p, to.PeerAddr, wire.TypeComplete, wire.TypeAck, m,
		func(n *node, r *wire.Complete) *wire.CompleteResponse { return n.controller.HandleComplete(r) })
}

func (p testPeers) Transfer(ctx context.Context, to board.EpochMember, m *wire.Transfer) (*wire.TransferPage, error) {
	return sendMessage(ctx, p, to.PeerAddr, wire.TypeTransfer, wire.TypeTransferPage, m,
		func(n *node, r *wire.Transfer) *wire.TransferPage { return n.controller.HandleTransfer(r) })
}

// memoryStore replaces the platform's store. Only nodes in partition 0 reach it.
type memoryStore struct {
	mu       sync.Mutex
	values   map[string]platform.Entry
	revision uint64
	down     bool
	// loseWriteResponses makes writes take effect without a response.
	loseWriteResponses bool
	writes             int
}

// setFaults sets the faults of the store.
func (m *memoryStore) setFaults(down, loseWriteResponses bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.loseWriteResponses = down, loseWriteResponses
}

func (m *memoryStore) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// restoreValue restores an earlier value, like a store that lost its last writes.
func (m *memoryStore) restoreValue(key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.values[key] = platform.Entry{Key: key, Value: value, Revision: m.revision}
}

// partitionedStore is the memoryStore as one node reaches it.
type partitionedStore struct {
	mesh     *testMesh
	instance board.InstanceID
}

func (s partitionedStore) reachable() bool {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	n := s.mesh.nodes[s.instance]
	return s.mesh.partition[s.instance] == 0 && !n.dead
}

func (s partitionedStore) Get(_ context.Context, key string) (platform.Entry, error) {
	connected := s.reachable()
	m := s.mesh.store
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.values[key]
	switch {
	case m.down || !connected:
		return platform.Entry{}, platform.ErrUnavailable
	case !ok:
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, nil
}

func (s partitionedStore) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte, _ string) (uint64, error) {
	connected := s.reachable()
	m := s.mesh.store
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down || !connected:
		return 0, platform.ErrUnavailable
	case m.values[key].Revision != expect:
		return 0, platform.ErrConflict
	}
	m.revision++
	m.writes++
	m.values[key] = platform.Entry{Key: key, Value: value, Revision: m.revision}
	if m.loseWriteResponses {
		return 0, platform.ErrIndeterminate
	}
	return m.revision, nil
}

func newKey() string {
	var random [10]byte
	binary.BigEndian.PutUint64(random[:], rand.Uint64())
	return keyhome.NewKey(time.Now(), random)
}

func keyID(key string) board.KeyID { return board.KeyID{Service: service, Caller: caller, Key: key} }

// newKeyWithHome returns a new key whose home is the given node in the epoch
// known to instance.
func (mesh *testMesh) newKeyWithHome(instance, home board.InstanceID) string {
	return generateKeyWithHome(mesh.epochView(instance).Epoch.Members, home)
}

// generateKeyWithHome returns a new key whose home is the given one of the
// members.
func generateKeyWithHome(members []board.EpochMember, home board.InstanceID) string {
	for {
		key := newKey()
		if h, _ := keyhome.Home(members, keyID(key)); h.Instance == home {
			return key
		}
	}
}

// callOptions are the options of a test call.
type callOptions struct {
	key, digest  string
	keyGenerated bool
	// executor is the only executor allowed, if set.
	executor board.InstanceID
	// executors are the only executors allowed, if set. The first available one
	// in the order of their names is used.
	executors []board.InstanceID
	// beforeSend is called when a grant has been obtained.
	beforeSend func(call *wire.Call)
	deadline   time.Duration
	// maxAttempts is 3 if it is not set.
	maxAttempts int
}

// invoke makes a call with the node as its entry. It returns the result and the
// request ID.
func (n *node) invoke(options callOptions) (atmostonce.Result, string) {
	ctx, cancel := context.WithTimeout(context.Background(), max(options.deadline, 2*time.Second))
	defer cancel()
	if options.digest == "" {
		options.digest = "digest"
	}
	requestID := uuid.NewString()
	chosen := board.Member{}
	result := n.controller.Invoke(ctx, &atmostonce.Call{
		ID: keyID(options.key), RequestDigest: options.digest, RequestID: requestID, KeyGenerated: options.keyGenerated, MaxAttempts: cmp.Or(options.maxAttempts, 3),
		PickExecutor: func(exclude []board.InstanceID) (board.InstanceID, uint64, bool) {
			chosen = n.pickExecutor(options, exclude)
			return chosen.Instance, chosen.Incarnation, chosen.Instance != ""
		},
		Send: func(ctx context.Context, epoch, grant uint64, _ int) (board.Outcome, board.Reason) {
			call := &wire.Call{
				RequestID: requestID, Service: service, Caller: caller, Key: options.key, RequestDigest: options.digest,
				Epoch: epoch, Grant: grant, ExecutorIncarnation: chosen.Incarnation,
			}
			if options.beforeSend != nil {
				options.beforeSend(call)
			}
			return n.sendCall(ctx, chosen.Instance, call)
		},
	})
	return result, requestID
}

func (n *node) pickExecutor(options callOptions, exclude []board.InstanceID) board.Member {
	var candidates []board.Member
	for _, m := range n.board.Members.Load().ByService[service] {
		excluded := false
		for _, e := range exclude {
			excluded = excluded || e == m.Instance
		}
		if m.State == board.MemberServing && !excluded && options.allowsExecutor(m.Instance) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return board.Member{}
	}
	if len(options.executors) > 0 {
		return candidates[0]
	}
	return candidates[rand.IntN(len(candidates))]
}

func (options callOptions) allowsExecutor(executor board.InstanceID) bool {
	if len(options.executors) > 0 {
		return slices.Contains(options.executors, executor)
	}
	return options.executor == "" || options.executor == executor
}

// sendCall sends a call to its executor and returns the outcome.
func (n *node) sendCall(ctx context.Context, to board.InstanceID, call *wire.Call) (board.Outcome, board.Reason) {
	n.mesh.injectFaultsAt(call.Key, stepSent)
	n.mesh.waitWhileFrozen(n)
	n.mesh.delayMessage()
	executor := n.mesh.reachableNode(n, string(to))
	if executor == nil || n.mesh.dropRequest(wire.TypeCall) {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	outcome, reason := executor.receiveCall(ctx, call)
	n.mesh.delayMessage()
	n.mesh.waitWhileFrozen(n)
	if n.mesh.dropResponse(wire.TypeCall) {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	if n.mesh.reachableNode(n, string(to)) != executor {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	return outcome, reason
}

func (n *node) executeCall(ctx context.Context, call *wire.Call) (board.Outcome, board.Reason) {
	n.mesh.injectFaultsAt(call.Key, stepQueued)
	n.mesh.waitWhileFrozen(n)
	execution, refusal := n.controller.BeginExecution(ctx, call)
	if refusal != nil {
		return refusal.Outcome, refusal.Reason
	}
	if !n.recordExecution(call) {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	n.mesh.injectFaultsAt(call.Key, stepRunning)
	time.Sleep(serviceTime)
	n.mesh.waitWhileFrozen(n)
	n.mesh.mu.Lock()
	dead := n.dead
	n.mesh.mu.Unlock()
	if !dead {
		execution.RecordOutcome(board.OutcomeSucceeded, "", &board.KeyResponse{Status: 200, Body: []byte(call.RequestID), BodyStored: true})
	}
	n.mesh.injectFaultsAt(call.Key, stepResponding)
	n.mesh.waitWhileFrozen(n)
	return board.OutcomeSucceeded, ""
}

func (n *node) recordExecution(call *wire.Call) bool {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	if n.dead {
		return false
	}
	n.mesh.executions[call.Key] = append(n.mesh.executions[call.Key], call.RequestID)
	n.mesh.executionLog[call.Key] = append(n.mesh.executionLog[call.Key], fmt.Sprintf("%s of %s at %s in epoch %d grant %d",
		call.RequestID, n.member.Instance, time.Now().Format("04:05.000"), call.Epoch, call.Grant))
	return true
}

func (mesh *testMesh) requireEpochMembers(t *testing.T, instance board.InstanceID, names ...board.InstanceID) {
	t.Helper()
	var got []board.InstanceID
	for _, m := range mesh.epochView(instance).Epoch.Members {
		got = append(got, m.Instance)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	require.Equal(t, names, got)
}

func instanceIDs(count int) []board.InstanceID {
	var out []board.InstanceID
	for i := range count {
		out = append(out, board.InstanceID("n"+strconv.Itoa(i)))
	}
	return out
}
