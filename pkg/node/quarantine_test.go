package node

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/cli"
)

// total counts the executions of all backend servers.
func (c *cluster) total() int64 {
	var total int64
	for _, n := range c.nodes {
		total += n.server.executions.Load()
	}
	return total
}

// quarantined reports whether every node refuses a request.
func (c *cluster) quarantined() bool {
	for _, n := range c.nodes {
		found := false
		for _, e := range n.node.board.Quarantine.Load().Entries {
			found = found || e.Quarantined
		}
		if !found {
			return false
		}
	}
	return true
}

// Guards against a request that crashes the backend servers of a service one
// after the other, and against a quarantine that cannot be seen or lifted.
func TestPoisonRequestStopsAtTheSecondDeath(t *testing.T) {
	c := newCluster(t, 4)
	got := c.call(c.nodes[0], "GET", "/jobs/poison")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome)
	require.EqualValues(t, 2, c.total(), "one call with its repetition reached more than two backend servers")
	took := c.wait("all nodes refuse the request", c.quarantined)
	t.Logf("quarantined everywhere %s after the second death", took)
	for _, n := range c.nodes {
		got := c.call(n, "GET", "/jobs/poison")
		require.Equal(t, http.StatusUnprocessableEntity, got.status)
		require.Equal(t, "not-run", got.outcome)
	}
	require.EqualValues(t, 2, c.total())

	for _, n := range c.nodes {
		n.server.harmless.Store(true)
	}
	var out bytes.Buffer
	require.Equal(t, cli.ExitOK, cli.Run("test", []string{"quarantine", "list", "--node", c.nodes[1].ops}, &out, &out))
	require.Contains(t, out.String(), "GET /jobs/poison")
	require.Contains(t, out.String(), "quarantined")
	digest := strings.Fields(strings.Split(out.String(), "\n")[1])[0]
	require.Equal(t, cli.ExitFailure, cli.Run("test", []string{"quarantine", "lift", "--node", c.nodes[1].ops, "unknown"}, &out, &out))
	require.Equal(t, cli.ExitOK, cli.Run("test", []string{"quarantine", "lift", "--node", c.nodes[2].ops, digest}, &out, &out))
	c.wait("all nodes have lifted the quarantine", func() bool {
		for _, n := range c.nodes {
			if len(n.node.board.Quarantine.Load().Entries) > 0 {
				return false
			}
		}
		return true
	})
	got = c.call(c.nodes[0], "GET", "/jobs/poison")
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, got.body, answerSize)
}

// Guards against a booking that crashes the backend servers one after the other
// because its callers send it with a new key each time.
func TestPoisonBookingIsRecognisedUnderNewKeys(t *testing.T) {
	c := newCluster(t, 4)
	book := func(n *clusterNode, caller string) answer {
		key := uuid.Must(uuid.NewV7()).String()
		return do(t, http.DefaultClient, "POST", n.callers+"/jobs/poison",
			map[string]string{"Idempotency-Key": key, "Mangostand-Caller": caller}, []byte("slot 4"))
	}
	for i, caller := range []string{"foreman", "inspector"} {
		got := book(c.nodes[i], caller)
		require.Equal(t, http.StatusBadGateway, got.status, got.body)
		require.Equal(t, "unknown", got.outcome)
		require.EqualValues(t, i+1, c.total(), "one key ran more than once")
	}
	c.wait("all nodes refuse the booking", c.quarantined)
	for _, n := range c.nodes {
		got := book(n, "foreman")
		require.Equal(t, http.StatusUnprocessableEntity, got.status, got.body)
		require.Equal(t, "not-run", got.outcome)
		require.Equal(t, "quarantined", got.reason)
	}
	require.EqualValues(t, 2, c.total())
}

// Guards against an innocent request that stays suspected after it completed
// on another backend server.
func TestSuspectIsClearedByCompletion(t *testing.T) {
	c := newCluster(t, 3)
	victim := c.nodes[0]
	for _, n := range c.nodes[1:] {
		n.server.harmless.Store(true)
	}
	c.wait("a backend server dies under the request", func() bool {
		got := c.call(victim, "GET", "/jobs/poison")
		require.Equal(t, http.StatusOK, got.status, "the call is repeated on another backend server")
		return !victim.node.board.LocalServer.Load().Announced
	})
	c.wait("the request is cleared everywhere", func() bool {
		require.Equal(t, http.StatusOK, c.call(c.nodes[1], "GET", "/jobs/poison").status)
		for _, n := range c.nodes {
			if len(n.node.board.Quarantine.Load().Entries) > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a command that does not show the progress of a drain.
func TestDrainCommandWaits(t *testing.T) {
	c := newCluster(t, 2)
	var out bytes.Buffer
	require.Equal(t, cli.ExitOK, cli.Run("test", []string{"drain", "--node", c.nodes[1].ops, "--wait"}, &out, &out))
	require.Contains(t, out.String(), "drained")
	require.True(t, c.nodes[1].node.board.LocalServer.Load().Draining)
	require.Equal(t, cli.ExitFailure, cli.Run("test", []string{"drain", "--node", "http://127.0.0.1:1"}, &out, &out))
	c.wait("the drain is known", func() bool {
		m, _ := c.nodes[0].node.board.Members.Load().Get("node-1")
		return m.State == board.MemberDraining
	})
}
