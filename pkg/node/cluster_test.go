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

// waitTimeout limits each wait; it is long so that tests pass on a busy machine.
const waitTimeout = 30 * time.Second

// testConfig gives calls a long deadline so that none exceeds it on a busy machine.
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

// clusterOptions configures a cluster.
type clusterOptions struct {
	// All instances belong to one site and serve one service.
	site, service string
	config        dynconf.Document
	instances     []string
	// adjustSettings, if set, changes the settings of a node before it starts.
	adjustSettings func(*settings.Node)
	// startServer starts the local backend server of a node.
	startServer func(*clusterNode)
}

// cluster runs nodes and their backend servers on loopback addresses in the test
// process.
type cluster struct {
	clusterOptions
	t        testing.TB
	certDir  string
	storeURL string
	nodes    []*clusterNode
	// executionsByKey counts the executed bookings by idempotency key.
	executionsByKey sync.Map // of string to *atomic.Int64
	// bookingResponseSize is the size of the response to a booking in bytes, 0 for a
	// short text.
	bookingResponseSize atomic.Int64
}

// clusterNode is one node of a cluster. Its settings contain the addresses that its
// listeners are bound to.
type clusterNode struct {
	node     *Node
	settings *settings.Node
	// server is the backend server that newCluster starts, nil in other clusters.
	server                             *testServer
	cancel                             context.CancelFunc
	runResult                          chan error
	callersURL, operatorsURL, localURL string
}

// newCluster starts size nodes, each with a testServer.
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

// startAll starts the store, the nodes and their backend servers, and waits until
// every node has the configuration and sends calls to every backend server.
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
	c.waitUntil("every entry sends calls to every backend server", func() bool {
		for _, n := range c.nodes {
			if len(c.routableInstances(n)) != len(c.nodes) || n.node.board.Config.Load().Version == 0 {
				return false
			}
		}
		return true
	})
}

// issueCertificate writes a certificate that is signed by the CA of the cluster.
func (c *cluster) issueCertificate(name string, node bool) security.TLSFiles {
	c.t.Helper()
	require.NoError(c.t, security.WriteCertificate(c.certDir, name, node, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour))
	base := filepath.Join(c.certDir, name)
	return security.TLSFiles{Cert: base + ".pem", Key: base + "-key.pem", CA: filepath.Join(c.certDir, security.CACertFile)}
}

func (c *cluster) startNode(name string) *clusterNode {
	c.t.Helper()
	s := &settings.Node{
		Instance: name, Site: c.site, Region: "r", FailureDomain: "a", LogLevel: "info",
		CallerAddr: "127.0.0.1:0", LocalAPIAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0",
		PeerTLS: c.issueCertificate(name, true), StoreURL: c.storeURL,
	}
	// The first node is the seed.
	if len(c.nodes) > 0 {
		s.SeedAddrs = []string{c.nodes[0].settings.PeerAddr}
	}
	if c.adjustSettings != nil {
		c.adjustSettings(s)
	}
	n := &clusterNode{node: newNodeOnFreePort(c.t, s), settings: s, runResult: make(chan error, 1)}
	for _, l := range n.node.listeners {
		addr := l.netListener.Addr().String()
		switch l.name {
		case "callers":
			s.CallerAddr, n.callersURL = addr, "http://"+addr
		case "local":
			s.LocalAPIAddr, n.localURL = addr, "http://"+addr
		case "operators":
			s.OperatorAddr, n.operatorsURL = addr, "http://"+addr
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.runResult <- n.node.Run(ctx) }()
	c.startServer(n)
	return n
}

// stopAll stops all nodes at the same time and waits until they have stopped.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		c.waitStopped(n)
	}
}

// waitStopped waits until a node has stopped and requires that it returned no error.
func (c *cluster) waitStopped(n *clusterNode) {
	c.t.Helper()
	select {
	case err := <-n.runResult:
		require.NoError(c.t, err)
		n.runResult <- nil
	case <-time.After(waitTimeout):
		c.t.Fatal("node has not stopped")
	}
}

// newNodeOnFreePort returns a node that listens for peers on a free UDP port. It
// retries, because another process may bind the port before the node does.
func newNodeOnFreePort(t testing.TB, s *settings.Node) *Node {
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

// freeAddr returns a loopback address that no TCP or UDP socket is bound to now.
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
	t.Fatal("no free loopback address")
	return ""
}

// routableInstances returns the instances that an entry sends calls to. It picks
// repeatedly and excludes the instances found so far.
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

// response is the response that a caller receives.
type response struct {
	status  int
	outcome string
	reason  string
	body    string
	header  http.Header
}

// sendRequest sends one request and reads the whole response.
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

// mustSend sends one request and requires a response.
func mustSend(t testing.TB, client *http.Client, method, url string, header map[string]string, body []byte) response {
	t.Helper()
	resp, err := sendRequest(client, method, url, header, body)
	require.NoError(t, err)
	return resp
}

// getJSON decodes a JSON response of the operators' API into value.
func getJSON(t testing.TB, url string, value any) {
	t.Helper()
	resp := mustSend(t, http.DefaultClient, http.MethodGet, url, nil, nil)
	require.NoError(t, json.Unmarshal([]byte(resp.body), value), resp.body)
}

// mustCall sends a call to an entry and requires a response.
func (c *cluster) mustCall(n *clusterNode, method, path string) response {
	c.t.Helper()
	return mustSend(c.t, http.DefaultClient, method, n.callersURL+path, nil, nil)
}

// postCommand sends a command and requires that the node accepts it.
func (c *cluster) postCommand(url string) {
	c.t.Helper()
	require.Equal(c.t, http.StatusNoContent, mustSend(c.t, http.DefaultClient, http.MethodPost, url, nil, nil).status, url)
}
