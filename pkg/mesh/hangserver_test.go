package mesh_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/mesh"
)

// executeFor runs a call at the executor of a node, which its caller abandons after a
// time.
func executeFor(t *testing.T, n *node, wait time.Duration) *mesh.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	now := time.Now()
	return n.executor.Execute(ctx, &mesh.Call{
		ID: "id", Method: http.MethodGet, Target: "/read/1", Host: "h", Header: http.Header{}, Rule: "read", Service: "desk",
		Received: now, Objective: now.Add(60 * time.Millisecond), Deadline: now.Add(5 * time.Second),
	}, "", 0, pausedSender{})
}

// requireNotSuspected checks that neither the backend server is taken for dead nor its
// requests for such that crash servers.
func requireNotSuspected(t *testing.T, n *node) {
	t.Helper()
	require.Empty(t, n.board.SuspectedServers.Events())
	require.Empty(t, n.board.ExecutionResults.Events())
	require.Empty(t, n.board.Announcements.Events())
	require.False(t, n.board.LocalServer.Load().Down)
}

// Guards against a second request on a connection on which nothing came, against a call
// without a response that is reported as not run, and against a server that is taken
// for dead because it does not respond.
func TestSilentConnectionIsNotReused(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	onSilentConn := make(chan int, 1)
	server := startBackend(t, func(conn net.Conn, r *http.Request) bool {
		if !silent.CompareAndSwap(true, false) {
			return respondOK(conn, r)
		}
		// Nothing is ever written. The read ends when the connection is closed.
		bytes, _ := conn.Read(make([]byte, 1024))
		onSilentConn <- bytes
		return false
	})
	n := startFleet(t, server)[0]
	result := executeFor(t, n, 100*time.Millisecond)
	require.Equal(t, mesh.Unknown, result.Outcome)
	require.Equal(t, board.ReasonCanceledByCaller, result.Reason)
	require.Equal(t, mesh.Answered, executeFor(t, n, time.Second).Outcome)
	require.Zero(t, <-onSilentConn, "the connection is closed without a further request")
	requireNotSuspected(t, n)
	require.Zero(t, n.executor.InFlight())
}

// A server that never responds closes the connection later. Guards against a hang that
// goes unnoticed, and against the end of that connection being taken for a crash of the
// server by the request.
func TestHangIsNoticedAndIsNoCrash(t *testing.T) {
	release := make(chan struct{})
	server := startBackend(t, func(net.Conn, *http.Request) bool {
		<-release
		return false
	})
	n := startFleet(t, server)[0]
	results := make(chan *mesh.Result, 1)
	go func() { results <- executeFor(t, n, 10*time.Second) }()
	require.Eventually(t, func() bool { return server.executions.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		// The server does not know the call.
		n.executor.OnHealthReport(board.ServerLoadReport{Slots: 4, Slowdown: 1, RequestedAt: time.Now()})
		return n.executor.LoadReport().Hangs
	}, 5*time.Second, 20*time.Millisecond)
	close(release)
	result := <-results
	require.Equal(t, mesh.Unknown, result.Outcome)
	require.Equal(t, board.ReasonConnectionLost, result.Reason)
	requireNotSuspected(t, n)
}
