package peer

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/wire"
)

// startNamedTransport starts a transport that responds to pings with its name.
func startNamedTransport(t *testing.T, addr, name string, server, client *tls.Config) *Transport {
	transport, err := Listen(addr, server, client, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = transport.Close()
	})
	respondName := func(_ context.Context, _ wire.Frame, stream *Stream) error {
		return transport.Respond(stream, wire.TypeAck, []string{name})
	}
	go func() { _ = transport.Serve(ctx, map[wire.MessageType]Handler{wire.TypePing: respondName}) }()
	return transport
}

func requestName(sender *Transport, addr string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var response []string
	err := sender.Exchange(ctx, addr, wire.TypePing, struct{}{}, wire.TypeAck, &response)
	if err != nil {
		return "", err
	}
	return response[0], nil
}

// Guards against a process that replaced a killed one at the same address and is not
// reached until the old connection has timed out, 30 s later.
func TestRefreshConnectsToReplacementAtSameAddress(t *testing.T) {
	server, client := tlsConfigs(t, newCA(t), "n", true)
	sender := startNamedTransport(t, "127.0.0.1:0", "caller", server, client)
	old := startNamedTransport(t, "127.0.0.1:0", "old", server, client)
	addr := old.Addr().String()
	name, err := requestName(sender, addr, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "old", name)

	// As with a killed process, closing the socket sends nothing to the caller.
	require.NoError(t, old.quicTransport.Conn.Close())
	startNamedTransport(t, addr, "new", server, client)
	_, err = requestName(sender, addr, 300*time.Millisecond)
	require.Error(t, err, "the old connection reaches the replacement, so the test checks nothing")
	oldConn, _ := sender.connections.Load(addr)
	sender.Refresh(addr)
	requireReplaced(t, sender, addr, oldConn)
	name, err = requestName(sender, addr, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "new", name)
	sender.Refresh("127.0.0.1:1")
}

func requireReplaced(t *testing.T, sender *Transport, addr string, old any) {
	t.Helper()
	for range 1000 {
		if current, _ := sender.connections.Load(addr); current != old {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the connection was not replaced")
}

// Guards against calls that fail because one ping of a live peer timed out, and
// against a new connection for each such ping.
func TestRefreshKeepsOldConnectionUntilNewOneIsReady(t *testing.T) {
	server, client := tlsConfigs(t, newCA(t), "n", true)
	sender := startNamedTransport(t, "127.0.0.1:0", "caller", server, client)
	peer := startNamedTransport(t, "127.0.0.1:0", "peer", server, client)
	addr := peer.Addr().String()
	_, err := requestName(sender, addr, 10*time.Second)
	require.NoError(t, err)
	oldConn, _ := sender.connections.Load(addr)
	sender.Refresh(addr)
	current, found := sender.connections.Load(addr)
	require.True(t, found, "the next call has to dial")
	require.NoError(t, current.(*connection).err)
	requireReplaced(t, sender, addr, oldConn)
	require.NoError(t, oldConn.(*connection).conn.Context().Err(), "the old connection was closed with calls in flight")
	require.Eventually(t, func() bool { return !sender.refreshDue(addr) }, 10*time.Second, time.Millisecond)
	require.True(t, sender.refreshDue("127.0.0.1:1"))
	sender.refreshedAt.Store(addr, time.Now().Add(-minRefreshInterval))
	require.True(t, sender.refreshDue(addr))
}
