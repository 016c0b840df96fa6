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

// totalExecutions returns the number of executions on all backend servers.
func (c *cluster) totalExecutions() int64 {
	var total int64
	for _, n := range c.nodes {
		total += n.server.executions.Load()
	}
	return total
}

// quarantinedOnAllNodes reports whether every node has a quarantined request.
func (c *cluster) quarantinedOnAllNodes() bool {
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

// Guards against a request that crashes the backend servers of a service one after
// the other, and against a quarantine that operators cannot list or lift.
func TestPoisonRequestIsQuarantinedAfterSecondCrash(t *testing.T) {
	c := newCluster(t, 4)
	got := c.mustCall(c.nodes[0], "GET", "/jobs/poison")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, "unknown", got.outcome)
	require.EqualValues(t, 2, c.totalExecutions(), "one call and its retry reached more than two backend servers")
	took := c.waitUntil("all nodes refuse the request", c.quarantinedOnAllNodes)
	t.Logf("quarantined on all nodes %s after the second crash", took)
	for _, n := range c.nodes {
		got := c.mustCall(n, "GET", "/jobs/poison")
		require.Equal(t, http.StatusUnprocessableEntity, got.status)
		require.Equal(t, "not-run", got.outcome)
	}
	require.EqualValues(t, 2, c.totalExecutions())

	for _, n := range c.nodes {
		n.server.crashDisabled.Store(true)
	}
	var out bytes.Buffer
	require.Equal(t, cli.ExitOK, cli.Run("test", []string{"quarantine", "list", "--node", c.nodes[1].operatorsURL}, &out, &out))
	require.Contains(t, out.String(), "GET /jobs/poison")
	require.Contains(t, out.String(), "quarantined")
	digest := strings.Fields(strings.Split(out.String(), "\n")[1])[0]
	require.Equal(t, cli.ExitFailure, cli.Run("test", []string{"quarantine", "lift", "--node", c.nodes[1].operatorsURL, "unknown"}, &out, &out))
	require.Equal(t, cli.ExitOK, cli.Run("test", []string{"quarantine", "lift", "--node", c.nodes[2].operatorsURL, digest}, &out, &out))
	c.waitUntil("all nodes have lifted the quarantine", func() bool {
		for _, n := range c.nodes {
			if len(n.node.board.Quarantine.Load().Entries) > 0 {
				return false
			}
		}
		return true
	})
	got = c.mustCall(c.nodes[0], "GET", "/jobs/poison")
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, got.body, responseSize)
}

// Guards against a booking that crashes the backend servers one after the other
// because its callers send it with a new idempotency key each time.
func TestCrashingBookingIsQuarantinedAcrossKeys(t *testing.T) {
	c := newCluster(t, 4)
	book := func(n *clusterNode, caller string) response {
		key := uuid.Must(uuid.NewV7()).String()
		return mustSend(t, http.DefaultClient, "POST", n.callersURL+"/jobs/poison",
			map[string]string{"Idempotency-Key": key, "Mangostand-Caller": caller}, []byte("slot 4"))
	}
	for i, caller := range []string{"foreman", "inspector"} {
		got := book(c.nodes[i], caller)
		require.Equal(t, http.StatusBadGateway, got.status, got.body)
		require.Equal(t, "unknown", got.outcome)
		require.EqualValues(t, i+1, c.totalExecutions(), "one key was executed more than once")
	}
	c.waitUntil("all nodes refuse the booking", c.quarantinedOnAllNodes)
	for _, n := range c.nodes {
		got := book(n, "foreman")
		require.Equal(t, http.StatusUnprocessableEntity, got.status, got.body)
		require.Equal(t, "not-run", got.outcome)
		require.Equal(t, "quarantined", got.reason)
	}
	require.EqualValues(t, 2, c.totalExecutions())
}

// Guards against a harmless request that stays suspected after it has completed on
// another backend server.
func TestSuspectedRequestIsClearedByCompletion(t *testing.T) {
	c := newCluster(t, 3)
	crashingNode := c.nodes[0]
	for _, n := range c.nodes[1:] {
		n.server.crashDisabled.Store(true)
	}
	c.waitUntil("the backend server crashes while it executes the request", func() bool {
		got := c.mustCall(crashingNode, "GET", "/jobs/poison")
		require.Equal(t, http.StatusOK, got.status, "the call is retried on another backend server")
		return !crashingNode.node.board.LocalServer.Load().Announced
	})
	c.waitUntil("no node suspects the request any more", func() bool {
		require.Equal(t, http.StatusOK, c.mustCall(c.nodes[1], "GET", "/jobs/poison").status)
		for _, n := range c.nodes {
			if len(n.node.board.Quarantine.Load().Entries) > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a drain command that does not wait for the drain or report its end,
// and against one that reports success although it cannot reach the node.
func TestDrainCommandWaitsForCompletion(t *testing.T) {
	c := newCluster(t, 2)
	var out bytes.Buffer
	require.Equal(t, cli.ExitOK, cli.Run("test", []string{"drain", "--node", c.nodes[1].operatorsURL, "--wait"}, &out, &out))
	require.Contains(t, out.String(), "drained")
	require.True(t, c.nodes[1].node.board.LocalServer.Load().Draining)
	require.Equal(t, cli.ExitFailure, cli.Run("test", []string{"drain", "--node", "http://127.0.0.1:1"}, &out, &out))
	c.waitUntil("the other node has the member state draining", func() bool {
		m, _ := c.nodes[0].node.board.Members.Load().Get("node-1")
		return m.State == board.MemberDraining
	})
}
