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
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/mesh"
)

const (
	headerID       = "Id"
	headerDeadline = "Deadline"
	headerCaller   = "Caller"
	headerExpect   = "Expect-Server"
	headerNotRun   = "Not-Run"
	headerSigned   = "Signature"
)

// codec is another front end than the platform's, which shows that the calls do
// not depend on names.
type codec struct{}

func (codec) CallOf(header http.Header, received time.Time) (string, time.Time) {
	ms, err := strconv.Atoi(header.Get(headerDeadline))
	if err != nil {
		return header.Get(headerID), time.Time{}
	}
	return header.Get(headerID), received.Add(time.Duration(ms) * time.Millisecond)
}

func (codec) Outgoing(header http.Header, out mesh.RequestMetadata) {
	header.Set(headerID, out.ID)
	header.Set(headerCaller, out.CallerService)
	header.Set(headerExpect, out.ServerID)
	header.Set(headerDeadline, strconv.FormatInt(out.TimeLeft.Milliseconds(), 10))
}

func (codec) Mine(header http.Header, id string) bool {
	return header.Get(headerID) == "" || header.Get(headerID) == id
}

func (codec) Reading(_ int, header http.Header) mesh.ResponseMetadata {
	return mesh.ResponseMetadata{Signed: header.Get(headerSigned) != "", NotExecuted: header.Get(headerNotRun) != ""}
}

func (codec) Refusal(header http.Header, id string, retryAfter time.Duration) {
	header.Set(headerID, id)
	if retryAfter > 0 {
		header.Set("Retry-After", retryAfter.String())
	}
}

// backendServer is a scripted backend server: the script gets each request and
// its connection, and returns false to end the connection.
type backendServer struct {
	addr string
	runs atomic.Int32
	mu   sync.Mutex
	seen []*http.Request
}

type script func(conn net.Conn, r *http.Request) bool

func startBackend(t *testing.T, run script) *backendServer {
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
			go b.serve(conn, run)
		}
	}()
	return b
}

func (b *backendServer) serve(conn net.Conn, run script) {
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
		b.seen = append(b.seen, req)
		b.mu.Unlock()
		b.runs.Add(1)
		if !run(conn, req) {
			return
		}
	}
}

// answer writes a whole answer with the id of its request.
func answer(conn net.Conn, r *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d S\r\n%s: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s",
		status, headerID, r.Header.Get(headerID), len(body), body)
	return err == nil
}

func ok(conn net.Conn, r *http.Request) bool { return answer(conn, r, http.StatusOK, "ok") }

// reset ends the connection without an answer.
func reset(conn net.Conn, _ *http.Request) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

// node is one node of a test fleet.
type node struct {
	board    *board.MeshBoard
	executor *mesh.Executor
	entry    *mesh.Entry
	record   board.NodeRecord
	server   *board.Writer[*board.BackendServer]
	fleet    *board.Writer[*board.Fleet]
	caller   string
}

func testTable() *dynconf.Table {
	table := dynconf.EmptyTable()
	table.Version = 3
	rule := func(name, prefix string, idempotent bool) *dynconf.Rule {
		return &dynconf.Rule{
			Name: name, Prefix: prefix, Parts: []dynconf.Part{{Service: "desk", Weight: 1}}, Idempotent: idempotent,
			Timeout: 700 * time.Millisecond, Objective: 300 * time.Millisecond, MaxAttempts: 2, Rank: 1,
		}
	}
	table.Hosts["h"] = []*dynconf.Rule{rule("read", "/read/", true), rule("book", "/book/", false)}
	table.Sort()
	return table
}

// startFleet starts a node beside each backend server, all of one service. The
// callers' node is the first one.
func startFleet(t *testing.T, servers ...*backendServer) []*node {
	t.Helper()
	var nodes []*node
	for i, server := range servers {
		nodes = append(nodes, startNode(t, fmt.Sprintf("n%d", i), server))
	}
	for _, n := range nodes {
		n.know(nodes)
	}
	return nodes
}

func startNode(t *testing.T, name string, server *backendServer) *node {
	t.Helper()
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = peers.Close(), callers.Close() })
	self := board.NodeIdentity{Instance: board.InstanceID(name), FailureDomain: "d", Service: "desk", PeerAddr: peers.Addr().String(), ServerAddr: server.addr}
	b := board.NewMeshBoard(self)
	b.Routes.Claim("test").Publish(testTable())
	n := &node{board: b, server: b.LocalServer.Claim("test"), fleet: b.Fleet.Claim("test"), caller: callers.Addr().String()}
	n.server.Publish(&board.BackendServer{ID: "s-" + name, State: board.ServerReady, Service: "desk", Addr: server.addr, Slots: 4})
	n.record = board.NodeRecord{Instance: self.Instance, Incarnation: 1, Sequence: 1, PeerAddr: self.PeerAddr, FailureDomain: "d", Service: "desk", ServerID: "s-" + name, Slots: 4, State: board.ServerReady}
	n.executor = &mesh.Executor{Board: b, Servers: &h1.Pool{DialTimeout: time.Second, IdleTimeout: time.Minute}, Codec: codec{}, Log: zerolog.Nop(), DrainTime: 2 * time.Second}
	n.entry = &mesh.Entry{
		Board: b, Peers: &h1.Pool{DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute}, LocalExecutor: n.executor,
		Codec: codec{}, Log: zerolog.Nop(), AttemptLimit: attempts.Limit{Ratio: 1, Slack: 100}, AttemptWindow: 10 * time.Second,
	}
	limits := func() h1.Limits {
		return h1.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	}
	peerServer := &h1.Server{Handler: n.executor.HandleHop, Limits: limits, Held: true}
	callerServer := &h1.Server{Handler: n.entry.Handle, Limits: limits}
	go func() { _ = peerServer.Serve(peers) }()
	go func() { _ = callerServer.Serve(callers) }()
	return n
}

// know makes the nodes known to n.
func (n *node) know(nodes []*node) {
	view := &board.Fleet{ByInstance: map[board.InstanceID]*board.MeshEndpoint{}, ByService: map[string][]*board.MeshEndpoint{}, Size: len(nodes)}
	for _, other := range nodes {
		cell := &board.MeshEndpoint{Record: other.record, EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
		view.ByInstance[other.record.Instance] = cell
		if other.record.AcceptsCalls() {
			view.ByService["desk"] = append(view.ByService["desk"], cell)
		}
	}
	n.fleet.Publish(view)
}

// send makes a call as a caller does.
func (n *node) send(t *testing.T, method, target, body string, change func(*http.Request)) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.caller+target, strings.NewReader(body))
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

// Guards against a request that is changed on its way, and against headers of
// the caller that take the place of those of the mesh.
func TestRequestReachesTheBackendServerUnchanged(t *testing.T) {
	server := startBackend(t, ok)
	n := startFleet(t, server)[0]
	resp, body := n.send(t, http.MethodPost, "/book/a%2Fb?x=1", "booking", func(r *http.Request) {
		r.Header.Set(headerCaller, "someone-else")
		r.Header.Set("X-Own", "kept")
		r.Header.Set("Mangostand-Hop", "forged")
	})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "ok", body)
	require.Equal(t, "s", resp.Header.Get("Signature"))
	got := server.seen[0]
	require.Equal(t, "/book/a%2Fb?x=1", got.RequestURI)
	require.Equal(t, http.MethodPost, got.Method)
	require.Equal(t, "desk", got.Header.Get(headerCaller))
	require.Equal(t, "s-n0", got.Header.Get(headerExpect))
	require.Equal(t, "kept", got.Header.Get("X-Own"))
	require.Empty(t, got.Header.Get("Mangostand-Hop"))
	sent, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	require.Equal(t, "booking", string(sent))
}

// Guards against a booking that runs twice, or that is told as not run, after
// its connection broke.
func TestUnsafeCallIsSentOnce(t *testing.T) {
	for name, run := range map[string]script{
		"reset before the answer": reset,
		"truncated answer": func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		},
		"answer of another maker": func(conn net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nbad", headerID, r.Header.Get(headerID))
			return err == nil
		},
		"no answer in HTTP": func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "nonsense\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := startBackend(t, run), startBackend(t, run)
			n := startFleet(t, first, second)[0]
			resp, _ := n.send(t, http.MethodPost, "/book/1", "x", nil)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.EqualValues(t, 1, first.runs.Load()+second.runs.Load())
		})
	}
}

// Guards against a read that fails though another backend server could answer
// it, and against a broken answer that is passed on.
func TestReadIsRepeatedElsewhere(t *testing.T) {
	for name, run := range map[string]script{
		"reset": reset,
		"truncated": func(conn net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", headerID, r.Header.Get(headerID))
			return false
		},
		"rejected": func(conn net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 503 S\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		},
		"failed": func(conn net.Conn, r *http.Request) bool { return answer(conn, r, http.StatusInternalServerError, "") },
	} {
		t.Run(name, func(t *testing.T) {
			var once atomic.Bool
			bad := func(conn net.Conn, r *http.Request) bool {
				if once.CompareAndSwap(false, true) {
					return run(conn, r)
				}
				return ok(conn, r)
			}
			first, second := startBackend(t, bad), startBackend(t, bad)
			n := startFleet(t, first, second)[0]
			resp, body := n.send(t, http.MethodGet, "/read/1", "", nil)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, "ok", body)
			require.EqualValues(t, 2, first.runs.Load()+second.runs.Load())
		})
	}
}

// Guards against an answer of an earlier request that reaches the next caller.
func TestLateExtraAnswerIsDropped(t *testing.T) {
	server := startBackend(t, func(conn net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.RequestURI, "2") {
			extra := &http.Request{Header: http.Header{}}
			extra.Header.Set(headerID, "id-/read/1")
			answer(conn, extra, http.StatusOK, "of another call")
		}
		return ok(conn, r)
	})
	n := startFleet(t, server)[0]
	for _, target := range []string{"/read/1", "/read/2", "/read/3"} {
		resp, body := n.send(t, http.MethodGet, target, "", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 3, server.runs.Load())
}

// Guards against a booking that is told as possibly run though its executor
// never took it: a node that accepts connections and stays silent.
func TestSilentExecutorProvesNotRun(t *testing.T) {
	server := startBackend(t, ok)
	nodes := startFleet(t, server, server)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	nodes[1].record.PeerAddr = silent.Addr().String()
	nodes[0].record.State = board.ServerDraining
	nodes[0].know(nodes)
	resp, _ := nodes[0].send(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, server.runs.Load())
	cell := nodes[0].board.Fleet.Load().ByInstance["n1"]
	require.True(t, cell.Reachability.Suspected())
}

// Guards against calls that reach a backend server which is leaving, also when
// the entry has not heard of it yet.
func TestDrainingServerGetsNothing(t *testing.T) {
	leaving, staying := startBackend(t, ok), startBackend(t, ok)
	nodes := startFleet(t, staying, leaving)
	nodes[1].server.Publish(&board.BackendServer{ID: "s-n1", State: board.ServerDraining, Service: "desk", Addr: leaving.addr, Slots: 4, DrainingSince: time.Now()})
	for i := range 20 {
		resp, _ := nodes[0].send(t, http.MethodPost, fmt.Sprintf("/book/%d", i), "x", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Zero(t, leaving.runs.Load())
	require.EqualValues(t, 20, staying.runs.Load())
}

// Guards against calls that wait for a backend server which has crashed: they
// are refused at once and served elsewhere or not at all.
func TestWaitingCallsLeaveADeadServer(t *testing.T) {
	release := make(chan struct{})
	server := startBackend(t, func(conn net.Conn, r *http.Request) bool {
		<-release
		return ok(conn, r)
	})
	n := startFleet(t, server)[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.executor.Run(ctx)
	statuses := make(chan int, 8)
	for i := range 8 {
		go func() {
			resp, _ := n.send(t, http.MethodPost, fmt.Sprintf("/book/%d", i), "x", func(r *http.Request) { r.Header.Set(headerDeadline, "60000") })
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
	require.LessOrEqual(t, server.runs.Load(), int32(4))
}

// Guards against a call that is held past the timeout of its route, and against
// a run that goes on after its caller was answered or has left.
func TestTimeoutAndDepartureEndTheRun(t *testing.T) {
	ended := make(chan struct{}, 4)
	server := startBackend(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		ended <- struct{}{}
		return false
	})
	n := startFleet(t, server)[0]
	resp, _ := n.send(t, http.MethodPost, "/book/1", "x", nil)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	<-ended

	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.caller+"/read/1", nil)
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(headerID, "left")
	go func() {
		for server.runs.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(req)
	require.Error(t, err)
	<-ended
}

// Guards against 404 from a node that knows no configuration yet, which callers
// take for final.
func TestRefusalsOfTheEntry(t *testing.T) {
	n := startFleet(t, startBackend(t, ok))[0]
	resp, _ := n.send(t, http.MethodGet, "/unknown/", "", nil)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	resp, _ = n.send(t, http.MethodGet, "/read/1", "", func(r *http.Request) { r.Header.Del(headerID) })
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)

	empty := board.NewMeshBoard(board.NodeIdentity{Instance: "empty"})
	entry := &mesh.Entry{Board: empty, Codec: codec{}, Log: zerolog.Nop()}
	answer := entry.Handle(t.Context(), &h1.Request{Method: http.MethodGet, Target: "/read/1", Host: "h", Header: http.Header{headerID: {"1"}}, Received: time.Now()})
	require.Equal(t, http.StatusServiceUnavailable, answer.Status)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
}

// Guards against calls for a node that is gone and whose address another one
// has.
func TestOtherNodeAtTheAddressIsNotAskedAgain(t *testing.T) {
	server := startBackend(t, ok)
	nodes := startFleet(t, server, startBackend(t, ok))
	gone := *nodes[1]
	gone.record.Instance, gone.record.ServerID = "gone", "s-gone"
	nodes[0].know([]*node{&gone})
	resp, _ := nodes[0].send(t, http.MethodGet, "/read/1", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	cell := nodes[0].board.Fleet.Load().ByInstance["gone"]
	require.True(t, cell.Reachability.Replaced())
	require.Nil(t, cell.LatestLoadReport(), "the load is that of another backend server")
}
