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

// site is one entry and executors reached over QUIC, each with a real backend
// server on loopback.
type site struct {
	entry   *Entry
	budgets *board.RetryBudget
	cells   []*board.Endpoint
}

// inOrder is a picker that offers the instances in a fixed order.
type inOrder []*board.Endpoint

// Pick implements board.Picker.
func (p inOrder) Pick(req *board.PickRequest) *board.Endpoint {
	for _, cell := range p {
		if !req.Excludes(cell.Member.Instance) {
			return cell
		}
	}
	return nil
}

func newTransport(t *testing.T, dir string) *peer.Transport {
	server, client, err := security.LoadPeer(security.Files{
		Cert: filepath.Join(dir, "node.pem"), Key: filepath.Join(dir, "node-key.pem"), CA: filepath.Join(dir, security.CACertFile),
	})
	require.NoError(t, err)
	transport, err := peer.Listen("127.0.0.1:0", server, client, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

func newSite(t *testing.T, config string, handlers ...http.HandlerFunc) *site {
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
	keeper := atmostonce.New("entry", 1, b, atmostonce.RemotePeers{Transport: transport}, zerolog.Nop())
	go func() { _ = transport.Serve(t.Context(), keeper.Handlers(transport)) }()
	s := &site{entry: &Entry{Board: b, Peers: transport, AtMostOnce: keeper, Log: zerolog.Nop()}}
	boards := []*board.Board{b}
	members := []board.EpochMember{{Instance: "entry", Incarnation: 1, PeerAddr: transport.Addr().String()}}
	for i, handler := range handlers {
		member, executorBoard := newExecutor(t, dir, parsed, board.InstanceID(rune('a'+i)), handler)
		s.cells = append(s.cells, board.NewEndpoint(member))
		boards = append(boards, executorBoard)
		members = append(members, board.EpochMember{Instance: member.Instance, Incarnation: 1, PeerAddr: member.PeerAddr})
	}
	byInstance := map[board.InstanceID]board.Member{}
	for _, m := range members {
		byInstance[m.Instance] = board.Member{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr, Service: "s", State: board.MemberServing}
	}
	for _, each := range boards {
		each.Members.Claim("test").Publish(board.NewMembers("entry", byInstance))
		each.Epochs.Claim("test").Publish(&board.Epochs{ByService: map[string]*board.EpochView{"s": {
			Epoch:       &board.Epoch{Service: "s", Number: 1, Members: members},
			ConfirmedAt: time.Now(), Superseded: make(chan struct{}),
		}}})
	}
	s.budgets = board.NewRetryBudget(parsed.Retries.TokensPerSuccess, nil)
	b.Budgets.Claim("test").Publish(&board.Budgets{RetryByService: map[string]*board.RetryBudget{"s": s.budgets}})
	b.Pickers.Claim("test").Publish(&board.Pickers{ByService: map[string]board.Picker{"s": inOrder(s.cells)}})
	return s
}

func newExecutor(t *testing.T, dir string, config *dynconf.Config, id board.InstanceID, handler http.HandlerFunc) (board.Member, *board.Board) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b := board.New(id)
	b.Config.Claim("test").Publish(config)
	b.LocalServer.Claim("test").Publish(&board.LocalServer{
		Announced: true, Service: "s", Addr: strings.TrimPrefix(server.URL, "http://"), Slots: 4, Incarnation: 1,
	})
	transport := newTransport(t, dir)
	keeper := atmostonce.New(id, 1, b, atmostonce.RemotePeers{Transport: transport}, zerolog.Nop())
	x := &Executor{Instance: id, Incarnation: 1, Board: b, Backend: backend.NewClient(8), AtMostOnce: keeper, Log: zerolog.Nop()}
	handlers := keeper.Handlers(transport)
	handlers[wire.TypeCall] = x.HandleCall
	go func() { _ = transport.Serve(t.Context(), handlers) }()
	member := board.Member{Instance: id, Incarnation: 1, Service: "s", PeerAddr: transport.Addr().String(), State: board.MemberServing, Slots: 4}
	return member, b
}

// secondEntry returns another entry of the site with figures of its own.
func (s *site) secondEntry() *Entry {
	b := board.New("other")
	b.Config.Claim("test").Publish(s.entry.Board.Config.Load())
	var cells inOrder
	for _, cell := range s.cells {
		cells = append(cells, board.NewEndpoint(cell.Member))
	}
	b.Pickers.Claim("test").Publish(&board.Pickers{ByService: map[string]board.Picker{"s": cells}})
	return &Entry{Board: b, Peers: s.entry.Peers, Log: zerolog.Nop()}
}

func (s *site) call(t *testing.T, req *Request) *Result {
	req.ID, req.Service, req.Path = "r1", "s", "/x"
	if req.Method == "" {
		req.Method = http.MethodGet
	}
	result := s.entry.Serve(t.Context(), req)
	if result.Body != nil {
		_, _ = io.Copy(io.Discard, result.Body)
		_ = result.Body.Close()
	}
	return result
}

func answer(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// Guards against a hedge that is not sent, does not win, or leaves the other
// attempt running on its backend server.
func TestHedgeWinsAndCancelsTheOther(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	stuck := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	}
	// The hedge is answered once the first attempt runs, since one that did not
	// reach its backend server has nothing to cancel there.
	prompt := func(w http.ResponseWriter, _ *http.Request) {
		<-arrived
		w.WriteHeader(http.StatusOK)
	}
	s := newSite(t, "[retries]\nhedge = yes\n", stuck, prompt)
	s.budgets.RecordSuccess(5 * time.Millisecond)
	result := s.call(t, &Request{AttemptsLeft: -1})
	require.Equal(t, board.OutcomeSucceeded, result.Outcome)
	require.Equal(t, board.InstanceID("b"), result.Instance)
	require.Equal(t, 1, result.AttemptsUsed)
	select {
	case <-canceled:
	case <-time.After(15 * time.Second):
		t.Fatal("the first attempt was not cancelled")
	}
	require.Zero(t, s.cells[0].Failures.Load(), "a cancelled attempt is no failure")
	require.Zero(t, s.cells[1].OwnInFlight())
}

// Guards against two runs of a call that must run at most once.
func TestNonIdempotentCallIsNeitherHedgedNorRetried(t *testing.T) {
	var runs atomic.Int64
	failing := func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	}
	s := newSite(t, "[retries]\nhedge = yes\n", failing, failing)
	s.budgets.RecordSuccess(time.Millisecond)
	s.call(t, &Request{Method: http.MethodPost, AttemptsLeft: -1})
	require.LessOrEqual(t, runs.Load(), int64(1))
}

// Guards against a retry after a failure that the budgets do not allow.
func TestRetriesStopAtTheBudgets(t *testing.T) {
	var runs atomic.Int64
	failing := func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	s := newSite(t, "", failing, failing, answer(200))
	result := s.call(t, &Request{AttemptsLeft: -1})
	require.Equal(t, board.OutcomeSucceeded, result.Outcome)
	require.Equal(t, 2, result.AttemptsUsed)
	runs.Store(0)
	result = s.call(t, &Request{AttemptsLeft: 1})
	require.Equal(t, board.OutcomeFailed, result.Outcome)
	require.Equal(t, int64(2), runs.Load(), "the caller's budget allows one more attempt")
	for s.budgets.Take() {
	}
	runs.Store(0)
	require.Equal(t, board.OutcomeFailed, s.call(t, &Request{AttemptsLeft: -1}).Outcome)
	require.Equal(t, int64(1), runs.Load(), "no token is left")
}

// Guards against nested calls that each get a budget of their own, or that
// outlive the deadline of their tree.
func TestNestedCallsShareBudgetAndDeadline(t *testing.T) {
	s := newSite(t, "", answer(500), answer(500), answer(500))
	deadline := time.Now().Add(10 * time.Second)
	tree := s.entry.Board.TreeBudgets.Open("tree", 1, deadline)
	first := &Request{TreeID: "tree", Depth: 1, AttemptsLeft: 3}
	require.Equal(t, 1, s.call(t, first).AttemptsUsed)
	require.Equal(t, deadline, first.Deadline)
	require.Zero(t, s.call(t, &Request{TreeID: "tree", Depth: 1, AttemptsLeft: 3}).AttemptsUsed)
	require.Equal(t, 1, s.entry.Board.TreeBudgets.Close("tree", tree, 1))
}

// Guards against an answer "not run" for a call that may have run on an
// earlier attempt.
func TestEarlierAttemptInDoubtIsNotReportedAsNotRun(t *testing.T) {
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	s := newSite(t, "", cut, answer(200))
	s.cells[1].Member.Incarnation = 99 // the second executor refuses
	result := s.call(t, &Request{AttemptsLeft: -1})
	require.Equal(t, board.OutcomeUnknown, result.Outcome)
}

// Guards against a rejection that reaches the backend server or brings no
// load, and against own calls that stay counted after it.
func TestRejectionIsProvenAndCarriesLoad(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	busy := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-release
	}
	s := newSite(t, "", busy)
	stop := sync.OnceFunc(func() { close(release) })
	t.Cleanup(stop)
	other := s.secondEntry()
	done := make(chan struct{}, 4)
	for range 4 {
		go func() {
			defer func() { done <- struct{}{} }()
			req := &Request{ID: "busy", Service: "s", Method: http.MethodGet, Path: "/x", AttemptsLeft: 0}
			result := other.Serve(context.WithoutCancel(t.Context()), req)
			closeBody(result.Body)
		}()
	}
	require.Eventually(t, func() bool { return runs.Load() == 4 }, 15*time.Second, time.Millisecond)
	result := s.call(t, &Request{AttemptsLeft: 0})
	require.Equal(t, board.OutcomeNotRun, result.Outcome)
	require.Equal(t, board.ReasonOverloaded, result.Reason)
	require.Equal(t, int64(4), runs.Load())
	require.Equal(t, uint32(4), s.cells[0].LatestLoadReport().InFlight)
	require.Equal(t, int64(4), s.cells[0].EstimatedInFlight())
	stop()
	for range 4 {
		<-done
	}
	require.Zero(t, s.cells[0].OwnInFlight())
}
