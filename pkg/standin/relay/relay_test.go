package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testNetwork is a running relay between two nodes in different failure domains.
type testNetwork struct {
	relay      *Relay
	nodes      [2]*net.UDPConn
	relayAddrs [2]net.Addr
}

func newTestNetwork(t *testing.T) *testNetwork {
	t.Helper()
	n := &testNetwork{}
	config := &Config{Seed: 1, InterDomainDelay: time.Millisecond, Domains: []Domain{
		{Name: "thies-nord", Prefix: netip.MustParsePrefix("127.0.1.0/24")},
		{Name: "thies-sud", Prefix: netip.MustParsePrefix("127.0.2.0/24")},
	}}
	for i := range n.nodes {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, byte(i+1), 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		n.nodes[i] = conn
		config.Nodes = append(config.Nodes, Node{
			Name: fmt.Sprintf("atelier-%d", i+1), ListenAddr: netip.MustParseAddrPort("127.0.0.1:0"),
			TargetAddr: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		})
	}
	relay, err := New(config)
	require.NoError(t, err)
	n.relay = relay
	for i, s := range relay.sockets {
		n.relayAddrs[i] = s.conn.LocalAddr()
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		relay.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

// send sends a packet from the first node to the second.
func (n *testNetwork) send(t *testing.T, text string) {
	t.Helper()
	_, err := n.nodes[0].WriteTo([]byte(text), n.relayAddrs[1])
	require.NoError(t, err)
}

// receive returns the next packet that a node receives and its source address.
func (n *testNetwork) receive(t *testing.T, node int) (string, net.Addr) {
	t.Helper()
	buffer := make([]byte, 100)
	require.NoError(t, n.nodes[node].SetReadDeadline(time.Now().Add(10*time.Second)))
	size, source, err := n.nodes[node].ReadFrom(buffer)
	require.NoError(t, err)
	return string(buffer[:size]), source
}

// Guards against packets that are delivered too early or out of order, or from a
// source address at which the sender cannot be reached.
func TestPacketsAreDelayedInOrder(t *testing.T) {
	n := newTestNetwork(t)
	started := time.Now()
	for i := range 100 {
		n.send(t, fmt.Sprint(i))
	}
	for i := range 100 {
		text, source := n.receive(t, 1)
		require.Equal(t, fmt.Sprint(i), text)
		require.Equal(t, n.relayAddrs[0].String(), source.String())
	}
	require.GreaterOrEqual(t, time.Since(started), time.Millisecond)
	_, err := n.nodes[1].WriteTo([]byte("answer"), n.relayAddrs[0])
	require.NoError(t, err)
	text, source := n.receive(t, 0)
	require.Equal(t, "answer", text)
	require.Equal(t, n.relayAddrs[1].String(), source.String())
}

// Guards against a DropAll rule that lets packets through or stays in force after
// its replacement, and against a duplicate rule without effect.
func TestDropAndDuplicateRules(t *testing.T) {
	n := newTestNetwork(t)
	require.NoError(t, n.relay.SetRules([]Rule{{From: "thies-sud", To: "atelier-1", Bidirectional: true, DropAll: true}}))
	n.send(t, "lost")
	require.Eventually(t, func() bool { return n.relay.counters.Dropped.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, n.relay.SetRules([]Rule{{From: "*", To: "*", DuplicateProbability: 1}}))
	n.send(t, "twice")
	for range 2 {
		text, _ := n.receive(t, 1)
		require.Equal(t, "twice", text)
	}
}

// Guards against a reorder rule that changes no order: a reordered packet must
// bypass the flow's FIFO queue, or later packets cannot overtake it.
func TestReorderedPacketIsOvertaken(t *testing.T) {
	n := newTestNetwork(t)
	direct := n.relay.sockets[0].flows[n.relay.sockets[1]]
	queued := &flow{from: direct.from, to: direct.to, packets: make(chan packet, 1)}
	require.NoError(t, n.relay.SetRules([]Rule{{From: "*", To: "*", ReorderProbability: 1}}))
	n.relay.processPacket(queued, []byte("first"), time.Now())
	require.Empty(t, queued.packets)
	require.NoError(t, n.relay.SetRules(nil))
	n.relay.processPacket(queued, []byte("second"), time.Now())
	require.Equal(t, "second", string((<-queued.packets).data))
	text, _ := n.receive(t, 1)
	require.Equal(t, "first", text)
}

// Guards against invalid rules that are accepted without an error.
func TestInvalidRulesAreRejected(t *testing.T) {
	n := newTestNetwork(t)
	for _, body := range []string{
		`[{"from": "atelier-9", "to": "*"}]`, `[{"from": "*", "to": "*", "drop": 2}]`, `[{"frm": "*"}]`,
		`[{"from": "*", "to": "*", "extra_delay_ms": -1}]`, `{`,
	} {
		w := httptest.NewRecorder()
		n.relay.AdminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/rules", strings.NewReader(body)))
		require.Equal(t, http.StatusBadRequest, w.Code, body)
	}
	require.Empty(t, *n.relay.rules.Load())
}

// Guards against configuration errors reported without their line number, and
// against links and domains that are ignored.
func TestParseConfig(t *testing.T) {
	_, problems := ParseConfig("relay.ini", []byte("[relay]\ndelay = 1ms\n[node a]\nlisten = 127.0.0.1:1\ntarget = x\n[link a]\n"))
	require.Len(t, problems, 2)
	require.Equal(t, 5, problems[0].Line)
	require.Equal(t, 6, problems[1].Line)
	config, problems := ParseConfig("relay.ini", []byte("[relay]\ndelay = 2ms\n[domain n]\nrange = 127.0.1.0/24\n[link n/s]\ndelay = 5ms\n"))
	require.Empty(t, problems)
	require.Equal(t, 5*time.Millisecond, config.delayBetween("n", "s"))
	require.Equal(t, 2*time.Millisecond, config.delayBetween("s", "n"))
	require.Zero(t, config.delayBetween("n", "n"))
	require.Equal(t, "n", config.domainOf(netip.MustParseAddr("127.0.1.9")))
}
