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
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/platform"
)

// waitLimit bounds each wait; it is long, so that a busy machine passes.
const waitLimit = 30 * time.Second

// testConfig gives calls a long deadline, so that a busy machine cuts none.
const testConfig = `
[service jobs]
servers = *
# Gives each backend server work, whatever its latency on a busy machine.
policy = random

[route jobs/read]
path = /read
methods = GET
deadline = 30s

[route jobs/slow]
path = /slow
methods = GET
deadline = 30s

[route jobs/poison]
path = /poison
methods = GET, POST
deadline = 30s

[route jobs/slots]
path = /slots
deadline = 30s

[route jobs/book]
path = /book
methods = POST
idempotent = no
deadline = 30s
`

// clusterOptions says what a cluster runs.
type clusterOptions struct {
	// site and service are those of all instances.
	site, service string
	config        dynconf.Document
	instances     []string
	// change may adjust the settings of a node.
	change func(*settings.Node)
	// serve starts the backend server beside a node.
	serve func(*clusterNode)
}

// cluster runs real nodes on loopback addresses with their backend servers.
type cluster struct {
	clusterOptions
	t     testing.TB
	keys  string
	store string
	nodes []*clusterNode
	// runs counts the bookings of slots that were run, by key.
	runs sync.Map // of string to *atomic.Int64
	// slotAnswer is the size of their answers in bytes, 0 for a short text.
	slotAnswer atomic.Int64
}

// clusterNode is one node. The addresses of its settings are those it bound.
type clusterNode struct {
	node     *Node
	settings *settings.Node
	// server is the backend server of newCluster, else nil.
	server              *testServer
	stop                context.CancelFunc
	done                chan error
	callers, ops, local string
}

// newCluster runs nodes with a testServer each.
func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{t: t}
	c.clusterOptions = clusterOptions{
		site: "test", service: "jobs", config: dynconf.Document{Base: testConfig},
		serve: func(n *clusterNode) { n.server = newTestServer(c, n.local) },
	}
	for i := range size {
		c.instances = append(c.instances, fmt.Sprintf("node-%d", i))
	}
	c.startAll()
	return c
}

// startAll starts the store, the nodes and their backend servers and waits
// until every node sends calls to every backend server.
func (c *cluster) startAll() {
	c.t.Helper()
	c.keys = c.t.TempDir()
	require.NoError(c.t, security.WriteCA(c.keys, time.Hour))
	server := httptest.NewServer(store.New(time.Now).Handler())
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	c.store = server.URL
	c.config.Version, c.config.ChangeID = 1, "first"
	data, err := c.config.Encode()
	require.NoError(c.t, err)
	_, err = platform.NewClient(c.store).CompareAndSwap(c.t.Context(), dynconf.CurrentKey, 0, data, "")
	require.NoError(c.t, err)
	c.t.Cleanup(c.stopAll)
	for _, name := range c.instances {
		c.nodes = append(c.nodes, c.start(name))
	}
	c.wait("all entries use all backend servers", func() bool {
		for _, n := range c.nodes {
			if len(c.serving(n)) != len(c.nodes) || n.node.board.Config.Load().Version == 0 {
				return false
			}
		}
		return true
	})
}

// certificate writes a certificate of the cluster's CA.
func (c *cluster) certificate(name string, node bool) security.TLSFiles {
	c.t.Helper()
	require.NoError(c.t, security.WriteCertificate(c.keys, name, node, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour))
	base := filepath.Join(c.keys, name)
	return security.TLSFiles{Cert: base + ".pem", Key: base + "-key.pem", CA: filepath.Join(c.keys, security.CACertFile)}
}

func (c *cluster) start(name string) *clusterNode {
	c.t.Helper()
	s := &settings.Node{
		Instance: name, Site: c.site, Region: "r", FailureDomain: "a", LogLevel: "info",
		CallerAddr: "127.0.0.1:0", LocalAPIAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0",
		PeerTLS: c.certificate(name, true), StoreURL: c.store,
	}
	// The first node is the seed.
	if len(c.nodes) > 0 {
		s.SeedAddrs = []string{c.nodes[0].settings.PeerAddr}
	}
	if c.change != nil {
		c.change(s)
	}
	n := &clusterNode{node: newNode(c.t, s), settings: s, done: make(chan error, 1)}
	for _, l := range n.node.listeners {
		addr := l.socket.Addr().String()
		switch l.name {
		case "callers":
			s.CallerAddr, n.callers = addr, "http://"+addr
		case "local":
			s.LocalAPIAddr, n.local = addr, "http://"+addr
		case "operators":
			s.OperatorAddr, n.ops = addr, "http://"+addr
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- n.node.Run(ctx) }()
	c.serve(n)
	return n
}

// stopAll stops the nodes together.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		c.ended(n)
	}
}

// ended waits until a node has ended without an error.
func (c *cluster) ended(n *clusterNode) {
	c.t.Helper()
	select {
	case err := <-n.done:
		require.NoError(c.t, err)
		n.done <- nil
	case <-time.After(waitLimit):
		c.t.Fatal("a node does not stop")
	}
}

// newNode binds a free UDP port. Another process may take it in between, so
// it tries again.
func newNode(t testing.TB, s *settings.Node) *Node {
	var err error
	for range 10 {
		s.PeerAddr = freeAddr(t)
		s.AdvertisedPeerAddr = s.PeerAddr
		var n *Node
		if n, err = New(s, zerolog.Nop()); err == nil {
			return n
		}
	}
	require.NoError(t, err)
	return nil
}

// freeAddr returns a loopback address that is free for TCP and UDP now.
func freeAddr(t testing.TB) string {
	t.Helper()
	for range 100 {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addr := tcp.Addr().String()
		udp, err := net.ListenPacket("udp", addr)
		require.NoError(t, tcp.Close())
		if err == nil {
			require.NoError(t, udp.Close())
			return addr
		}
	}
	t.Fatal("no free address")
	return ""
}

// serving returns the instances that an entry sends calls to.
func (c *cluster) serving(n *clusterNode) map[board.InstanceID]bool {
	found := map[board.InstanceID]bool{}
	picker := n.node.board.Pickers.Load().ByService[c.service]
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

// answer is what a caller sees.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
}

// send sends one request and reads its whole answer.
func send(client *http.Client, method, url string, header map[string]string, body []byte) (answer, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	h := resp.Header
	return answer{resp.StatusCode, h.Get("Mangostand-Outcome"), h.Get("Mangostand-Reason"), string(data), h}, err
}

// do sends one request that must get an answer.
func do(t testing.TB, client *http.Client, method, url string, header map[string]string, body []byte) answer {
	t.Helper()
	got, err := send(client, method, url, header, body)
	require.NoError(t, err)
	return got
}

// get reads the answer of an operators' listener into value.
func get(t testing.TB, url string, value any) {
	t.Helper()
	got := do(t, http.DefaultClient, http.MethodGet, url, nil, nil)
	require.NoError(t, json.Unmarshal([]byte(got.body), value), got.body)
}

// call sends one request to an entry.
func (c *cluster) call(n *clusterNode, method, path string) answer {
	c.t.Helper()
	return do(c.t, http.DefaultClient, method, n.callers+path, nil, nil)
}

// post sends a command and requires that it is accepted.
func (c *cluster) post(url string) {
	c.t.Helper()
	require.Equal(c.t, http.StatusNoContent, do(c.t, http.DefaultClient, http.MethodPost, url, nil, nil).status, url)
}
