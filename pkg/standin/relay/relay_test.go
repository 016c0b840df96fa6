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

// network is a relay between two nodes in different failure domains.
type network struct {
	relay     *Relay
	nodes     [2]*net.UDPConn
	addresses [2]net.Addr
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{}
	config := &Config{Seed: 1, Delay: time.Millisecond, Domains: []Domain{
		{Name: "thies-nord", Range: netip.MustParsePrefix("127.0.1.0/24")},
		{Name: "thies-sud", Range: netip.MustParsePrefix("127.0.2.0/24")},
	}}
	for i := range n.nodes {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, byte(i+1), 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		n.nodes[i] = conn
		config.Nodes = append(config.Nodes, Node{
			Name: fmt.Sprintf("atelier-%d", i+1), Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Target: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		})
	}
	relay, err := New(config)
	require.NoError(t, err)
	n.relay = relay
	for i, p := range relay.ports {
		n.addresses[i] = p.socket.LocalAddr()
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

// send lets the first node send a packet to the second.
func (n *network) send(t *testing.T, text string) {
	t.Helper()
	_, err := n.nodes[0].WriteTo([]byte(text), n.addresses[1])
	require.NoError(t, err)
}

// receive returns the next packet of a node and its source.
func (n *network) receive(t *testing.T, node int) (string, net.Addr) {
	t.Helper()
	buffer := make([]byte, 100)
	require.NoError(t, n.nodes[node].SetReadDeadline(time.Now().Add(10*time.Second)))
	size, source, err := n.nodes[node].ReadFrom(buffer)
	require.NoError(t, err)
	return string(buffer[:size]), source
}

// Guards against packets that arrive early, out of order or from an address
// that an answer cannot go back to.
func TestRelayDelaysInOrder(t *testing.T) {
	n := newNetwork(t)
	started := time.Now()
	for i := range 100 {
		n.send(t, fmt.Sprint(i))
	}
	for i := range 100 {
		text, source := n.receive(t, 1)
		require.Equal(t, fmt.Sprint(i), text)
		require.Equal(t, n.addresses[0].String(), source.String())
	}
	require.GreaterOrEqual(t, time.Since(started), time.Millisecond)
	_, err := n.nodes[1].WriteTo([]byte("answer"), n.addresses[0])
	require.NoError(t, err)
	text, source := n.receive(t, 0)
	require.Equal(t, "answer", text)
	require.Equal(t, n.addresses[1].String(), source.String())
}

// Guards against a cut that lets packets through or outlives its end, and
// against a duplicate rule without effect.
func TestRulesCutAndDuplicate(t *testing.T) {
	n := newNetwork(t)
	require.NoError(t, n.relay.SetRules([]Rule{{From: "thies-sud", To: "atelier-1", Bidirectional: true, DropAll: true}}))
	n.send(t, "lost")
	require.Eventually(t, func() bool { return n.relay.counters.Dropped.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, n.relay.SetRules([]Rule{{From: "*", To: "*", Duplicate: 1}}))
	n.send(t, "twice")
	for range 2 {
		text, _ := n.receive(t, 1)
		require.Equal(t, "twice", text)
	}
}

// Guards against a reordering that never lets a later packet overtake: the
// reordered packet must not wait in the queue that keeps the order.
func TestRuleReorders(t *testing.T) {
	n := newNetwork(t)
	way := n.relay.ports[0].flows[n.relay.ports[1]]
	held := &flow{from: way.from, to: way.to, packets: make(chan packet, 1)}
	require.NoError(t, n.relay.SetRules([]Rule{{From: "*", To: "*", Reorder: 1}}))
	n.relay.accept(held, []byte("first"), time.Now())
	require.Empty(t, held.packets)
	require.NoError(t, n.relay.SetRules(nil))
	n.relay.accept(held, []byte("second"), time.Now())
	require.Equal(t, "second", string((<-held.packets).data))
	text, _ := n.receive(t, 1)
	require.Equal(t, "first", text)
}

// Guards against commands with mistakes that change the network without a word.
func TestRulesAreChecked(t *testing.T) {
	n := newNetwork(t)
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

// Guards against mistakes in the file that are reported without their line.
func TestParseConfig(t *testing.T) {
	_, problems := ParseConfig("relay.ini", []byte("[relay]\ndelay = 1ms\n[node a]\nlisten = 127.0.0.1:1\ntarget = x\n[link a]\n"))
	require.Len(t, problems, 2)
	require.Equal(t, 5, problems[0].Line)
	require.Equal(t, 6, problems[1].Line)
	config, problems := ParseConfig("relay.ini", []byte("[relay]\ndelay = 2ms\n[domain n]\nrange = 127.0.1.0/24\n[link n/s]\ndelay = 5ms\n"))
	require.Empty(t, problems)
	require.Equal(t, 5*time.Millisecond, config.delay("n", "s"))
	require.Equal(t, 2*time.Millisecond, config.delay("s", "n"))
	require.Zero(t, config.delay("n", "n"))
	require.Equal(t, "n", config.domainOf(netip.MustParseAddr("127.0.1.9")))
}
