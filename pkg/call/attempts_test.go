package call

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/wire"
)

// testMesh is an entry and executors that it reaches over QUIC, each with an
// HTTP backend server on loopback.
type testMesh struct {
	entry       *Entry
	retryBudget *board.RetryBudget
	endpoints   []*board.Endpoint
}

// fixedOrderPicker picks the first endpoint that is not excluded.
type fixedOrderPicker []*board.Endpoint

// Pick implements board.Picker.
func (p fixedOrderPicker) Pick(req *board.PickRequest) *board.Endpoint {
	for _, endpoint := range p {
		if !req.Excludes(endpoint.Member.Instance) {
			return endpoint
		}
	}
	return nil
}

// newTransport returns a transport on loopback with the certificates in dir.
func newTransport(t *testing.T, dir string) *peer.Transport {
	server, client, err := security.LoadPeerTLS(security.TLSFiles{
		Cert: filepath.Join(dir, "node.pem"), Key: filepath.Join(dir, "node-key.pem"), CA: filepath.Join(dir, security.CACertFile),
	})
	require.NoError(t, err)
	transport, err := peer.Listen("127.0.0.1:0", server, client, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

// newTestMesh starts an entry and one executor for each handler, named a, b and
// so on. The config is appended to that of service s.
func newTestMesh(t *testing.T, config string, handlers ...http.HandlerFunc) *testMesh {
	dir := t.TempDir()
	require.NoError(t, security.WriteCA(dir, time.Hour))
	require.NoError(t, security.WriteCertificate(dir, "node", true, nil, time.Hour))
	base := "[service s]\nservers = *\n[route s/all]\npath = /\ndeadline = 20s\n" + config
	parsed, problems := dynconf.Merge("test", dynconf.Source{Name: "base", Data: []byte(base)}, nil)
	require.Empty(t, problems)
	parsed.Version = 1
	b := board.New("entry")
	b.Config.Claim("test").Publish(parsed)
	transport := newTransport(t, dir)
	keyController := atmostonce.New("entry", 1, b, atmostonce.RemotePeers{Transport: transport}, zerolog.Nop())
	go func() { _ = transport.Serve(t.Context(), keyController.Handlers(transport)) }()
	mesh := &testMesh{entry: &Entry{Board: b, Peers: transport, AtMostOnce: keyController, Log: zerolog.Nop()}}
	boards := []*board.Board{b}
	members := []board.EpochMember{{Instance: "entry", Incarnation: 1, PeerAddr: transport.Addr().String()}}
	for i, handler := range handlers {
		member, executorBoard := startExecutor(t, dir, parsed, board.InstanceID(rune('a'+i)), handler)
		mesh.endpoints = append(mesh.endpoints, board.NewEndpoint(member))
		boards = append(boards, executorBoard)
		members = append(members, board.EpochMember{Instance: member.Instance, Incarnation: 1, PeerAddr: member.PeerAddr})
	}
	byInstance := map[board.InstanceID]board.Member{}
	for _, m := range members {
		byInstance[m.Instance] = board.Member{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr, Service: "s", State: board.MemberServing}
	}
	for _, memberBoard := range boards {
		memberBoard.Members.Claim("test").Publish(board.NewMembers("entry", byInstance))
		memberBoard.Epochs.Claim("test").Publish(&board.Epochs{ByService: map[string]*board.EpochView{"s": {
			Epoch:       &board.Epoch{Service: "s", Number: 1, Members: members},
			ConfirmedAt: time.Now(), Superseded: make(chan struct{}),
		}}})
	}
	mesh.retryBudget = board.NewRetryBudget(parsed.Retries.TokensPerSuccess, nil)
	b.Budgets.Claim("test").Publish(&board.Budgets{RetryByService: map[string]*board.RetryBudget{"s": mesh.retryBudget}})
	b.Pickers.Claim("test").Publish(&board.Pickers{ByService: map[string]board.Picker{"s": fixedOrderPicker(mesh.endpoints)}})
	return mesh
}

// startExecutor starts an executor and a backend server with the handler.
func startExecutor(t *testing.T, dir string, config *dynconf.Config, id board.InstanceID, handler http.HandlerFunc) (board.Member, *board.Board) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b := board.New(id)
	b.Config.Claim("test").Publish(config)
	b.LocalServer.Claim("test").Publish(&board.LocalServer{
		Announced: true, Service: "s", Addr: strings.TrimPrefix(server.URL, "http://"), Slots: 4, Incarnation: 1,
	})
	transport := newTransport(t, dir)
	keyController := atmostonce.New(id, 1, b, atmostonce.RemotePeers{Transport: transport}, zerolog.Nop())
	x := &Executor{Instance: id, Incarnation: 1, Board: b, Backend: backend.NewClient(8), AtMostOnce: keyController, Log: zerolog.Nop()}
	handlers := keyController.Handlers(transport)
	handlers[wire.TypeCall] = x.HandleCall
	go func() { _ = transport.Serve(t.Context(), handlers) }()
	member := board.Member{Instance: id, Incarnation: 1, Service: "s", PeerAddr: transport.Addr().String(), State: board.MemberServing, Slots: 4}
	return member, b
}

// secondEntry returns another entry with endpoint statistics of its own.
func (m *testMesh) secondEntry() *Entry {
	b := board.New("other")
	b.Config.Claim("test").Publish(m.entry.Board.Config.Load())
	var endpoints fixedOrderPicker
	for _, endpoint := range m.endpoints {
		endpoints = append(endpoints, board.NewEndpoint(endpoint.Member))
	}
	b.Pickers.Claim("test").Publish(&board.Pickers{ByService: map[string]board.Picker{"s": endpoints}})
	return &Entry{Board: b, Peers: m.entry.Peers, Log: zerolog.Nop()}
}

// call sends a request to service s through the entry and reads the response.
func (m *testMesh) call(t *testing.T, req *Request) *Result {
	req.ID, req.Service, req.Path = "r1", "s", "/x"
	if req.Method == "" {
		req.Method = http.MethodGet
	}
	result := m.entry.Serve(t.Context(), req)
	if result.Body != nil {
		_, _ = io.Copy(io.Discard, result.Body)
		_ = result.Body.Close()
	}
	return result
}

// respondWith returns a handler that responds with a status and no body.
func respondWith(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// Guards against a hedged attempt that is not sent, whose response is not used,
// or that leaves the first attempt running on its backend server.
func TestWinningHedgeCancelsFirstAttempt(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	blockUntilCanceled := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	}
	// The hedged attempt gets its response once the first attempt runs: if the
	// first one had not reached its backend server, there would be nothing to
	// cancel there.
	respondOnceFirstRuns := func(w http.ResponseWriter, _ *http.Request) {
		<-arrived
		w.WriteHeader(http.StatusOK)
	}
	mesh := newTestMesh(t, "[retries]\nhedge = yes\n", blockUntilCanceled, respondOnceFirstRuns)
	mesh.retryBudget.RecordSuccess(5 * time.Millisecond)
	result := mesh.call(t, &Request{AttemptsLeft: -1})
	require.Equal(t, board.OutcomeSucceeded, result.Outcome)
	require.Equal(t, board.InstanceID("b"), result.Instance)
	require.Equal(t, 1, result.AttemptsUsed)
	select {
	case <-canceled:
	case <-time.After(15 * time.Second):
		t.Fatal("the first attempt was not canceled")
	}
	require.Zero(t, mesh.endpoints[0].Failures.Load(), "a canceled attempt does not count as a failure")
	require.Zero(t, mesh.endpoints[1].OwnInFlight())
}

// Guards against two executions of a call that must run at most once.
func TestNonIdempotentCallIsNeitherHedgedNorRetried(t *testing.T) {
	var executions atomic.Int64
	failing := func(w http.ResponseWriter, _ *http.Request) {
		executions.Add(1)
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	}
	mesh := newTestMesh(t, "[retries]\nhedge = yes\n", failing, failing)
	mesh.retryBudget.RecordSuccess(time.Millisecond)
	mesh.call(t, &Request{Method: http.MethodPost, AttemptsLeft: -1})
	require.LessOrEqual(t, executions.Load(), int64(1))
}

// Guards against a retry that the budgets do not allow.
func TestRetriesStayWithinBudgets(t *testing.T) {
	var executions atomic.Int64
	failing := func(w http.ResponseWriter, _ *http.Request) {
		executions.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	mesh := newTestMesh(t, "", failing, failing, respondWith(200))
	result := mesh.call(t, &Request{AttemptsLeft: -1})
	require.Equal(t, board.OutcomeSucceeded, result.Outcome)
	require.Equal(t, 2, result.AttemptsUsed)
	executions.Store(0)
	result = mesh.call(t, &Request{AttemptsLeft: 1})
	require.Equal(t, board.OutcomeFailed, result.Outcome)
	require.Equal(t, int64(2), executions.Load(), "the caller's budget allows one more attempt")
	for mesh.retryBudget.Take() {
	}
	executions.Store(0)
	require.Equal(t, board.OutcomeFailed, mesh.call(t, &Request{AttemptsLeft: -1}).Outcome)
	require.Equal(t, int64(1), executions.Load(), "no token is left")
}

// Guards against nested calls that each get a budget of their own, or that have
// a later deadline than their call tree.
func TestNestedCallsShareBudgetAndDeadline(t *testing.T) {
	mesh := newTestMesh(t, "", respondWith(500), respondWith(500), respondWith(500))
	deadline := time.Now().Add(10 * time.Second)
	tree := mesh.entry.Board.TreeBudgets.Open("tree", 1, deadline)
	first := &Request{TreeID: "tree", Depth: 1, AttemptsLeft: 3}
	require.Equal(t, 1, mesh.call(t, first).AttemptsUsed)
	require.Equal(t, deadline, first.Deadline)
	require.Zero(t, mesh.call(t, &Request{TreeID: "tree", Depth: 1, AttemptsLeft: 3}).AttemptsUsed)
	require.Equal(t, 1, mesh.entry.Board.TreeBudgets.Close("tree", tree, 1))
}

// Guards against a call that is reported as not-run although one of its earlier
// attempts may have run.
func TestUnknownEarlierAttemptIsNotReportedAsNotRun(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	mesh := newTestMesh(t, "", abort, respondWith(200))
	mesh.endpoints[1].Member.Incarnation = 99 // the second executor refuses
	result := mesh.call(t, &Request{AttemptsLeft: -1})
	require.Equal(t, board.OutcomeUnknown, result.Outcome)
}

// Guards against a rejected call that reaches the backend server, against a
// rejection without a load report, and against a call that is still counted as
// in flight after its rejection.
func TestRejectionCarriesLoadReport(t *testing.T) {
	var executions atomic.Int64
	release := make(chan struct{})
	block := func(http.ResponseWriter, *http.Request) {
		executions.Add(1)
		<-release
	}
	mesh := newTestMesh(t, "", block)
	releaseAll := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseAll)
	otherEntry := mesh.secondEntry()
	done := make(chan struct{}, 4)
	for range 4 {
		go func() {
			defer func() { done <- struct{}{} }()
			req := &Request{ID: "busy", Service: "s", Method: http.MethodGet, Path: "/x", AttemptsLeft: 0}
			result := otherEntry.Serve(context.WithoutCancel(t.Context()), req)
			closeBody(result.Body)
		}()
	}
	require.Eventually(t, func() bool { return executions.Load() == 4 }, 15*time.Second, time.Millisecond)
	result := mesh.call(t, &Request{AttemptsLeft: 0})
	require.Equal(t, board.OutcomeNotRun, result.Outcome)
	require.Equal(t, board.ReasonOverloaded, result.Reason)
	require.Equal(t, int64(4), executions.Load())
	require.Equal(t, uint32(4), mesh.endpoints[0].LatestLoadReport().InFlight)
	require.Equal(t, int64(4), mesh.endpoints[0].EstimatedInFlight())
	releaseAll()
	for range 4 {
		<-done
	}
	require.Zero(t, mesh.endpoints[0].OwnInFlight())
}
