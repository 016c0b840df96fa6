package call

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// newTestExecutor returns an executor beside a backend server with a handler.
func newTestExecutor(t *testing.T, handler http.HandlerFunc) (*Executor, *board.Writer[*board.LocalServer], *board.LocalServer) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b := board.New("self")
	local := &board.LocalServer{Announced: true, Service: "s", Addr: server.Listener.Addr().String(), Slots: 1, Incarnation: 3}
	writer := b.LocalServer.Claim("test")
	writer.Publish(local)
	keeper := atmostonce.New("self", 1, b, nil, zerolog.Nop())
	return &Executor{Instance: "self", Incarnation: 1, Board: b, Backend: backend.NewClient(4), AtMostOnce: keeper, Log: zerolog.Nop()}, writer, local
}

func callTo(path string) *wire.Call {
	return &wire.Call{RequestID: "r", Service: "s", Method: "GET", Path: path, Idempotent: true, TimeToDeadlineMicros: time.Minute.Microseconds()}
}

// Guards against new work on a backend server that drains, before the other
// nodes know of the drain.
func TestExecutorRefusesWhileDraining(t *testing.T) {
	var executions atomic.Int64
	x, writer, local := newTestExecutor(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) })
	draining := *local
	draining.Draining = true
	writer.Publish(&draining)
	result := x.Serve(context.Background(), callTo("/a"))
	require.Equal(t, board.OutcomeNotRun, result.Outcome)
	require.Equal(t, board.ReasonDraining, result.Reason)
	require.True(t, result.Load.Draining)
	require.Zero(t, executions.Load())
	require.Zero(t, x.Board.Requests.Len())
}

// Guards against a quarantined request that reaches a backend server, and
// against others that are refused with it.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	var executions atomic.Int64
	x, _, _ := newTestExecutor(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) })
	e := &Entry{Board: x.Board, LocalExecutor: x, Log: zerolog.Nop()}
	config := dynconf.Default()
	config.Services["s"] = &dynconf.Service{Name: "s", Routes: []*dynconf.Route{{Name: "s/r", Path: "/", Deadline: time.Minute}}}
	x.Board.Config.Claim("test").Publish(config)
	poison := &Request{Service: "s", Method: "GET", Path: "/a", Query: "q=1", Caller: "c"}
	message := callTo("/a")
	message.Query, message.Caller = "q=1", "c"
	quarantine := x.Board.Quarantine.Claim("test")
	publish := func(quarantined bool, until time.Time) {
		digest := digestOf(poison)
		quarantine.Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{
			digest: {Digest: digest, Quarantined: quarantined, ExpiresAt: until},
		}})
	}

	publish(true, time.Now().Add(time.Hour))
	result := x.Serve(context.Background(), message)
	require.Equal(t, board.ReasonQuarantined, result.Reason)
	require.Zero(t, executions.Load())
	result = e.Serve(context.Background(), poison)
	require.Equal(t, board.ReasonQuarantined, result.Reason)
	require.Equal(t, http.StatusUnprocessableEntity, result.Status)

	succeeds := func(m *wire.Call) {
		result := x.Serve(context.Background(), m)
		require.Equal(t, board.OutcomeSucceeded, result.Outcome)
		closeBody(result.Body)
	}
	succeeds(callTo("/b"))
	publish(false, time.Now().Add(time.Hour))
	succeeds(message)
	publish(true, time.Now())
	succeeds(message)
}

// Guards against requests that are confused with one another, against one that
// is not recognised under a new key or from another caller, and against an
// executor that recognises it differently from its entry.
func TestDigestIsOfTheContent(t *testing.T) {
	base := func() *Request {
		return &Request{Service: "s", Method: "GET", Path: "/ab", Query: "c", Caller: "x", Body: []byte("d")}
	}
	seen := map[string]string{}
	add := func(name string, change func(*Request)) {
		r := base()
		change(r)
		digest := digestOf(r)
		require.Empty(t, seen[digest], "%s has the digest of %s", name, seen[digest])
		seen[digest] = name
	}
	add("base", func(*Request) {})
	add("service", func(r *Request) { r.Service = "t" })
	add("method", func(r *Request) { r.Method = "POST" })
	add("shifted", func(r *Request) { r.Path, r.Query = "/a", "bc" })
	add("body", func(r *Request) { r.Body = nil })
	for name, change := range map[string]func(*Request){
		"first key":    func(r *Request) { r.Key = "k" },
		"second key":   func(r *Request) { r.Key = "l" },
		"other caller": func(r *Request) { r.Key, r.Caller = "k", "y" },
	} {
		same := base()
		change(same)
		require.Equal(t, digestOf(base()), digestOf(same), name)
		attempt := &Attempt{Request: same, Route: &dynconf.Route{}, Grant: Grant{Key: same.Key}}
		require.Equal(t, digestOf(base()), digestOfCall(attempt.encode(time.Now(), 1)), name)
	}
}

// Guards against a death that leaves no suspect: the connection breaks before
// or within the answer, and against a caller's cancellation that makes one.
func TestLostConnectionIsReported(t *testing.T) {
	x, _, _ := newTestExecutor(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/within" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
		}
		if r.URL.Path == "/hang" {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/before", "/within"} {
		message := callTo(path)
		result := x.Serve(context.Background(), message)
		if result.Body != nil {
			_, err := io.ReadAll(result.Body)
			require.Error(t, err)
			require.NoError(t, result.Body.Close())
		}
		require.Len(t, x.Board.ExecutionResults.Events(), 1, path)
		lost := <-x.Board.ExecutionResults.Events()
		require.Equal(t, board.ExecutionConnectionLost, lost.Kind)
		require.Equal(t, digestOfCall(message), lost.Digest)
		require.Equal(t, uint64(3), lost.ServerIncarnation)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	require.Equal(t, board.ReasonCanceledByCaller, x.Serve(ctx, callTo("/hang")).Reason)
	require.Empty(t, x.Board.ExecutionResults.Events())
}

// Guards against a suspect that completes and is not cleared, and against a
// report for each ordinary call.
func TestCompletionOfSuspectIsReported(t *testing.T) {
	x, _, _ := newTestExecutor(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	serve := func() {
		result := x.Serve(context.Background(), callTo("/a"))
		_, err := io.ReadAll(result.Body)
		require.NoError(t, err)
		require.NoError(t, result.Body.Close())
	}
	serve()
	require.Empty(t, x.Board.ExecutionResults.Events())
	digest := digestOfCall(callTo("/a"))
	x.Board.Quarantine.Claim("test").Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{digest: {Digest: digest}}})
	serve()
	require.Len(t, x.Board.ExecutionResults.Events(), 1)
	require.Equal(t, board.ExecutionCompleted, (<-x.Board.ExecutionResults.Events()).Kind)
}

// Guards against one call that crashes a third backend server before the
// second death is known.
func TestCallStopsAfterTwoLostConnections(t *testing.T) {
	var executions atomic.Int64
	x, _, _ := newTestExecutor(t, func(http.ResponseWriter, *http.Request) {
		executions.Add(1)
		panic(http.ErrAbortHandler)
	})
	e := &Entry{Board: x.Board, LocalExecutor: x, Log: zerolog.Nop()}
	cell := board.NewEndpoint(board.Member{Instance: "self"})
	x.Board.Pickers.Claim("test").Publish(&board.Pickers{ByService: map[string]board.Picker{"s": always{cell}}})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req := &Request{Service: "s", Method: "GET", Path: "/a", Deadline: time.Now().Add(time.Minute), AttemptsLeft: -1}
	config := dynconf.Default()
	config.Retries.MaxPerCallTree = 100
	e.openAttempts(req, config)
	result := e.serveIdempotent(ctx, req, &dynconf.Route{}, &board.RequestRecord{})
	require.Equal(t, board.ReasonConnectionLost, result.Reason)
	require.EqualValues(t, maxLostConnections, executions.Load())
}

type always struct{ cell *board.Endpoint }

func (a always) Pick(*board.PickRequest) *board.Endpoint { return a.cell }

// Guards against a refused connection that is not told to the announce
// controller.
func TestRefusedConnectionIsAnnounced(t *testing.T) {
	x, writer, local := newTestExecutor(t, func(http.ResponseWriter, *http.Request) {})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := *local
	gone.Addr = socket.Addr().String()
	require.NoError(t, socket.Close())
	writer.Publish(&gone)
	result := x.Serve(context.Background(), callTo("/a"))
	require.Equal(t, board.OutcomeNotRun, result.Outcome)
	require.Equal(t, board.AnnounceDown, (<-x.Board.Announcements.Events()).Kind)
}
