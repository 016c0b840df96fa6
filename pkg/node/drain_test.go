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

// traffic sends reads and bookings to entries until it is stopped. Each failure
// is kept.
type traffic struct {
	stop     atomic.Bool
	done     sync.WaitGroup
	calls    atomic.Int64
	mu       sync.Mutex
	failures []string
}

const trafficWorkers = 4

func startTraffic(entries []*clusterNode) *traffic {
	l := &traffic{}
	for i := range trafficWorkers {
		l.done.Go(func() {
			for k := 0; !l.stop.Load(); k++ {
				method, path := "GET", "/jobs/read"
				if k%2 == 1 {
					method, path = "POST", "/jobs/book"
				}
				l.send(entries[(i+k)%len(entries)], method, path)
			}
		})
	}
	return l
}

func (l *traffic) send(entry *clusterNode, method, path string) {
	started := time.Now()
	got, err := send(http.DefaultClient, method, entry.callers+path, nil, nil)
	l.calls.Add(1)
	if err == nil && got.status == http.StatusOK && len(got.body) == answerSize {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("%s %s: status %d from %s, %d bytes, reason %q, %v, after %s",
		method, path, got.status, got.header.Get("Mangostand-Backend-Server"), len(got.body), got.reason, err, time.Since(started)))
}

func (l *traffic) end() {
	l.stop.Store(true)
	l.done.Wait()
}

// requireClean fails when a call was cut or failed.
func (l *traffic) requireClean(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Empty(t, l.failures)
	t.Logf("%d calls, none failed", l.calls.Load())
}

// idle reports whether no call of the executor is in flight.
func (n *clusterNode) idle() bool { return n.node.executor.InFlight() == 0 }

// leftBy reports whether no other entry sends calls to a node any more.
func (c *cluster) leftBy(n *clusterNode) func() bool {
	id := board.InstanceID(n.node.settings.Instance)
	return func() bool {
		for _, other := range c.nodes {
			if other != n && c.serving(other)[id] {
				return false
			}
		}
		return true
	}
}

// Guards against a stop of a node under load that cuts a call, lets new work
// reach the leaving backend server, or is taken for a crash.
func TestStopUnderLoadCutsNothing(t *testing.T) {
	c := newCluster(t, 4)
	l := startTraffic(c.nodes[:3])
	defer l.end()
	leaver := c.nodes[3]
	c.wait("the leaver has work", func() bool { return leaver.server.executions.Load() > 20 })
	var slow sync.WaitGroup
	for range 8 {
		slow.Go(func() { l.send(leaver, "GET", "/jobs/slow") })
	}
	c.wait("slow calls are in flight", func() bool { return leaver.node.board.Requests.Len() >= 8 })
	// The later calls of another entry outlast those of the leaver's callers.
	time.Sleep(2 * time.Second)
	own := leaver.server.slow.Load()
	c.wait("the leaving backend server runs a slow call of another entry", func() bool {
		slow.Go(func() { l.send(c.nodes[0], "GET", "/jobs/slow") })
		return leaver.server.slow.Load() > own
	})

	leaver.stop()
	c.wait("the executor refuses", func() bool { return leaver.node.board.LocalServer.Load().Stopping })
	took := c.wait("all entries have stopped sending", c.leftBy(leaver))
	t.Logf("all entries stopped sending %s after the drain", took)
	c.wait("the calls in flight on the backend server have ended", leaver.idle)
	executions := leaver.server.executions.Load()

	status := drainStatus(t, leaver)
	require.True(t, status.Stopping)
	require.Equal(t, http.StatusServiceUnavailable, do(t, http.DefaultClient, "GET", leaver.ops+"/healthz", nil, nil).status)
	_, err := send(http.DefaultClient, "POST", leaver.local+"/v1/drain", nil, nil)
	require.NoError(t, err, "the local listener is closed while the node drains")

	c.ended(leaver)
	c.wait("the others know that the node has left", func() bool {
		for _, n := range c.nodes[:3] {
			if m, _ := n.node.board.Members.Load().Get("node-3"); m.State != board.MemberLeft {
				return false
			}
		}
		return true
	})
	l.end()
	slow.Wait()
	l.requireClean(t)
	require.Equal(t, executions, leaver.server.executions.Load(), "new work reached the leaving backend server")
}

func drainStatus(t *testing.T, n *clusterNode) opsapi.DrainStatus {
	t.Helper()
	var status opsapi.DrainStatus
	get(t, n.ops+"/v1/drain", &status)
	return status
}

// Guards against a drain by command that cuts calls, against a second drain
// that fails, and against a restarted backend server that stays drained.
func TestDrainAndReturnUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	l := startTraffic(c.nodes)
	defer l.end()
	drained := c.nodes[2]
	for round := range 2 {
		before := drained.server.executions.Load()
		c.wait("the backend server has work", func() bool { return drained.server.executions.Load() > before+10 })
		url := drained.ops
		if round == 1 {
			url = drained.local
		}
		c.post(url + "/v1/drain")
		c.post(url + "/v1/drain")
		c.wait("the executor refuses", func() bool { return drained.node.board.LocalServer.Load().Draining })
		c.wait("the calls in flight have ended", drained.idle)
		executions := drained.server.executions.Load()
		c.wait("all entries have stopped sending", c.leftBy(drained))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, executions, drained.server.executions.Load(), "new work reached the drained backend server")
		require.True(t, drainStatus(t, drained).Draining)

		drained.server.crash()
		drained.server.start()
		c.wait("the restarted backend server has work", func() bool { return drained.server.executions.Load() > executions })
	}
	l.end()
	l.requireClean(t)
}

// Guards against an order to exit that does not end the node, and against a
// restart of the backend server that undoes the stop.
func TestDrainWithExitEndsTheNode(t *testing.T) {
	c := newCluster(t, 2)
	n := c.nodes[1]
	c.post(n.ops + "/v1/drain?exit=true")
	c.wait("the node stops", func() bool { return n.node.board.LocalServer.Load().Stopping })
	n.server.crash()
	n.server.start()
	c.ended(n)
	require.True(t, n.node.board.LocalServer.Load().Draining)
	require.Zero(t, n.server.executions.Load())
}
