package mesh_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/evacuation"
	"mangostand.example/mangostand/pkg/mesh"
)

// startDomains starts a node with its evacuation controller beside each backend server,
// in the failure domain of the same index.
func startDomains(t *testing.T, domains []string, servers ...*backendServer) []*node {
	t.Helper()
	var nodes []*node
	for i, server := range servers {
		n := startNodeIn(t, fmt.Sprintf("n%d", i), domains[i], server)
		n.runControllers(t)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.publishFleet(nodes)
	}
	return nodes
}

// runControllers runs the evacuation controller and the executor until the test ends.
func (n *node) runControllers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { evacuation.New(n.board, nil, zerolog.Nop()).Run(ctx) })
	running.Go(func() { n.executor.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// evacuate makes a node learn that domains are evacuated as of a revision, as from a
// settled read of the store.
func (n *node) evacuate(t *testing.T, revision uint64, domains ...string) {
	t.Helper()
	n.board.Evacuations.Post(board.EvacuationEvent{State: &board.Evacuation{Revision: revision, Settled: true, Domains: domains}})
	require.Eventually(t, func() bool { return n.board.Evacuation.Load().Revision == revision }, 5*time.Second, time.Millisecond)
}

// Guards against calls to backend servers of an evacuated domain and against callers in
// it that are not served by others, under load: calls keep going through all nodes while
// one domain is evacuated and until the evacuation has ended.
func TestEvacuationUnderLoad(t *testing.T) {
	slow := func(conn net.Conn, r *http.Request) bool {
		time.Sleep(5 * time.Millisecond)
		return respondOK(conn, r)
	}
	servers := []*backendServer{startBackend(t, slow), startBackend(t, slow), startBackend(t, slow), startBackend(t, slow)}
	nodes := startDomains(t, []string{"d1", "d1", "d2", "d2"}, servers...)
	var served, failed atomic.Int64
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i, n := range nodes {
		callers.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				default:
				}
				target := fmt.Sprintf("/read/%d-%d", i, k)
				if k%2 == 0 {
					target = fmt.Sprintf("/book/%d-%d", i, k)
				}
				request, err := http.NewRequest(http.MethodPost, "http://"+n.callerAddr+target, strings.NewReader("x"))
				if err != nil {
					failed.Add(1)
					return
				}
				request.Host = "h"
				request.Header.Set(headerID, "id-"+target)
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					failed.Add(1)
					continue
				}
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	inDomain := func() int32 { return servers[0].executions.Load() + servers[1].executions.Load() }
	time.Sleep(200 * time.Millisecond)
	require.Positive(t, inDomain())
	// Only one executor in the domain and one entry outside learn it from the store; the
	// others learn it from calls.
	nodes[0].evacuate(t, 5, "d1")
	nodes[3].evacuate(t, 5, "d1")
	require.Eventually(t, func() bool {
		return nodes[1].board.Evacuation.Load().Includes("d1") && nodes[2].board.Evacuation.Load().Includes("d1")
	}, 5*time.Second, 5*time.Millisecond, "calls carry the state")
	time.Sleep(100 * time.Millisecond)
	before, servedBefore := inDomain(), served.Load()
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, before, inDomain())
	require.Greater(t, served.Load(), servedBefore+10)
	for _, n := range nodes {
		n.evacuate(t, 9)
	}
	time.Sleep(200 * time.Millisecond)
	require.Greater(t, inDomain(), before)
	close(done)
	callers.Wait()
	require.Zero(t, failed.Load(), "callers are served throughout")
	t.Logf("%d calls served", served.Load())
}

// Guards against a call that is refused although another domain could run it, because
// the entry does not know of the evacuation and keeps offering it in the same domain.
func TestRefusedAsEvacuatedGoesToAnotherDomain(t *testing.T) {
	var servers []*backendServer
	for range 8 {
		servers = append(servers, startBackend(t, respondOK))
	}
	domains := []string{"d1", "d1", "d1", "d1", "d1", "d1", "d1", "d2"}
	nodes := startDomains(t, domains, servers...)
	for _, n := range nodes[1:7] {
		n.evacuate(t, 5, "d1")
	}
	// The first node is the entry. Its own backend server cannot take the call.
	nodes[0].server.Publish(&board.BackendServer{ID: "s-n0", Service: "desk", Down: true})
	nodes[0].record.State = board.ServerGone
	nodes[0].publishFleet(nodes)
	response, _ := nodes[0].call(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 1, servers[7].executions.Load())
}

// Guards against callers that wait for a service whose domains are all evacuated, and
// against an advice to retry at once.
func TestServiceInEvacuatedDomainsIsRefusedAtOnce(t *testing.T) {
	first, second := startBackend(t, respondOK), startBackend(t, respondOK)
	nodes := startDomains(t, []string{"d1", "d2"}, first, second)
	nodes[0].evacuate(t, 5, "d1", "d2")
	started := time.Now()
	response, body := nodes[0].call(t, http.MethodPost, "/book/1", "x", nil)
	require.Less(t, time.Since(started), 250*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1s", response.Header.Get("Retry-After"))
	require.Equal(t, "not_sent: evacuated\n", body)
	require.Zero(t, first.executions.Load()+second.executions.Load())
}

// Guards against an unknown failure domain that affects calls.
func TestUnknownDomainHasNoEffect(t *testing.T) {
	server := startBackend(t, respondOK)
	n := startDomains(t, []string{"d1"}, server)[0]
	n.evacuate(t, 5, "elsewhere", "d")
	response, _ := n.call(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against calls in the queue of an executor that are sent after the evacuation of
// its domain, and against running calls that do not end as usual.
func TestEvacuationRefusesTheQueue(t *testing.T) {
	proceed := make(chan struct{})
	server := startBackend(t, func(conn net.Conn, r *http.Request) bool {
		<-proceed
		return respondOK(conn, r)
	})
	n := startUnconfigured(t, "n0", "d1", server)
	routes := testRoutes()
	for _, rule := range routes.Hosts["h"] {
		rule.Timeout, rule.LatencyObjective = 20*time.Second, 15*time.Second
	}
	n.board.Routes.Claim("test").Publish(routes)
	n.runControllers(t)
	n.publishFleet([]*node{n})
	n.board.CallStats.ForRule("book").AddServiceTime(50 * time.Millisecond)
	const calls = 8
	slots := int(n.executor.LoadReport().Limit)
	statuses := make(chan int, calls)
	for i := range calls {
		go func() {
			response, _ := n.call(t, http.MethodPost, fmt.Sprintf("/book/%d", i), "x", func(r *http.Request) { r.Header.Set(headerDeadline, "19000") })
			statuses <- response.StatusCode
		}()
	}
	require.Eventually(t, func() bool { return n.executor.InFlight() == calls && int(server.executions.Load()) == slots }, 5*time.Second, time.Millisecond)
	n.evacuate(t, 5, "d1")
	for range calls - slots {
		require.Equal(t, http.StatusServiceUnavailable, <-statuses)
	}
	close(proceed)
	for range slots {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.EqualValues(t, slots, server.executions.Load())
}

// evacuatingSender evacuates the domain of the executor while it waits for the body.
type evacuatingSender struct{ evacuate func() }

func (s evacuatingSender) Accept(context.Context, time.Duration) ([]byte, error) {
	s.evacuate()
	return []byte("x"), nil
}

func (evacuatingSender) NotifyQueued() {}

func (evacuatingSender) NotifySlow() {}

// Guards against a call that was admitted before the evacuation and is sent after it.
func TestAdmittedCallIsNotSentAfterTheEvacuation(t *testing.T) {
	server := startBackend(t, respondOK)
	n := startDomains(t, []string{"d1"}, server)[0]
	now := time.Now()
	c := &mesh.Call{ID: "1", Method: http.MethodPost, Target: "/book/1", Service: "desk", Rule: "book", Received: now, Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}
	result := n.executor.Execute(t.Context(), c, "s-n0", 0, evacuatingSender{func() { n.evacuate(t, 5, "d1") }})
	require.Equal(t, mesh.NotSent, result.Outcome)
	require.Equal(t, board.ReasonEvacuated, result.Reason)
	require.Zero(t, server.executions.Load())
}

// Guards against a restarted executor that does not know of an evacuation yet and runs a
// call of an entry that lost contact with the store long ago. Calls of an entry in contact
// are run.
func TestRestartedExecutorRefusesEntriesWithoutContact(t *testing.T) {
	first, second := startBackend(t, respondOK), startBackend(t, respondOK)
	nodes := startDomains(t, []string{"d1", "d2"}, first, second)
	restarted := startUnconfigured(t, "n2", "d2", second)
	nodes[1].record = restarted.record
	nodes[0].record.State = board.ServerGone
	nodes[0].publishFleet(nodes)
	response, body := nodes[0].call(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Contains(t, body, string(board.ReasonNoConfiguration))
	require.Zero(t, second.executions.Load())

	status := restarted.board.Store.Claim("test")
	status.Publish(&board.StoreStatus{ReachabilityChangedAt: time.Now()})
	response, _ = nodes[0].call(t, http.MethodPost, "/book/3", "x", nil)
	require.Equal(t, http.StatusOK, response.StatusCode, "calls go on while the store is away")
	status.Publish(&board.StoreStatus{Reachable: true, ReachabilityChangedAt: time.Now()})
	response, _ = nodes[0].call(t, http.MethodPost, "/book/4", "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)

	nodes[0].board.ConfigConfirmed.Confirm(3, time.Now())
	response, _ = nodes[0].call(t, http.MethodPost, "/book/2", "x", nil)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 2, second.executions.Load())
}
