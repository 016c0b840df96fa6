package mesh_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a quarantined request that reaches a backend server. The
// entry may not know about the quarantine yet, and a request that one
// executor has refused must not run on another. Other requests to the same
// path are served.
func TestQuarantinedRequestIsNotExecuted(t *testing.T) {
	servers := []*backendServer{startBackend(t, resetConn), startBackend(t, resetConn)}
	nodes := startFleet(t, servers...)
	nodes[0].call(t, http.MethodPost, "/book/a?x=1", "crash", nil)
	var lost board.ExecutionResult
	for _, n := range nodes {
		select {
		case lost = <-n.board.ExecutionResults.Events():
		default:
		}
	}
	require.Equal(t, board.ExecutionConnectionLost, lost.Kind)
	require.Equal(t, "POST /desk/book/a", lost.Summary)
	publishQuarantine := func(n *node) {
		n.board.Quarantine.Claim("test").Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{
			lost.Digest: {Digest: lost.Digest, Quarantined: true, ExpiresAt: time.Now().Add(time.Hour)},
		}})
	}
	executions := func() int32 { return servers[0].executions.Load() + servers[1].executions.Load() }

	publishQuarantine(nodes[1])
	nodes[0].publishFleet(nodes[1:])
	before := executions()
	resp, body := nodes[0].call(t, http.MethodPost, "/book/a?x=1", "crash", func(r *http.Request) { r.Header.Set(headerID, "another") })
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, board.ReasonQuarantined)
	publishQuarantine(nodes[0])
	resp, _ = nodes[0].call(t, http.MethodPost, "/book/a?x=1", "crash", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Greater(t, retryAfter, 59*time.Minute)
	require.Equal(t, before, executions())
	nodes[0].call(t, http.MethodPost, "/book/a?x=1", "another body", nil)
	require.Equal(t, before+1, executions())
}
