package node

import (
	"context"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/platform"
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/pkg/standin/backendserver"
	"mangostand.example/mangostand/pkg/standin/executionlog"
	"mangostand.example/mangostand/pkg/standin/store"
)

const testSite = "thies"

// testFleet is a store, nodes and a backend server beside each node, all in
// this process.
type testFleet struct {
	t            *testing.T
	keys         string
	store        string
	executions   *executionlog.Log
	executionURL string
	nodes        []*Node
	servers      []*backendserver.Server
}

// newTestFleet applies the example configuration of Thies and starts the named
// instances of atelier-suivi. change may adjust the settings of a node.
func newTestFleet(t *testing.T, change func(*settings.Node), instances ...string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, keys: t.TempDir(), executions: executionlog.New()}
	require.NoError(t, security.WriteCA(f.keys, time.Hour))
	f.store = startServer(t, httptest.NewServer(store.New(time.Now).Handler()))
	f.executionURL = startServer(t, httptest.NewServer(f.executions.Handler()))
	f.applyConfig()
	for _, name := range instances {
		f.startInstance(name, change)
	}
	for _, n := range f.nodes {
		require.Eventually(t, func() bool { return f.isReady(n) }, 30*time.Second, 10*time.Millisecond)
	}
	return f
}

func startServer(t *testing.T, s *httptest.Server) string {
	t.Cleanup(s.Close)
	return s.URL
}

// applyConfig writes the example configuration of Thies to the store.
func (f *testFleet) applyConfig() {
	document := &dynconf.Document{Version: 1, ChangeID: "first", Overlays: map[string]string{}}
	document.Base = readExample(f.t, "base.ini")
	document.Overlays[testSite] = readExample(f.t, "overlays/thies.ini")
	data, err := document.Encode()
	require.NoError(f.t, err)
	_, err = platform.NewClient(f.store).CompareAndSwap(f.t.Context(), dynconf.CurrentKey, 0, data, "")
	require.NoError(f.t, err)
}

func readExample(t *testing.T, name string) string {
	data, err := os.ReadFile(filepath.Join("../../examples/thies", name))
	require.NoError(t, err)
	return string(data)
}

// startInstance starts a node and its backend server, to be stopped with the
// test.
func (f *testFleet) startInstance(name string, change func(*settings.Node)) {
	f.t.Helper()
	s := f.settings(name)
	if change != nil {
		change(s)
	}
	n, err := New(s, zerolog.Nop())
	require.NoError(f.t, err)
	f.run(n.Run)
	f.nodes = append(f.nodes, n)
	server := backendserver.New(backendserver.Config{
		Instance: name, Service: "atelier-suivi", Addr: freeAddr(f.t), Node: "http://" + s.Local,
		ExecutionLog: f.executionURL, Slots: 10, Connections: 200, ServiceTime: time.Millisecond,
	})
	f.run(server.Run)
	f.servers = append(f.servers, server)
}

// run runs a part of the fleet until the end of the test.
func (f *testFleet) run(part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- part(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		require.NoError(f.t, <-done)
	})
}

func (f *testFleet) settings(name string) *settings.Node {
	f.t.Helper()
	s := &settings.Node{
		Instance: name, Site: testSite, Region: "senegal", FailureDomain: "thies-nord", LogLevel: "info",
		Callers: freeAddr(f.t), Peers: freeAddr(f.t), Local: freeAddr(f.t), Operators: freeAddr(f.t),
		PeerTLS: f.certificate(name, true), Store: f.store,
	}
	s.AdvertisePeers = s.Peers
	if len(f.nodes) > 0 {
		s.Seeds = []string{f.nodes[0].settings.Peers}
	}
	return s
}

// certificate writes a certificate of the fleet's CA.
func (f *testFleet) certificate(name string, node bool) security.Files {
	f.t.Helper()
	require.NoError(f.t, security.WriteCertificate(f.keys, name, node, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour))
	base := filepath.Join(f.keys, name)
	return security.Files{Cert: base + ".pem", Key: base + "-key.pem", CA: filepath.Join(f.keys, security.CACertFile)}
}

// isReady reports whether a node has the configuration and sees every backend
// server of the fleet as serving.
func (f *testFleet) isReady(n *Node) bool {
	serving := 0
	for _, m := range n.Board().Members.Load().ByService["atelier-suivi"] {
		if m.State == board.MemberServing {
			serving++
		}
	}
	return n.Board().Config.Load().Version > 0 && serving == len(f.servers) &&
		n.Board().Pickers.Load().ByService["atelier-suivi"] != nil
}

// freeAddr returns a loopback address that is free for TCP and UDP now.
func freeAddr(t *testing.T) string {
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
