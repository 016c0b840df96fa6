package node

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/opsapi"
)

// trafficGenerator sends reads and bookings to entries until it is stopped, and
// records each failed call.
type trafficGenerator struct {
	stopped  atomic.Bool
	workers  sync.WaitGroup
	calls    atomic.Int64
	mu       sync.Mutex
	failures []string
}

const trafficWorkerCount = 4

func startTraffic(entries []*clusterNode) *trafficGenerator {
	g := &trafficGenerator{}
	for i := range trafficWorkerCount {
		g.workers.Go(func() {
			for n := 0; !g.stopped.Load(); n++ {
				method, path := "GET", "/jobs/read"
				if n%2 == 1 {
					method, path = "POST", "/jobs/book"
				}
				g.send(entries[(i+n)%len(entries)], method, path)
			}
		})
	}
	return g
}

func (g *trafficGenerator) send(entry *clusterNode, method, path string) {
	started := time.Now()
	got, err := sendRequest(http.DefaultClient, method, entry.callersURL+path, nil, nil)
	g.calls.Add(1)
	if err == nil && got.status == http.StatusOK && len(got.body) == responseSize {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = append(g.failures, fmt.Sprintf("%s %s: status %d from %s, %d bytes, reason %q, %v, after %s",
		method, path, got.status, got.header.Get("Mangostand-Backend-Server"), len(got.body), got.reason, err, time.Since(started)))
}

func (g *trafficGenerator) stop() {
	g.stopped.Store(true)
	g.workers.Wait()
}

// requireNoFailures requires that every call got a complete, successful response.
func (g *trafficGenerator) requireNoFailures(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	require.Empty(t, g.failures)
	t.Logf("%d calls, none failed", g.calls.Load())
}

// executorIdle reports whether the executor has no calls in flight.
func (n *clusterNode) executorIdle() bool { return n.node.executor.InFlight() == 0 }

// removedFromRouting returns a condition that holds once no other entry sends calls
// to the node.
func (c *cluster) removedFromRouting(n *clusterNode) func() bool {
	id := board.InstanceID(n.node.settings.Instance)
	return func() bool {
		for _, other := range c.nodes {
			if other != n && c.routableInstances(other)[id] {
				return false
			}
		}
		return true
	}
}

// Guards against a graceful stop under load that interrupts calls in flight, sends new
// calls to the backend server of the stopping node, or is detected as a crash.
func TestGracefulStopUnderLoadInterruptsNoCalls(t *testing.T) {
	c := newCluster(t, 4)
	traffic := startTraffic(c.nodes[:3])
	defer traffic.stop()
	leavingNode := c.nodes[3]
	c.waitUntil("the backend server of the leaving node executes calls", func() bool { return leavingNode.server.executions.Load() > 20 })
	var slowCalls sync.WaitGroup
	for range 8 {
		slowCalls.Go(func() { traffic.send(leavingNode, "GET", "/jobs/slow") })
	}
	c.waitUntil("slow calls are in flight", func() bool { return leavingNode.node.board.Requests.Len() >= 8 })
	// The calls that another entry sends from now on outlast those that the leaving
	// node accepted as entry.
	time.Sleep(2 * time.Second)
	ownSlowCalls := leavingNode.server.slowExecutions.Load()
	c.waitUntil("the leaving node executes a slow call of another entry", func() bool {
		slowCalls.Go(func() { traffic.send(c.nodes[0], "GET", "/jobs/slow") })
		return leavingNode.server.slowExecutions.Load() > ownSlowCalls
	})

	leavingNode.cancel()
	c.waitUntil("the executor refuses new calls", func() bool { return leavingNode.node.board.LocalServer.Load().Stopping })
	took := c.waitUntil("no other entry sends calls to the node", c.removedFromRouting(leavingNode))
	t.Logf("all entries stopped sending %s after the start of the drain", took)
	c.waitUntil("the calls in flight on the backend server have ended", leavingNode.executorIdle)
	executions := leavingNode.server.executions.Load()

	status := getDrainStatus(t, leavingNode)
	require.True(t, status.Stopping)
	require.Equal(t, http.StatusServiceUnavailable, mustSend(t, http.DefaultClient, "GET", leavingNode.operatorsURL+"/healthz", nil, nil).status)
	_, err := sendRequest(http.DefaultClient, "POST", leavingNode.localURL+"/v1/drain", nil, nil)
	require.NoError(t, err, "the local listener is closed while the node drains")

	c.waitStopped(leavingNode)
	c.waitUntil("the other nodes have the member state left", func() bool {
		for _, n := range c.nodes[:3] {
			if m, _ := n.node.board.Members.Load().Get("node-3"); m.State != board.MemberLeft {
				return false
			}
		}
		return true
	})
	traffic.stop()
	slowCalls.Wait()
	traffic.requireNoFailures(t)
	require.Equal(t, executions, leavingNode.server.executions.Load(), "the leaving node executed new calls")
}

func getDrainStatus(t *testing.T, n *clusterNode) opsapi.DrainStatus {
	t.Helper()
	var status opsapi.DrainStatus
	getJSON(t, n.operatorsURL+"/v1/drain", &status)
	return status
}

// Guards against a drain command that interrupts calls in flight, against a repeated
// drain command that fails, and against a restarted backend server that stays drained.
func TestDrainAndRestartUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	traffic := startTraffic(c.nodes)
	defer traffic.stop()
	drainedNode := c.nodes[2]
	for round := range 2 {
		before := drainedNode.server.executions.Load()
		c.waitUntil("the backend server executes calls", func() bool { return drainedNode.server.executions.Load() > before+10 })
		url := drainedNode.operatorsURL
		if round == 1 {
			url = drainedNode.localURL
		}
		c.postCommand(url + "/v1/drain")
		c.postCommand(url + "/v1/drain")
		c.waitUntil("the executor refuses new calls", func() bool { return drainedNode.node.board.LocalServer.Load().Draining })
		c.waitUntil("the calls in flight have ended", drainedNode.executorIdle)
		executions := drainedNode.server.executions.Load()
		c.waitUntil("no other entry sends calls to the node", c.removedFromRouting(drainedNode))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, executions, drainedNode.server.executions.Load(), "the drained backend server executed new calls")
		require.True(t, getDrainStatus(t, drainedNode).Draining)

		drainedNode.server.crash()
		drainedNode.server.start()
		c.waitUntil("the restarted backend server executes calls", func() bool { return drainedNode.server.executions.Load() > executions })
	}
	traffic.stop()
	traffic.requireNoFailures(t)
}

// Guards against a drain command with exit=true that does not stop the node, and
// against a restart of the backend server that cancels the stop.
func TestDrainWithExitStopsTheNode(t *testing.T) {
	c := newCluster(t, 2)
	n := c.nodes[1]
	c.postCommand(n.operatorsURL + "/v1/drain?exit=true")
	c.waitUntil("the node stops", func() bool { return n.node.board.LocalServer.Load().Stopping })
	n.server.crash()
	n.server.start()
	c.waitStopped(n)
	require.True(t, n.node.board.LocalServer.Load().Draining)
	require.Zero(t, n.server.executions.Load())
}
