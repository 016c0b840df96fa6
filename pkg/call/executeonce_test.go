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

// newEpochMemberExecutor returns an executor that is a member of epoch 1 of
// service s, with one other member and a backend server at addr.
func newEpochMemberExecutor(addr string) *Executor {
	b := board.New("x")
	b.LocalServer.Claim("test").Publish(&board.LocalServer{Announced: true, Service: "s", Addr: addr, Slots: 1})
	view := &board.EpochView{
		Epoch: &board.Epoch{Service: "s", Number: 1, Members: []board.EpochMember{
			{Instance: "h", Incarnation: 1}, {Instance: "x", Incarnation: 1},
		}},
		ConfirmedAt: time.Now(), Superseded: make(chan struct{}),
	}
	b.Epochs.Claim("test").Publish(&board.Epochs{ByService: map[string]*board.EpochView{"s": view}})
	keyController := atmostonce.New("x", 1, b, nil, zerolog.Nop())
	return &Executor{Instance: "x", Incarnation: 1, Board: b, Backend: backend.NewClient(2), AtMostOnce: keyController, Log: zerolog.Nop()}
}

// newNonIdempotentCall returns a call with a grant for the executor.
func newNonIdempotentCall() *wire.Call {
	return &wire.Call{
		RequestID: "r", Service: "s", Method: http.MethodPost, Path: "/", Caller: "c", Key: newKey(), RequestDigest: "d",
		Epoch: 1, Grant: 1 << 16, ExecutorIncarnation: 1, TimeToDeadlineMicros: time.Minute.Microseconds(),
	}
}

// executorRecord returns the executor's record of the key of a call.
func executorRecord(x *Executor, call *wire.Call) *board.KeyRecord {
	return x.Board.Keys.ExecutorRecords.Get(board.KeyID{Service: "s", Caller: "c", Key: call.Key})
}

// Guards against an outcome that is lost because the entry canceled the call or
// crashed while the backend server executed it.
func TestExecutionSurvivesCancellationByEntry(t *testing.T) {
	entryCtx, cancelEntry := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cancelEntry()
		_, _ = io.WriteString(w, "booked")
	}))
	defer server.Close()
	x := newEpochMemberExecutor(server.Listener.Addr().String())
	call := newNonIdempotentCall()
	result := x.Execute(entryCtx, call)
	require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
	require.NoError(t, result.Body.Close())
	record := executorRecord(x, call)
	require.Equal(t, board.KeyDone, record.State)
	require.Equal(t, "booked", string(record.Response.Body))
	repeated := x.Execute(t.Context(), call)
	require.Equal(t, board.OutcomeUnknown, repeated.Outcome, "a copy is never reported as not-run")
}

// Guards against an incomplete response that is recorded as a complete one.
func TestIncompleteResponseIsRecordedAsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}))
	defer server.Close()
	x := newEpochMemberExecutor(server.Listener.Addr().String())
	call := newNonIdempotentCall()
	result := x.Execute(t.Context(), call)
	require.Equal(t, board.OutcomeUnknown, result.Outcome)
	record := executorRecord(x, call)
	require.Equal(t, board.OutcomeUnknown, record.Outcome)
	require.Equal(t, board.ReasonResponseIncomplete, record.Reason)
}

// Guards against a key record that stays in state running although the call
// never reached the backend server, and against a late copy of a rejected call
// that runs.
func TestGrantOfCallNotRunIsSealed(t *testing.T) {
	x := newEpochMemberExecutor("127.0.0.1:1")
	unreachable := newNonIdempotentCall()
	require.Equal(t, board.OutcomeNotRun, x.Execute(t.Context(), unreachable).Outcome)
	require.Equal(t, board.KeySealed, executorRecord(x, unreachable).State)
	rejected := newNonIdempotentCall()
	rejected.Service = "other"
	require.Equal(t, board.ReasonNoServer, x.Execute(t.Context(), rejected).Reason)
	id := board.KeyID{Service: "other", Caller: "c", Key: rejected.Key}
	require.Equal(t, board.KeySealed, x.Board.Keys.ExecutorRecords.Get(id).State)
}
