package atmostonce_test

import (
	"bytes"
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
	service     = "bookings"
	caller      = "atelier"
	latency     = time.Millisecond
	serviceTime = 20 * time.Millisecond
)

// errLost stands for every failure of an exchange.
const errLost = errors.ConstError("message lost")

// fabric connects nodes in one process and can lose their messages. It carries
// the encoded messages, so that the codec is part of each test.
type fabric struct {
	mu    sync.Mutex
	nodes map[board.InstanceID]*node
	// side puts nodes into partitions; nodes of different sides hear nothing of
	// each other.
	side  map[board.InstanceID]int
	store *memoryStore
	// runs lists the request IDs that ran each key at a backend server.
	runs map[string][]string
	// places tells for failed tests where and when each run was.
	places map[string][]string
	life   uint64
	// rough draws delays and losses of single messages; nil for none.
	rough  *rand.Rand
	limits dynconf.AtMostOnce
	// faults are the faults of one row of the fault matrix.
	faults rowFaults
}

// node is one incarnation of an instance.
type node struct {
	fabric  *fabric
	self    board.Member
	board   *board.Board
	keeper  *atmostonce.KeyController
	members *board.Writer[*board.Members]
	stop    context.CancelFunc
	stopped sync.WaitGroup
	dead    bool
}

func newFabric(t *testing.T, names ...board.InstanceID) *fabric {
	f := &fabric{
		nodes: map[board.InstanceID]*node{}, side: map[board.InstanceID]int{}, runs: map[string][]string{}, places: map[string][]string{},
		store: &memoryStore{values: map[string]platform.Entry{}}, limits: dynconf.Default().AtMostOnce,
	}
	t.Cleanup(f.close)
	for _, name := range names {
		f.start(name)
	}
	f.settle()
	return f
}

// close ends all nodes; their goroutines must not outlive the bubble.
func (f *fabric) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.thawAll()
	for _, n := range f.nodes {
		n.stopped.Wait()
	}
	f.faults.handling.Wait()
}

// settle waits until an epoch with the live nodes is adopted and transferred.
func (f *fabric) settle() { time.Sleep(5 * time.Second) }

// start begins a new life of an instance.
func (f *fabric) start(name board.InstanceID) *node {
	f.life++
	n := &node{fabric: f, board: board.New(name), self: board.Member{
		Instance: name, Incarnation: f.life, Service: service, PeerAddr: string(name), State: board.MemberServing,
	}}
	n.keeper = atmostonce.New(name, f.life, n.board, link{n}, zerolog.Nop())
	config := dynconf.Default()
	config.AtMostOnce = f.limits
	config.Services[service] = &dynconf.Service{Name: service, InstancePatterns: []string{"*"}}
	n.board.Config.Claim("test").Publish(config)
	n.board.LocalServer.Claim("test").Publish(&board.LocalServer{Announced: true, Service: service})
	n.members = n.board.Members.Claim("test")
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	controller := epoch.New(n.board, n.keeper, sidedStore{f, name}, name, f.life, zerolog.Nop())
	n.stopped.Go(func() { n.keeper.Run(ctx) })
	n.stopped.Go(func() { controller.Run(ctx) })
	f.detect()
	return n
}

// crash ends a node without warning; detect tells the others.
func (f *fabric) crash(name board.InstanceID) *node {
	f.mu.Lock()
	n := f.nodes[name]
	n.dead = true
	f.mu.Unlock()
	n.stop()
	return n
}

// detect stands in for the membership: each node learns the truth about its
// side, and that nodes of the other side are dead.
func (f *fabric) detect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		records := map[board.InstanceID]board.Member{}
		for name, other := range f.nodes {
			m := other.self
			if other.dead || f.side[name] != f.side[n.self.Instance] || f.faults.frozen[name] != nil && name != n.self.Instance {
				m.State = board.MemberDead
			}
			records[name] = m
		}
		n.members.Publish(board.NewMembers(n.self.Instance, records))
	}
}

// drain makes a node leave gracefully.
func (f *fabric) drain(name board.InstanceID) {
	f.mu.Lock()
	f.nodes[name].self.State = board.MemberDraining
	f.mu.Unlock()
	f.detect()
}

func (f *fabric) split(side int, names ...board.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.side[name] = side
	}
}

// target returns the node that a message reaches, nil when it is lost.
func (f *fabric) target(from *node, addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.nodes[board.InstanceID(addr)]
	if to == nil || to.dead || from.dead || f.side[to.self.Instance] != f.side[from.self.Instance] {
		return nil
	}
	return to
}

func (f *fabric) epochOf(name board.InstanceID) *board.EpochView {
	return f.nodes[name].board.Epochs.Load().Get(service)
}

func (f *fabric) runsOf(key string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// roughen makes the fabric delay, reorder and lose messages.
func (f *fabric) roughen(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rough = rand.New(rand.NewPCG(seed, seed))
}

// delay is the way of one message; a rough fabric reorders some.
func (f *fabric) delay() {
	f.mu.Lock()
	d := latency
	if f.rough != nil {
		d = time.Duration(f.rough.IntN(10)) * time.Millisecond
		if f.rough.IntN(20) == 0 {
			d = time.Duration(f.rough.IntN(700)) * time.Millisecond
		}
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// loses reports whether a rough fabric loses a message.
func (f *fabric) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rough != nil && f.rough.IntN(50) == 0
}

// link is one node's end of the fabric.
type link struct{ from *node }

func exchange[Q, A any](ctx context.Context, l link, addr string, qt, at wire.MessageType, q *Q, handle func(*node, *Q) *A) (*A, error) {
	question, answer := new(Q), new(A)
	copyMessage(qt, q, question)
	l.from.fabric.hold(l.from)
	l.from.fabric.delay()
	to := l.from.fabric.target(l.from, addr)
	if to == nil || l.from.fabric.loses() || l.from.fabric.losesQuestion(qt) {
		<-ctx.Done()
		return nil, errLost
	}
	result := deliver(ctx, to, qt, question, handle)
	if result == nil || l.from.fabric.losesAnswer(qt) {
		<-ctx.Done()
		return nil, errLost
	}
	l.from.fabric.delay()
	l.from.fabric.hold(l.from)
	if l.from.fabric.target(l.from, addr) != to || ctx.Err() != nil || l.from.fabric.loses() {
		<-ctx.Done()
		return nil, errLost
	}
	copyMessage(at, result, answer)
	return answer, nil
}

func copyMessage(t wire.MessageType, from, to any) {
	var buffer bytes.Buffer
	if err := wire.WriteMessage(&buffer, t, from); err != nil {
		panic(err)
	}
	if err := wire.ReadMessage(&buffer, t, to); err != nil {
		panic(err)
	}
}

func (l link) Claim(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error) {
	return exchange(ctx, l, to.PeerAddr, wire.TypeClaim, wire.TypeClaimResponse, m,
		func(n *node, q *wire.Claim) *wire.ClaimResponse {
			ctx, cancel := atReceiver(ctx)
			defer cancel()
			return n.keeper.HandleClaim(ctx, q)
		})
}

func (l link) Seal(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealResponse, error) {
	return exchange(ctx, l, to.PeerAddr, wire.TypeSeal, wire.TypeSealResponse, m,
		func(n *node, q *wire.Seal) *wire.SealResponse { return n.keeper.HandleSeal(q) })
}

func (l link) Complete(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteResponse, error) {
	return exchange(ctx, l, to.PeerAddr, wire.TypeComplete, wire.TypeAck, m,
		func(n *node, q *wire.Complete) *wire.CompleteResponse { return n.keeper.HandleComplete(q) })
}

func (l link) Transfer(ctx context.Context, to board.EpochMember, m *wire.Transfer) (*wire.TransferPage, error) {
	return exchange(ctx, l, to.PeerAddr, wire.TypeTransfer, wire.TypeTransferPage, m,
		func(n *node, q *wire.Transfer) *wire.TransferPage { return n.keeper.HandleTransfer(q) })
}

// memoryStore stands in for the platform's store. Side 0 reaches it.
type memoryStore struct {
	mu       sync.Mutex
	values   map[string]platform.Entry
	revision uint64
	down     bool
	// loseAnswers makes writes take effect without an answer.
	loseAnswers bool
	writes      int
}

// set changes the faults of the store.
func (m *memoryStore) set(down, loseAnswers bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.loseAnswers = down, loseAnswers
}

func (m *memoryStore) written() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// restore puts an earlier value back, as a store does that lost its last writes.
func (m *memoryStore) restore(key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.values[key] = platform.Entry{Key: key, Value: value, Revision: m.revision}
}

type sidedStore struct {
	fabric *fabric
	name   board.InstanceID
}

func (s sidedStore) reachable() bool {
	s.fabric.mu.Lock()
	defer s.fabric.mu.Unlock()
	n := s.fabric.nodes[s.name]
	return s.fabric.side[s.name] == 0 && !n.dead
}

func (s sidedStore) Get(_ context.Context, key string) (platform.Entry, error) {
	up := s.reachable()
	m := s.fabric.store
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.values[key]
	switch {
	case m.down || !up:
		return platform.Entry{}, platform.ErrUnavailable
	case !ok:
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, nil
}

func (s sidedStore) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte, _ string) (uint64, error) {
	up := s.reachable()
	m := s.fabric.store
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down || !up:
		return 0, platform.ErrUnavailable
	case m.values[key].Revision != expect:
		return 0, platform.ErrConflict
	}
	m.revision++
	m.writes++
	m.values[key] = platform.Entry{Key: key, Value: value, Revision: m.revision}
	if m.loseAnswers {
		return 0, platform.ErrIndeterminate
	}
	return m.revision, nil
}

func newKey() string {
	var random [10]byte
	binary.BigEndian.PutUint64(random[:], rand.Uint64())
	return keyhome.NewKey(time.Now(), random)
}

func idOf(key string) board.KeyID { return board.KeyID{Service: service, Caller: caller, Key: key} }

// keyAt returns a new key whose home is the named node.
func (f *fabric) keyAt(via, home board.InstanceID) string {
	return keyHomedAt(f.epochOf(via).Epoch.Members, home)
}

// keyHomedAt returns a new key whose home is the named one of the members.
func keyHomedAt(members []board.EpochMember, home board.InstanceID) string {
	for {
		key := newKey()
		if h, _ := keyhome.Home(members, idOf(key)); h.Instance == home {
			return key
		}
	}
}

// attempt is a call of a test with its knobs.
type attempt struct {
	key, digest string
	fresh       bool
	// executor fixes the choice when it is set.
	executor board.InstanceID
	// among limits the choice to these executors, in the order of their names.
	among []board.InstanceID
	// beforeSend runs when a grant is obtained.
	beforeSend func(call *wire.Call)
	deadline   time.Duration
}

// carry runs a call with the node as its entry.
func (n *node) carry(a attempt) (atmostonce.Result, string) {
	ctx, cancel := context.WithTimeout(context.Background(), max(a.deadline, 2*time.Second))
	defer cancel()
	if a.digest == "" {
		a.digest = "digest"
	}
	request := uuid.NewString()
	chosen := board.Member{}
	verdict := n.keeper.Invoke(ctx, &atmostonce.Call{
		ID: idOf(a.key), RequestDigest: a.digest, RequestID: request, KeyGenerated: a.fresh, MaxAttempts: 3,
		PickExecutor: func(exclude []board.InstanceID) (board.InstanceID, uint64, bool) {
			chosen = n.choose(a, exclude)
			return chosen.Instance, chosen.Incarnation, chosen.Instance != ""
		},
		Send: func(ctx context.Context, epoch, grant uint64, _ int) (board.Outcome, board.Reason) {
			call := &wire.Call{
				RequestID: request, Service: service, Caller: caller, Key: a.key, RequestDigest: a.digest,
				Epoch: epoch, Grant: grant, ExecutorIncarnation: chosen.Incarnation,
			}
			if a.beforeSend != nil {
				a.beforeSend(call)
			}
			return n.send(ctx, chosen.Instance, call)
		},
	})
	return verdict, request
}

func (n *node) choose(a attempt, exclude []board.InstanceID) board.Member {
	var candidates []board.Member
	for _, m := range n.board.Members.Load().ByService[service] {
		excluded := false
		for _, e := range exclude {
			excluded = excluded || e == m.Instance
		}
		if m.State == board.MemberServing && !excluded && a.allows(m.Instance) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return board.Member{}
	}
	if len(a.among) > 0 {
		return candidates[0]
	}
	return candidates[rand.IntN(len(candidates))]
}

func (a attempt) allows(executor board.InstanceID) bool {
	if len(a.among) > 0 {
		return slices.Contains(a.among, executor)
	}
	return a.executor == "" || a.executor == executor
}

// send carries a call to its executor and runs it there.
func (n *node) send(ctx context.Context, to board.InstanceID, call *wire.Call) (board.Outcome, board.Reason) {
	n.fabric.reach(call.Key, stepSent)
	n.fabric.hold(n)
	n.fabric.delay()
	x := n.fabric.target(n, string(to))
	if x == nil || n.fabric.losesQuestion(wire.TypeCall) {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	outcome, reason := x.take(ctx, call)
	n.fabric.delay()
	n.fabric.hold(n)
	if n.fabric.losesAnswer(wire.TypeCall) {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	if n.fabric.target(n, string(to)) != x {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	return outcome, reason
}

func (n *node) execute(ctx context.Context, call *wire.Call) (board.Outcome, board.Reason) {
	n.fabric.reach(call.Key, stepQueued)
	n.fabric.hold(n)
	run, refusal := n.keeper.BeginExecution(ctx, call)
	if refusal != nil {
		return refusal.Outcome, refusal.Reason
	}
	if !n.touchBackend(call) {
		return board.OutcomeUnknown, board.ReasonConnectionLost
	}
	n.fabric.reach(call.Key, stepRunning)
	time.Sleep(serviceTime)
	n.fabric.hold(n)
	n.fabric.mu.Lock()
	dead := n.dead
	n.fabric.mu.Unlock()
	if !dead {
		run.RecordOutcome(board.OutcomeSucceeded, "", &board.KeyResponse{Status: 200, Body: []byte(call.RequestID), BodyStored: true})
	}
	n.fabric.reach(call.Key, stepResponding)
	n.fabric.hold(n)
	return board.OutcomeSucceeded, ""
}

func (n *node) touchBackend(call *wire.Call) bool {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	if n.dead {
		return false
	}
	n.fabric.runs[call.Key] = append(n.fabric.runs[call.Key], call.RequestID)
	n.fabric.places[call.Key] = append(n.fabric.places[call.Key], fmt.Sprintf("%s of %s at %s in epoch %d grant %d",
		call.RequestID, n.self.Instance, time.Now().Format("04:05.000"), call.Epoch, call.Grant))
	return true
}

func (f *fabric) requireMembers(t *testing.T, via board.InstanceID, names ...board.InstanceID) {
	t.Helper()
	var got []board.InstanceID
	for _, m := range f.epochOf(via).Epoch.Members {
		got = append(got, m.Instance)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	require.Equal(t, names, got)
}

func names(count int) []board.InstanceID {
	var out []board.InstanceID
	for i := range count {
		out = append(out, board.InstanceID("n"+strconv.Itoa(i)))
	}
	return out
}
