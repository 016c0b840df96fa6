package mesh_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a quarantined request that reaches a backend server: its own
// entry may not know of the quarantine yet, and another executor must not run
// what one has refused. Other requests of the same path are served.
func TestQuarantinedRequestIsNotRun(t *testing.T) {
	servers := []*backendServer{startBackend(t, reset), startBackend(t, reset)}
	nodes := startFleet(t, servers...)
	nodes[0].send(t, http.MethodPost, "/book/a?x=1", "crash", nil)
	var e board.ExecutionResult
	for _, n := range nodes {
		select {
		case e = <-n.board.ExecutionResults.Events():
		default:
		}
	}
	require.Equal(t, board.ExecutionConnectionLost, e.Kind)
	require.Equal(t, "POST /desk/book/a", e.Summary)
	quarantine := func(n *node) {
		n.board.Quarantine.Claim("test").Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{
			e.Digest: {Digest: e.Digest, Quarantined: true, ExpiresAt: time.Now().Add(time.Hour)},
		}})
	}
	runs := func() int32 { return servers[0].runs.Load() + servers[1].runs.Load() }

	quarantine(nodes[1])
	nodes[0].know(nodes[1:])
	before := runs()
	resp, body := nodes[0].send(t, http.MethodPost, "/book/a?x=1", "crash", func(r *http.Request) { r.Header.Set(headerID, "another") })
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, board.ReasonQuarantined)
	quarantine(nodes[0])
	resp, _ = nodes[0].send(t, http.MethodPost, "/book/a?x=1", "crash", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	wait, err := time.ParseDuration(resp.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Greater(t, wait, 59*time.Minute)
	require.Equal(t, before, runs())
	nodes[0].send(t, http.MethodPost, "/book/a?x=1", "another body", nil)
	require.Equal(t, before+1, runs())
}
