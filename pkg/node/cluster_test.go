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

// waitTimeout bounds each wait; it is long, so that a busy machine passes.
const waitTimeout = 30 * time.Second

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
	// adjustSettings may adjust the settings of a node.
	adjustSettings func(*settings.Node)
	// startServer starts the backend server beside a node.
	startServer func(*clusterNode)
}

// cluster runs real nodes on loopback addresses with their backend servers.
type cluster struct {
	clusterOptions
	t        testing.TB
	certDir  string
	storeURL string
	nodes    []*clusterNode
	// executionsByKey counts the bookings of slots that were run, by key.
	executionsByKey sync.Map // of string to *atomic.Int64
	// bookingResponseSize is the size of their answers in bytes, 0 for a short text.
	bookingResponseSize atomic.Int64
}

// clusterNode is one node. The addresses of its settings are those it bound.
type clusterNode struct {
	node     *Node
	settings *settings.Node
	// server is the backend server of newCluster, else nil.
	server                             *testServer
	cancel                             context.CancelFunc
	runResult                          chan error
	callersURL, operatorsURL, localURL string
}

// newCluster runs nodes with a testServer each.
func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{t: t}
	c.clusterOptions = clusterOptions{
		site: "test", service: "jobs", config: dynconf.Document{Base: testConfig},
		startServer: func(n *clusterNode) { n.server = newTestServer(c, n.localURL) },
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
	c.certDir = c.t.TempDir()
	require.NoError(c.t, security.WriteCA(c.certDir, time.Hour))
	server := httptest.NewServer(store.New(time.Now).Handler())
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	c.storeURL = server.URL
	c.config.Version, c.config.ChangeID = 1, "first"
	data, err := c.config.Encode()
	require.NoError(c.t, err)
	_, err = platform.NewClient(c.storeURL).CompareAndSwap(c.t.Context(), dynconf.CurrentKey, 0, data, "")
	require.NoError(c.t, err)
	c.t.Cleanup(c.stopAll)
	for _, name := range c.instances {
		c.nodes = append(c.nodes, c.startNode(name))
	}
	c.waitUntil("all entries use all backend servers", func() bool {
		for _, n := range c.nodes {
			if len(c.routableInstances(n)) != len(c.nodes) || n.node.board.Config.Load().Version == 0 {
				return false
			}
		}
		return true
	})
}

// issueCertificate writes a issueCertificate of the cluster's CA.
func (c *cluster) issueCertificate(name string, node bool) security.Files {
	c.t.Helper()
	require.NoError(c.t, security.WriteCertificate(c.certDir, name, node, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour))
	base := filepath.Join(c.certDir, name)
	return security.Files{Cert: base + ".pem", Key: base + "-key.pem", CA: filepath.Join(c.certDir, security.CACertFile)}
}

func (c *cluster) startNode(name string) *clusterNode {
	c.t.Helper()
	s := &settings.Node{
		Instance: name, Site: c.site, Region: "r", FailureDomain: "a", LogLevel: "info",
		Callers: "127.0.0.1:0", Local: "127.0.0.1:0", Operators: "127.0.0.1:0",
		PeerTLS: c.issueCertificate(name, true), Store: c.storeURL,
	}
	// The first node is the seed.
	if len(c.nodes) > 0 {
		s.Seeds = []string{c.nodes[0].settings.Peers}
	}
	if c.adjustSettings != nil {
		c.adjustSettings(s)
	}
	n := &clusterNode{node: newNodeOnFreePort(c.t, s), settings: s, runResult: make(chan error, 1)}
	for _, l := range n.node.listeners {
		addr := l.netListener.Addr().String()
		switch l.name {
		case "callers":
			s.Callers, n.callersURL = addr, "http://"+addr
		case "local":
			s.Local, n.localURL = addr, "http://"+addr
		case "operators":
			s.Operators, n.operatorsURL = addr, "http://"+addr
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.runResult <- n.node.Run(ctx) }()
	c.startServer(n)
	return n
}

// stopAll stops the nodes together.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		c.waitStopped(n)
	}
}

// waitStopped waits until a node has waitStopped without an error.
func (c *cluster) waitStopped(n *clusterNode) {
	c.t.Helper()
	select {
	case err := <-n.runResult:
		require.NoError(c.t, err)
		n.runResult <- nil
	case <-time.After(waitTimeout):
		c.t.Fatal("a node does not stop")
	}
}

// newNodeOnFreePort binds a free UDP port. Another process may take it in between, so
// it tries again.
func newNodeOnFreePort(t testing.TB, s *settings.Node) *Node {
	var err error
	for range 10 {
		s.Peers = freeAddr(t)
		s.AdvertisePeers = s.Peers
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

// routableInstances returns the instances that an entry sends calls to.
func (c *cluster) routableInstances(n *clusterNode) map[board.InstanceID]bool {
	found := map[board.InstanceID]bool{}
	picker := n.node.board.Pickers.Load().ByService[c.service]
	if picker == nil {
		return found
	}
	var exclude []board.InstanceID
	for {
		endpoint := picker.Pick(&board.PickRequest{Now: time.Now(), Exclude: exclude})
		if endpoint == nil || found[endpoint.Member.Instance] {
			return found
		}
		found[endpoint.Member.Instance] = true
		exclude = append(exclude, endpoint.Member.Instance)
	}
}

func (c *cluster) waitUntil(description string, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > waitTimeout {
			c.t.Fatalf("not within %s: %s", waitTimeout, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// response is what a caller sees.
type response struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
}

// sendRequest sends one request and reads its whole answer.
func sendRequest(client *http.Client, method, url string, header map[string]string, body []byte) (response, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	h := resp.Header
	return response{resp.StatusCode, h.Get("Mangostand-Outcome"), h.Get("Mangostand-Reason"), string(data), h}, err
}

// mustSend sends one request that must get an answer.
func mustSend(t testing.TB, client *http.Client, method, url string, header map[string]string, body []byte) response {
	t.Helper()
	resp, err := sendRequest(client, method, url, header, body)
	require.NoError(t, err)
	return resp
}

// getJSON reads the answer of an operators' listener into value.
func getJSON(t testing.TB, url string, value any) {
	t.Helper()
	resp := mustSend(t, http.DefaultClient, http.MethodGet, url, nil, nil)
	require.NoError(t, json.Unmarshal([]byte(resp.body), value), resp.body)
}

// mustCall sends one request to an entry.
func (c *cluster) mustCall(n *clusterNode, method, path string) response {
	c.t.Helper()
	return mustSend(c.t, http.DefaultClient, method, n.callersURL+path, nil, nil)
}

// postCommand sends a command and requires that it is accepted.
func (c *cluster) postCommand(url string) {
	c.t.Helper()
	require.Equal(c.t, http.StatusNoContent, mustSend(c.t, http.DefaultClient, http.MethodPost, url, nil, nil).status, url)
}
