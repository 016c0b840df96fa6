package mesh_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/attempts"
	"mangostand.example/mangostand/pkg/decide/customer"
	"mangostand.example/mangostand/pkg/decide/locality"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/mesh"
)

const (
	headerID           = "Id"
	headerDeadline     = "Deadline"
	headerCaller       = "Caller"
	headerExpectServer = "Expect-Server"
	headerNotExecuted  = "Not-Run"
	headerSignature    = "Signature"
	headerAPIKey       = "Api-Key"
	headerCustomer     = "Customer"
)

// testCodec uses other header names than the platform, which shows that the
// mesh does not depend on them.
type testCodec struct{}

func (testCodec) ParseCallerHeader(header http.Header, received time.Time) (string, time.Time) {
	ms, err := strconv.Atoi(header.Get(headerDeadline))
	if err != nil {
		return header.Get(headerID), time.Time{}
	}
	return header.Get(headerID), received.Add(time.Duration(ms) * time.Millisecond)
}

func (testCodec) TakeAPIKey(header http.Header) customer.Credential {
	key := header.Get(headerAPIKey)
	header.Del(headerAPIKey)
	header.Del(headerCustomer)
	return customer.Credential{Key: key, Malformed: strings.Contains(key, " ")}
}

func (testCodec) SetRequestHeader(header http.Header, metadata mesh.RequestMetadata) {
	header.Set(headerID, metadata.ID)
	header.Set(headerCaller, metadata.CallerService)
	header.Set(headerExpectServer, metadata.ServerID)
	if metadata.Customer != "" {
		header.Set(headerCustomer, metadata.Customer)
	}
	header.Set(headerDeadline, strconv.FormatInt(metadata.TimeLeft.Milliseconds(), 10))
}

func (testCodec) MatchesRequest(header http.Header, id string) bool {
	return id != "" && header.Get(headerID) == id
}

func (testCodec) IdentifiesNone(header http.Header) bool { return header.Get(headerID) == "" }

func (testCodec) ParseResponse(_ int, header http.Header) mesh.ResponseMetadata {
	return mesh.ResponseMetadata{Signed: header.Get(headerSignature) != "", NotExecuted: header.Get(headerNotExecuted) != ""}
}

func (testCodec) SetLocalReplyHeader(header http.Header, id string, retryAfter time.Duration) {
	header.Set(headerID, id)
	if retryAfter > 0 {
		header.Set("Retry-After", retryAfter.String())
	}
}

// backendServer is a scripted backend server.
type backendServer struct {
	addr       string
	executions atomic.Int32
	mu         sync.Mutex
	requests   []*http.Request
}

// connHandler handles one request on its connection and returns false to
// close the connection.
type connHandler func(conn net.Conn, r *http.Request) bool

func startBackend(t testing.TB, handle connHandler) *backendServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	b := &backendServer{addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, handle)
		}
	}()
	return b
}

func (b *backendServer) serve(conn net.Conn, handle connHandler) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		b.requests = append(b.requests, req)
		b.mu.Unlock()
		b.executions.Add(1)
		if !handle(conn, req) {
			return
		}
	}
}

// respond writes a complete signed response with the ID of its request.
func respond(conn net.Conn, r *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d S\r\n%s: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s",
		status, headerID, r.Header.Get(headerID), len(body), body)
	return err == nil
}

func respondOK(conn net.Conn, r *http.Request) bool { return respond(conn, r, http.StatusOK, "ok") }

// resetConn resets the connection without a response.
func resetConn(conn net.Conn, _ *http.Request) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

// node is one node of a test fleet.
type node struct {
	board      *board.MeshBoard
	executor   *mesh.Executor
	entry      *mesh.Entry
	record     board.NodeRecord
	server     *board.Writer[*board.BackendServer]
	fleet      *board.Writer[*board.Fleet]
	callerAddr string
}

func testRoutes() *dynconf.RouteTable {
	table := dynconf.EmptyRouteTable()
	table.Version = 3
	rule := func(name, prefix string, idempotent bool) *dynconf.RouteRule {
		return &dynconf.RouteRule{
			Name: name, Prefix: prefix, WeightedServices: []dynconf.WeightedService{{Service: "desk", Weight: 1}}, Idempotent: idempotent,
			Timeout: 700 * time.Millisecond, LatencyObjective: 300 * time.Millisecond, MaxAttempts: 2, PriorityRank: 1,
		}
	}
	table.Hosts["h"] = []*dynconf.RouteRule{rule("read", "/read/", true), rule("book", "/book/", false)}
	table.SortRules()
	return table
}

// startFleet starts a node beside each backend server, all of one service.
// Callers use the first node.
func startFleet(t testing.TB, servers ...*backendServer) []*node {
	t.Helper()
	var nodes []*node
	for i, server := range servers {
		nodes = append(nodes, startNode(t, fmt.Sprintf("n%d", i), server))
	}
	for _, n := range nodes {
		n.publishFleet(nodes)
	}
	return nodes
}

func startNode(t testing.TB, name string, server *backendServer) *node {
	t.Helper()
	return startNodeIn(t, name, "d", server)
}

// startNodeIn starts a node in a failure domain.
func startNodeIn(t testing.TB, name, domain string, server *backendServer) *node {
	t.Helper()
	n := startUnconfigured(t, name, domain, server)
	n.board.Routes.Claim("test").Publish(testRoutes())
	return n
}

// startUnconfigured starts a node that has no configuration.
func startUnconfigured(t testing.TB, name, domain string, server *backendServer) *node {
	t.Helper()
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = peers.Close(), callers.Close() })
	self := board.NodeIdentity{Instance: board.InstanceID(name), FailureDomain: domain, Service: "desk", PeerAddr: peers.Addr().String(), ServerAddr: server.addr}
	b := board.NewMeshBoard(self)
	n := &node{board: b, server: b.LocalServer.Claim("test"), fleet: b.Fleet.Claim("test"), callerAddr: callers.Addr().String()}
	n.server.Publish(&board.BackendServer{ID: "s-" + name, State: board.ServerReady, Service: "desk", Addr: server.addr, Slots: 4})
	n.record = board.NodeRecord{Instance: self.Instance, Incarnation: 1, Sequence: 1, PeerAddr: self.PeerAddr, FailureDomain: domain, Service: "desk", ServerID: "s-" + name, Slots: 4, State: board.ServerReady}
	n.executor = &mesh.Executor{Board: b, Servers: &h1.Pool{DialTimeout: time.Second, IdleTimeout: time.Minute}, Codec: testCodec{}, Log: zerolog.Nop(), DrainTime: 2 * time.Second, EvacuationTime: 5 * time.Second}
	n.entry = &mesh.Entry{
		Board: b, Peers: &h1.Pool{DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute}, LocalExecutor: n.executor,
		Codec: testCodec{}, Log: zerolog.Nop(), AttemptLimit: attempts.Limit{Ratio: 1, Slack: 100}, AttemptWindow: 10 * time.Second,
	}
	limits := func() h1.Limits {
		return h1.Limits{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, ReadHeaderTimeout: 5 * time.Second}
	}
	idleTimeout := func(time.Time) time.Duration { return time.Minute }
	peerServer := &h1.Server{Handler: n.executor.HandleHop, Limits: limits, IdleTimeout: idleTimeout, ManualContinue: true, Bodies: b.HeldBodies}
	callerServer := &h1.Server{Handler: n.entry.Handle, Limits: limits, IdleTimeout: idleTimeout, Bodies: b.HeldBodies, RefuseBody: n.entry.RefuseBody}
	go func() { _ = peerServer.Serve(peers) }()
	go func() { _ = callerServer.Serve(callers) }()
	return n
}

// publishFleet publishes the nodes on the board of n.
func (n *node) publishFleet(nodes []*node) {
	fleet := &board.Fleet{ByInstance: map[board.InstanceID]*board.MeshEndpoint{}, ByService: map[string][]*board.MeshEndpoint{}, Size: len(nodes)}
	for _, other := range nodes {
		endpoint := &board.MeshEndpoint{Record: other.record, EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
		fleet.ByInstance[other.record.Instance] = endpoint
		if other.record.AcceptsCalls() {
			fleet.ByService["desk"] = append(fleet.ByService["desk"], endpoint)
		}
	}
	n.fleet.Publish(fleet)
}

// call sends a request as a caller does and returns the response with its
// body.
func (n *node) call(t *testing.T, method, target, body string, change func(*http.Request)) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.callerAddr+target, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(headerID, "id-"+target)
	req.Header.Set(headerDeadline, "2000")
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(got)
}

// Guards against a request that is modified on its way, and against caller
// headers that override those of the mesh.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	server := startBackend(t, respondOK)
	n := startFleet(t, server)[0]
	resp, body := n.call(t, http.MethodPost, "/book/a%2Fb?x=1", "booking", func(r *http.Request) {
		r.Header.Set(headerCaller, "someone-else")
		r.Header.Set("X-Own", "kept")
		r.Header.Set("Mangostand-Hop", "forged")
	})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "ok", body)
	require.Equal(t, "s", resp.Header.Get("Signature"))
	got := server.requests[0]
	require.Equal(t, "/book/a%2Fb?x=1", got.RequestURI)
	require.Equal(t, http.MethodPost, got.Method)
	require.Equal(t, "desk", got.Header.Get(headerCaller))
	require.Equal(t, "s-n0", got.Header.Get(headerExpectServer))
	require.Equal(t, "kept", got.Header.Get("X-Own"))
	require.Empty(t, got.Header.Get("Mangostand-Hop"))
	sent, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	require.Equal(t, "booking", string(sent))
}

// Guards against a non-idempotent call that is executed twice, or reported
// as not executed, after its connection broke.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	for name, handle := range map[string]connHandler{
		"reset before the response": resetConn,
		"truncated response": func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		},
		"unsigned response": func(conn net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nbad", headerID, r.Header.Get(headerID))
			return err == nil
		},
		"malformed HTTP": func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "nonsense\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := startBackend(t, handle), startBackend(t, handle)
			n := startFleet(t, first, second)[0]
			resp, _ := n.call(t, http.MethodPost, "/book/1", "x", nil)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.EqualValues(t, 1, first.executions.Load()+second.executions.Load())
		})
	}
}

// Guards against responses that do not prove to which request they belong: a caller
// would be told that a call was not executed, or the call would be sent again, although
// it runs.
func TestResponseWithoutProofIsNotARefusal(t *testing.T) {
	const stray = "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"
	const strayNotRun = "HTTP/1.1 503 S\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		before   string
		unsigned string // status of a response with the ID
		status   int
	}{
		"503 without an ID before the response": {stray, "", http.StatusBadGateway},
		"not executed without an ID":            {strayNotRun, "", http.StatusBadGateway},
		"not executed with the ID of another":   {strings.Replace(strayNotRun, "\r\n", "\r\n"+headerID+": other\r\n", 1), "", http.StatusOK},
		"unsigned 503 with the ID":              {"", "503", http.StatusBadGateway},
		"unsigned 429 with the ID":              {"", "429", http.StatusBadGateway},
		"signed 503 without the mark":           {"", "503 S\r\nSignature: s\r\nOther:", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			// A response without an ID is acceptable on a new connection.
			var used sync.Map
			var responded atomic.Bool
			handle := func(conn net.Conn, r *http.Request) bool {
				_, reused := used.LoadOrStore(conn, true)
				switch {
				case r.URL.Path != "/book/2" || c.unsigned == "" && !reused:
					return respondOK(conn, r)
				case c.unsigned != "":
					responded.Store(true)
					_, err := fmt.Fprintf(conn, "HTTP/1.1 %s S\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", c.unsigned, headerID, r.Header.Get(headerID))
					return err == nil
				}
				responded.Store(true)
				_, _ = io.WriteString(conn, c.before)
				return respondOK(conn, r)
			}
			first, second := startBackend(t, handle), startBackend(t, handle)
			n := startFleet(t, first, second)[0]
			for range 50 {
				before := first.executions.Load() + second.executions.Load()
				resp, _ := n.call(t, http.MethodPost, "/book/2", "x", nil)
				require.EqualValues(t, before+1, first.executions.Load()+second.executions.Load())
				if responded.Load() {
					require.Equal(t, c.status, resp.StatusCode)
					return
				}
				require.Equal(t, http.StatusOK, resp.StatusCode)
			}
			t.Fatal("no connection was used again")
		})
	}
}

// Guards against a node that takes bodies beyond its memory, from callers or from other
// nodes, and against a refusal that stops small calls or is not true.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	for name, full := range map[string]int{"at the entry": 0, "at the executor": 1} {
		t.Run(name, func(t *testing.T) {
			servers := []*backendServer{startBackend(t, respondOK), startBackend(t, respondOK)}
			nodes := startFleet(t, servers...)
			// All calls go to the second node.
			nodes[0].record.State = board.ServerDraining
			nodes[0].publishFleet(nodes)
			bodies := nodes[full].board.HeldBodies
			bodies.Bound = 1 << 20
			require.True(t, bodies.Reserve(800<<10))
			large := strings.Repeat("x", 400<<10)
			resp, got := nodes[0].call(t, http.MethodPost, "/book/1", large, nil)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Contains(t, got, "body-memory")
			retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After"))
			require.NoError(t, err)
			require.GreaterOrEqual(t, retryAfter, 200*time.Millisecond)
			require.LessOrEqual(t, retryAfter, 500*time.Millisecond)
			require.Equal(t, "id-/book/1", resp.Header.Get(headerID))
			require.Zero(t, servers[0].executions.Load()+servers[1].executions.Load())
			resp, _ = nodes[0].call(t, http.MethodPost, "/book/2", large[:4000], nil)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			bodies.Release(800 << 10)
			resp, _ = nodes[0].call(t, http.MethodPost, "/book/3", large, nil)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Eventually(t, func() bool { return nodes[0].board.HeldBodies.Held()+nodes[1].board.HeldBodies.Held() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against an idempotent call that fails although another backend
// server could respond, and against a truncated response that is passed on.
func TestIdempotentCallIsRetriedElsewhere(t *testing.T) {
	for name, handle := range map[string]connHandler{
		"reset": resetConn,
		"truncated": func(conn net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", headerID, r.Header.Get(headerID))
			return false
		},
		"rejected": func(conn net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 503 S\r\n"+headerNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		},
		"failed": func(conn net.Conn, r *http.Request) bool { return respond(conn, r, http.StatusInternalServerError, "") },
		"endless header": func(conn net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(conn, "A: b\r\n")
			}
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			var once atomic.Bool
			failOnce := func(conn net.Conn, r *http.Request) bool {
				if once.CompareAndSwap(false, true) {
					return handle(conn, r)
				}
				return respondOK(conn, r)
			}
			first, second := startBackend(t, failOnce), startBackend(t, failOnce)
			n := startFleet(t, first, second)[0]
			resp, body := n.call(t, http.MethodGet, "/read/1", "", nil)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, "ok", body)
			require.EqualValues(t, 2, first.executions.Load()+second.executions.Load())
		})
	}
}

// Guards against a late response to an earlier request that reaches the next
// caller on the same connection.
func TestLateResponseIsDropped(t *testing.T) {
	server := startBackend(t, func(conn net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.RequestURI, "2") {
			extra := &http.Request{Header: http.Header{}}
			extra.Header.Set(headerID, "id-/read/1")
			respond(conn, extra, http.StatusOK, "of another call")
		}
		return respondOK(conn, r)
	})
	n := startFleet(t, server)[0]
	for _, target := range []string{"/read/1", "/read/2", "/read/3"} {
		resp, body := n.call(t, http.MethodGet, target, "", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 3, server.executions.Load())
}

// Guards against a non-idempotent call that is reported as possibly executed
// although its executor never accepted it. Here the executor accepts TCP
// connections but never responds.
func TestUnresponsiveExecutorYieldsNotRun(t *testing.T) {
	server := startBackend(t, respondOK)
	nodes := startFleet(t, server, server)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	nodes[1].record.PeerAddr = silent.Addr().String()
	nodes[0].record.State = board.ServerDraining
	nodes[0].publishFleet(nodes)
	resp, _ := nodes[0].call(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, server.executions.Load())
	endpoint := nodes[0].board.Fleet.Load().ByInstance["n1"]
	require.True(t, endpoint.Reachability.Suspected())
}

// Guards against calls to a draining backend server, also while the entry
// does not know yet that it drains.
func TestDrainingServerGetsNoCalls(t *testing.T) {
	draining, ready := startBackend(t, respondOK), startBackend(t, respondOK)
	nodes := startFleet(t, ready, draining)
	nodes[1].server.Publish(&board.BackendServer{ID: "s-n1", State: board.ServerDraining, Service: "desk", Addr: draining.addr, Slots: 4, DrainingSince: time.Now()})
	for i := range 20 {
		resp, _ := nodes[0].call(t, http.MethodPost, fmt.Sprintf("/book/%d", i), "x", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Zero(t, draining.executions.Load())
	require.EqualValues(t, 20, ready.executions.Load())
}

// Guards against calls that stay queued for a crashed backend server instead
// of being refused at once.
func TestQueuedCallsAreRefusedWhenServerGoesDown(t *testing.T) {
	release := make(chan struct{})
	server := startBackend(t, func(conn net.Conn, r *http.Request) bool {
		<-release
		return respondOK(conn, r)
	})
	n := startFleet(t, server)[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.executor.Run(ctx)
	statuses := make(chan int, 8)
	for i := range 8 {
		go func() {
			resp, _ := n.call(t, http.MethodPost, fmt.Sprintf("/book/%d", i), "x", func(r *http.Request) { r.Header.Set(headerDeadline, "60000") })
			statuses <- resp.StatusCode
		}()
	}
	require.Eventually(t, func() bool { return n.executor.InFlight() == 8 || len(statuses) > 0 }, 5*time.Second, time.Millisecond)
	down := *n.board.LocalServer.Load()
	down.Down = true
	n.server.Publish(&down)
	refused := 0
	for n.executor.InFlight() > 4 || refused+len(statuses) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range 8 {
		if <-statuses == http.StatusServiceUnavailable {
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, 4)
	require.LessOrEqual(t, server.executions.Load(), int32(4))
}

// Guards against a call that outlasts the timeout of its route, and against
// an execution that continues after its caller got a response or
// disconnected.
func TestTimeoutAndDisconnectCancelExecution(t *testing.T) {
	ended := make(chan struct{}, 4)
	server := startBackend(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		ended <- struct{}{}
		return false
	})
	n := startFleet(t, server)[0]
	resp, _ := n.call(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	<-ended

	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callerAddr+"/read/1", nil)
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(headerID, "left")
	go func() {
		for server.executions.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(req)
	require.Error(t, err)
	<-ended
}

// Guards against a 404 response from a node without a configuration, which
// callers take as final, and against requests without an ID or a route that are
// forwarded.
func TestEntryRefusals(t *testing.T) {
	n := startFleet(t, startBackend(t, respondOK))[0]
	resp, _ := n.call(t, http.MethodGet, "/unknown/", "", nil)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	resp, _ = n.call(t, http.MethodGet, "/read/1", "", func(r *http.Request) { r.Header.Del(headerID) })
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)

	empty := board.NewMeshBoard(board.NodeIdentity{Instance: "empty"})
	entry := &mesh.Entry{Board: empty, Codec: testCodec{}, Log: zerolog.Nop()}
	response := entry.Handle(t.Context(), &h1.Request{Method: http.MethodGet, Target: "/read/1", Host: "h", Header: http.Header{headerID: {"1"}}, ReceivedAt: time.Now()})
	require.Equal(t, http.StatusServiceUnavailable, response.Status)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// Guards against further calls to a node that is gone when another node
// responds at its address.
func TestReplacedNodeIsNotCalledAgain(t *testing.T) {
	server := startBackend(t, respondOK)
	nodes := startFleet(t, server, startBackend(t, respondOK))
	gone := *nodes[1]
	gone.record.Instance, gone.record.ServerID = "gone", "s-gone"
	nodes[0].publishFleet([]*node{&gone})
	resp, _ := nodes[0].call(t, http.MethodGet, "/read/1", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	endpoint := nodes[0].board.Fleet.Load().ByInstance["gone"]
	require.True(t, endpoint.Reachability.Replaced())
	require.Nil(t, endpoint.LatestLoadReport(), "the load report is that of another backend server")
}

// pausedSender is an entry whose executor is paused while it accepts a call.
type pausedSender struct{ pause time.Duration }

func (s pausedSender) Accept(context.Context, time.Duration) ([]byte, error) {
	time.Sleep(s.pause)
	return nil, nil
}

func (pausedSender) NotifyQueued() {}

func (pausedSender) NotifySlow() {}

// Guards against a call that is sent after its deadline because the process was
// paused between its admission and its send: the caller has left, and the call may
// have been run elsewhere.
func TestCallIsNotSentAfterAPauseBeyondItsDeadline(t *testing.T) {
	server := startBackend(t, respondOK)
	n := startFleet(t, server)[0]
	execute := func(pause time.Duration) *mesh.Result {
		now := time.Now()
		c := &mesh.Call{
			ID: "id", Method: http.MethodGet, Target: "/book/1", Host: "h", Header: http.Header{}, Rule: "book", Service: "desk",
			Received: now, Objective: now.Add(100 * time.Millisecond), Deadline: now.Add(300 * time.Millisecond),
		}
		return n.executor.Execute(t.Context(), c, "", 0, pausedSender{pause})
	}
	late := execute(400 * time.Millisecond)
	require.Equal(t, mesh.NotSent, late.Outcome)
	require.Equal(t, board.ReasonDeadlineBeforeStart, late.Reason)
	require.Zero(t, server.executions.Load())
	require.Equal(t, mesh.Answered, execute(0).Outcome)
	require.Zero(t, n.executor.InFlight(), "both slots are released")
}

// Guards against a distance between failure domains that is never measured: each
// forwarded call measures it.
func TestForwardedCallsMeasureTheDistance(t *testing.T) {
	local, remote := startBackend(t, respondOK), startBackend(t, respondOK)
	nodes := startFleet(t, local, remote)
	nodes[0].record.State = board.ServerDraining
	nodes[1].record.FailureDomain = "e"
	nodes[0].publishFleet(nodes)
	resp, _ := nodes[0].call(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 1, remote.executions.Load())
	require.NotEqual(t, locality.DefaultCrossLatency, nodes[0].board.DomainLatencies.Latency("d", "e"))
	require.Equal(t, locality.DefaultCrossLatency, nodes[0].board.DomainLatencies.Latency("d", "f"))
}
