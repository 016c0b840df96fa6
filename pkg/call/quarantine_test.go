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

// newExecutorWithServer returns an executor and starts a backend server with the
// handler.
func newExecutorWithServer(t *testing.T, handler http.HandlerFunc) (*Executor, *board.Writer[*board.LocalServer], *board.LocalServer) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b := board.New("self")
	local := &board.LocalServer{Announced: true, Service: "s", Addr: server.Listener.Addr().String(), Slots: 1, Incarnation: 3}
	writer := b.LocalServer.Claim("test")
	writer.Publish(local)
	keyController := atmostonce.New("self", 1, b, nil, zerolog.Nop())
	return &Executor{Instance: "self", Incarnation: 1, Board: b, Backend: backend.NewClient(4), AtMostOnce: keyController, Log: zerolog.Nop()}, writer, local
}

// newIdempotentCall returns a GET call for a path of service s.
func newIdempotentCall(path string) *wire.Call {
	return &wire.Call{RequestID: "r", Service: "s", Method: "GET", Path: path, Idempotent: true, TimeToDeadlineMicros: time.Minute.Microseconds()}
}

// Guards against new calls to a draining backend server from nodes that do not
// know of the drain yet.
func TestExecutorRefusesWhileDraining(t *testing.T) {
	var executions atomic.Int64
	x, writer, local := newExecutorWithServer(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) })
	draining := *local
	draining.Draining = true
	writer.Publish(&draining)
	result := x.Execute(context.Background(), newIdempotentCall("/a"))
	require.Equal(t, board.OutcomeNotRun, result.Outcome)
	require.Equal(t, board.ReasonDraining, result.Reason)
	require.True(t, result.LoadReport.Draining)
	require.Zero(t, executions.Load())
	require.Zero(t, x.Board.Requests.Len())
}

// Guards against a quarantined request that reaches a backend server, and
// against the refusal of requests that are not quarantined or no longer so.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	var executions atomic.Int64
	x, _, _ := newExecutorWithServer(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) })
	e := &Entry{Board: x.Board, LocalExecutor: x, Log: zerolog.Nop()}
	config := dynconf.Default()
	config.Services["s"] = &dynconf.Service{Name: "s", Routes: []*dynconf.Route{{Name: "s/r", Path: "/", Deadline: time.Minute}}}
	x.Board.Config.Claim("test").Publish(config)
	request := &Request{Service: "s", Method: "GET", Path: "/a", Query: "q=1", Caller: "c"}
	message := newIdempotentCall("/a")
	message.Query, message.Caller = "q=1", "c"
	quarantine := x.Board.Quarantine.Claim("test")
	publish := func(quarantined bool, expiresAt time.Time) {
		digest := requestDigest(request)
		quarantine.Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{
			digest: {Digest: digest, Quarantined: quarantined, ExpiresAt: expiresAt},
		}})
	}

	publish(true, time.Now().Add(time.Hour))
	result := x.Execute(context.Background(), message)
	require.Equal(t, board.ReasonQuarantined, result.Reason)
	require.Zero(t, executions.Load())
	result = e.Serve(context.Background(), request)
	require.Equal(t, board.ReasonQuarantined, result.Reason)
	require.Equal(t, http.StatusUnprocessableEntity, result.Status)

	requireSuccess := func(m *wire.Call) {
		result := x.Execute(context.Background(), m)
		require.Equal(t, board.OutcomeSucceeded, result.Outcome)
		closeBody(result.Body)
	}
	requireSuccess(newIdempotentCall("/b"))
	publish(false, time.Now().Add(time.Hour))
	requireSuccess(message)
	publish(true, time.Now())
	requireSuccess(message)
}

// Guards against different requests with the same digest, against a digest that
// depends on the key or the caller, and against different digests of a request
// at its entry and at its executor.
func TestDigestDependsOnContentOnly(t *testing.T) {
	base := func() *Request {
		return &Request{Service: "s", Method: "GET", Path: "/ab", Query: "c", Caller: "x", Body: []byte("d")}
	}
	seen := map[string]string{}
	add := func(name string, change func(*Request)) {
		r := base()
		change(r)
		digest := requestDigest(r)
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
		require.Equal(t, requestDigest(base()), requestDigest(same), name)
		attempt := &Attempt{Request: same, Route: &dynconf.Route{}, Grant: Grant{Key: same.Key}}
		require.Equal(t, requestDigest(base()), callDigest(attempt.encode(time.Now(), 1)), name)
	}
}

// Guards against a crash of the backend server that is not reported, whether
// the connection is lost before or within the response, and against a report
// for a call that its caller canceled.
func TestLostConnectionIsReported(t *testing.T) {
	x, _, _ := newExecutorWithServer(t, func(w http.ResponseWriter, r *http.Request) {
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
		message := newIdempotentCall(path)
		result := x.Execute(context.Background(), message)
		if result.Body != nil {
			_, err := io.ReadAll(result.Body)
			require.Error(t, err)
			require.NoError(t, result.Body.Close())
		}
		require.Len(t, x.Board.ExecutionResults.Events(), 1, path)
		lost := <-x.Board.ExecutionResults.Events()
		require.Equal(t, board.ExecutionConnectionLost, lost.Kind)
		require.Equal(t, callDigest(message), lost.Digest)
		require.Equal(t, uint64(3), lost.ServerIncarnation)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	require.Equal(t, board.ReasonCanceledByCaller, x.Execute(ctx, newIdempotentCall("/hang")).Reason)
	require.Empty(t, x.Board.ExecutionResults.Events())
}

// Guards against a suspected request that is not cleared although it completes,
// and against a report for every other call.
func TestCompletionOfSuspectedRequestIsReported(t *testing.T) {
	x, _, _ := newExecutorWithServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	serve := func() {
		result := x.Execute(context.Background(), newIdempotentCall("/a"))
		_, err := io.ReadAll(result.Body)
		require.NoError(t, err)
		require.NoError(t, result.Body.Close())
	}
	serve()
	require.Empty(t, x.Board.ExecutionResults.Events())
	digest := callDigest(newIdempotentCall("/a"))
	x.Board.Quarantine.Claim("test").Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{digest: {Digest: digest}}})
	serve()
	require.Len(t, x.Board.ExecutionResults.Events(), 1)
	require.Equal(t, board.ExecutionCompleted, (<-x.Board.ExecutionResults.Events()).Kind)
}

// Guards against one call that crashes a third backend server before the second
// crash is known to all nodes.
func TestCallStopsAfterTwoLostConnections(t *testing.T) {
	var executions atomic.Int64
	x, _, _ := newExecutorWithServer(t, func(http.ResponseWriter, *http.Request) {
		executions.Add(1)
		panic(http.ErrAbortHandler)
	})
	e := &Entry{Board: x.Board, LocalExecutor: x, Log: zerolog.Nop()}
	endpoint := board.NewEndpoint(board.Member{Instance: "self"})
	x.Board.Pickers.Claim("test").Publish(&board.Pickers{ByService: map[string]board.Picker{"s": singleEndpointPicker{endpoint}}})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req := &Request{Service: "s", Method: "GET", Path: "/a", Deadline: time.Now().Add(time.Minute), AttemptsLeft: -1}
	config := dynconf.Default()
	config.Retries.MaxPerCallTree = 100
	e.joinCallTree(req, config)
	result := e.serveIdempotent(ctx, req, &dynconf.Route{}, &board.RequestRecord{})
	require.Equal(t, board.ReasonConnectionLost, result.Reason)
	require.EqualValues(t, maxLostConnections, executions.Load())
}

type singleEndpointPicker struct{ endpoint *board.Endpoint }

// Pick implements board.Picker.
func (p singleEndpointPicker) Pick(*board.PickRequest) *board.Endpoint { return p.endpoint }

// Guards against a refused connection that is not reported to the announce
// controller.
func TestRefusedConnectionIsReported(t *testing.T) {
	x, writer, local := newExecutorWithServer(t, func(http.ResponseWriter, *http.Request) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := *local
	unreachable.Addr = listener.Addr().String()
	require.NoError(t, listener.Close())
	writer.Publish(&unreachable)
	result := x.Execute(context.Background(), newIdempotentCall("/a"))
	require.Equal(t, board.OutcomeNotRun, result.Outcome)
	require.Equal(t, board.AnnounceDown, (<-x.Board.Announcements.Events()).Kind)
}
