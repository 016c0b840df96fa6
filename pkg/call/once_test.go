package call

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// newMemberExecutor returns an executor in epoch 1 of a service with two members,
// whose backend server is at addr.
func newMemberExecutor(addr string) *Executor {
	b := board.New("x")
	b.LocalServer.Claim("test").Publish(&board.LocalServer{Announced: true, Service: "s", Addr: addr, Slots: 1})
	view := &board.EpochView{
		Epoch: &board.Epoch{Service: "s", Number: 1, Members: []board.EpochMember{
			{Instance: "h", Incarnation: 1}, {Instance: "x", Incarnation: 1},
		}},
		ConfirmedAt: time.Now(), Superseded: make(chan struct{}),
	}
	b.Epochs.Claim("test").Publish(&board.Epochs{ByService: map[string]*board.EpochView{"s": view}})
	keeper := atmostonce.New("x", 1, b, nil, zerolog.Nop())
	return &Executor{Instance: "x", Incarnation: 1, Board: b, Backend: backend.NewClient(2), AtMostOnce: keeper, Log: zerolog.Nop()}
}

func booking() *wire.Call {
	return &wire.Call{
		RequestID: "r", Service: "s", Method: http.MethodPost, Path: "/", Caller: "c", Key: newKey(), RequestDigest: "d",
		Epoch: 1, Grant: 1 << 16, ExecutorIncarnation: 1, TimeToDeadlineMicros: time.Minute.Microseconds(),
	}
}

func recordOf(x *Executor, call *wire.Call) *board.KeyRecord {
	return x.Board.Keys.ExecutorRecords.Get(board.KeyID{Service: "s", Caller: "c", Key: call.Key})
}

// Guards against an outcome that is lost because the entry went away while the
// backend server worked.
func TestRunOutlivesItsEntry(t *testing.T) {
	entry, leave := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		leave()
		_, _ = io.WriteString(w, "booked")
	}))
	defer server.Close()
	x := newMemberExecutor(server.Listener.Addr().String())
	call := booking()
	result := x.Serve(entry, call)
	require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
	require.NoError(t, result.Body.Close())
	record := recordOf(x, call)
	require.Equal(t, board.KeyDone, record.State)
	require.Equal(t, "booked", string(record.Response.Body))
	again := x.Serve(t.Context(), call)
	require.Equal(t, board.OutcomeUnknown, again.Outcome, "a copy is never told not-run")
}

// Guards against a cut response that is recorded as a whole one.
func TestCutResponseIsRecordedAsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}))
	defer server.Close()
	x := newMemberExecutor(server.Listener.Addr().String())
	call := booking()
	result := x.Serve(t.Context(), call)
	require.Equal(t, board.OutcomeUnknown, result.Outcome)
	record := recordOf(x, call)
	require.Equal(t, board.OutcomeUnknown, record.Outcome)
	require.Equal(t, board.ReasonResponseIncomplete, record.Reason)
}

// Guards against a call that stays running although its backend server never
// saw it, and against a rejected call whose copy runs later.
func TestCallThatDidNotRunIsSealed(t *testing.T) {
	x := newMemberExecutor("127.0.0.1:1")
	unreachable := booking()
	require.Equal(t, board.OutcomeNotRun, x.Serve(t.Context(), unreachable).Outcome)
	require.Equal(t, board.KeySealed, recordOf(x, unreachable).State)
	rejected := booking()
	rejected.Service = "other"
	require.Equal(t, board.ReasonNoServer, x.Serve(t.Context(), rejected).Reason)
	id := board.KeyID{Service: "other", Caller: "c", Key: rejected.Key}
	require.Equal(t, board.KeySealed, x.Board.Keys.ExecutorRecords.Get(id).State)
}
