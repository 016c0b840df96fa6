package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/localapi"
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/pkg/standin/store"
)

// waitLimit bounds each wait; it is long, so that a busy machine passes.
const waitLimit = 30 * time.Second

// testConfig gives calls a long deadline, so that a busy machine cuts none.
const testConfig = `
[service work]
servers = *
# Gives each backend server work, whatever its latency on a busy machine.
policy = random

[route work/read]
path = /read
methods = GET
deadline = 30s

[route work/slow]
path = /slow
methods = GET
deadline = 30s

[route work/poison]
path = /poison
methods = GET

[route work/book]
path = /book
methods = POST
idempotent = no
deadline = 30s
`

// cluster runs real nodes on loopback addresses with their backend servers.
type cluster struct {
	t     *testing.T
	dir   string
	store *httptest.Server
	seed  string
	nodes []*clusterNode
}

type clusterNode struct {
	node    *Node
	server  *testServer
	stop    context.CancelFunc
	done    chan error
	callers string
	ops     string
	local   string
}

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	require.NoError(t, security.WriteCA(c.dir, time.Hour))
	keys := store.New(time.Now)
	document := &dynconf.Document{Version: 1, ChangeID: "test", Base: testConfig}
	data, err := document.Encode()
	require.NoError(t, err)
	_, err = keys.CompareAndSwap(dynconf.CurrentKey, 0, data, "")
	require.NoError(t, err)
	c.store = httptest.NewServer(keys.Handler())
	t.Cleanup(func() {
		c.store.CloseClientConnections()
		c.store.Close()
	})
	t.Cleanup(c.stopAll)
	for i := range size {
		c.nodes = append(c.nodes, c.start(fmt.Sprintf("node-%d", i)))
	}
	c.wait("all entries use all backend servers", func() bool {
		for _, n := range c.nodes {
			if len(c.serving(n)) != size || n.node.board.Config.Load().Version == 0 {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cluster) start(name string) *clusterNode {
	require.NoError(c.t, security.WriteCertificate(c.dir, name, true, nil, time.Hour))
	s := &settings.Node{
		Instance: name, Site: "test", Region: "r", FailureDomain: "a",
		Callers: "127.0.0.1:0", Local: "127.0.0.1:0", Operators: "127.0.0.1:0",
		PeerTLS: security.Files{
			Cert: filepath.Join(c.dir, name+".pem"), Key: filepath.Join(c.dir, name+"-key.pem"),
			CA: filepath.Join(c.dir, security.CACertFile),
		},
		Store: c.store.URL,
	}
	if c.seed != "" {
		s.Seeds = []string{c.seed}
	}
	n := &clusterNode{node: newNode(c.t, s), done: make(chan error, 1)}
	if c.seed == "" {
		c.seed = s.Peers
	}
	for _, l := range n.node.listeners {
		url := "http://" + l.socket.Addr().String()
		switch l.name {
		case "callers":
			n.callers = url
		case "local":
			n.local = url
		case "operators":
			n.ops = url
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- n.node.Run(ctx) }()
	n.server = newTestServer(c.t, n.local)
	return n
}

// stopAll stops the nodes together.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.stop()
	}
	limit := time.After(waitLimit)
	for _, n := range c.nodes {
		select {
		case err := <-n.done:
			require.NoError(c.t, err)
		case <-limit:
			c.t.Error("a node does not stop")
			return
		}
	}
}

// newNode binds a free UDP port. Another process may take it in between, so
// it tries again.
func newNode(t *testing.T, s *settings.Node) *Node {
	var err error
	for range 10 {
		socket, listenErr := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, listenErr)
		s.Peers = socket.LocalAddr().String()
		s.AdvertisePeers = s.Peers
		require.NoError(t, socket.Close())
		var n *Node
		if n, err = New(s, zerolog.Nop()); err == nil {
			return n
		}
	}
	require.NoError(t, err)
	return nil
}

// serving returns the instances that an entry sends calls to.
func (c *cluster) serving(n *clusterNode) map[board.InstanceID]bool {
	found := map[board.InstanceID]bool{}
	picker := n.node.board.Pickers.Load().ByService["work"]
	if picker == nil {
		return found
	}
	var exclude []board.InstanceID
	for {
		cell := picker.Pick(&board.PickRequest{Now: time.Now(), Exclude: exclude})
		if cell == nil || found[cell.Member.Instance] {
			return found
		}
		found[cell.Member.Instance] = true
		exclude = append(exclude, cell.Member.Instance)
	}
}

func (c *cluster) wait(what string, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > waitLimit {
			c.t.Fatalf("not within %s: %s", waitLimit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// call sends one request to an entry and returns status, body and headers.
func (c *cluster) call(n *clusterNode, method, path string) (int, string, http.Header, error) {
	req, err := http.NewRequest(method, n.callers+path, nil)
	if err != nil {
		return 0, "", nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header, err
}

// post sends a command and requires that it is accepted.
func (c *cluster) post(url string) {
	c.t.Helper()
	resp, err := http.Post(url, "", nil)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	require.Equal(c.t, http.StatusNoContent, resp.StatusCode, url)
}

// testServer is a backend server that can crash and restart at its address.
type testServer struct {
	t     *testing.T
	local string
	addr  string
	// executions counts the requests that were started, in all lives.
	executions atomic.Int64
	// slow counts the slow requests among them.
	slow atomic.Int64
	// harmless makes the server survive poison.
	harmless atomic.Bool

	mu   sync.Mutex
	life *http.Server
	end  context.CancelFunc
}

const (
	// answerSize is the size of each answer in bytes.
	answerSize = 100_000
	// serviceTime precedes each half of an answer. The slow one makes a call
	// last longer than the spread of a drain.
	serviceTime     = 5 * time.Millisecond
	slowServiceTime = 1500 * time.Millisecond
)

func newTestServer(t *testing.T, local string) *testServer {
	s := &testServer{t: t, local: local, addr: "127.0.0.1:0"}
	s.start()
	t.Cleanup(s.crash)
	return s
}

// start begins a new life at the same address.
func (s *testServer) start() {
	socket, err := net.Listen("tcp", s.addr)
	require.NoError(s.t, err)
	s.addr = socket.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.mu.Lock()
	s.life, s.end = server, cancel
	s.mu.Unlock()
	go func() { _ = server.Serve(socket) }()
	go s.announce(ctx, uint64(time.Now().UnixNano()))
}

// crash closes the listener and all connections at once.
func (s *testServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
	_ = s.life.Close()
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	s.executions.Add(1)
	if r.URL.Path == "/poison" && !s.harmless.Load() {
		s.crash()
		return
	}
	pause := serviceTime
	if r.URL.Path == "/slow" {
		pause = slowServiceTime
		s.slow.Add(1)
	}
	time.Sleep(pause)
	_, _ = w.Write(bytes.Repeat([]byte("x"), answerSize/2))
	w.(http.Flusher).Flush()
	time.Sleep(pause)
	_, _ = w.Write(bytes.Repeat([]byte("x"), answerSize/2))
}

func (s *testServer) announce(ctx context.Context, incarnation uint64) {
	data, err := json.Marshal(localapi.Announcement{Service: "work", Addr: s.addr, Slots: 50, Connections: 100, Incarnation: incarnation})
	if err != nil {
		s.t.Error(err)
		return
	}
	for ctx.Err() == nil {
		resp, err := http.Post(s.local+"/v1/announce", "application/json", bytes.NewReader(data))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
