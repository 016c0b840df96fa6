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

// listen starts a transport that answers pings with its name.
func listen(t *testing.T, addr, name string, server, client *tls.Config) *Transport {
	transport, err := Listen(addr, server, client, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = transport.Close()
	})
	answer := func(_ context.Context, _ wire.Frame, stream *Stream) error {
		return transport.Respond(stream, wire.TypeAck, []string{name})
	}
	go func() { _ = transport.Serve(ctx, map[wire.MessageType]Handler{wire.TypePing: answer}) }()
	return transport
}

func ask(from *Transport, addr string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var answer []string
	err := from.Exchange(ctx, addr, wire.TypePing, struct{}{}, wire.TypeAck, &answer)
	if err != nil {
		return "", err
	}
	return answer[0], nil
}

// Guards against a process that was killed and replaced at its address and is
// not reached until the old connection times out after 30 s.
func TestRefreshReachesReplacementAtTheSameAddress(t *testing.T) {
	server, client := peerTLS(t, newCA(t), "n", true)
	caller := listen(t, "127.0.0.1:0", "caller", server, client)
	old := listen(t, "127.0.0.1:0", "old", server, client)
	addr := old.Addr().String()
	name, err := ask(caller, addr, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "old", name)

	// Closing the socket alone tells the caller nothing, like a kill.
	require.NoError(t, old.quic.Conn.Close())
	listen(t, addr, "new", server, client)
	_, err = ask(caller, addr, 300*time.Millisecond)
	require.Error(t, err, "the old connection reached the replacement, the guard is not needed")
	before, _ := caller.connections.Load(addr)
	caller.Refresh(addr)
	requireReplaced(t, caller, addr, before)
	name, err = ask(caller, addr, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "new", name)
	caller.Refresh("127.0.0.1:1")
}

func requireReplaced(t *testing.T, caller *Transport, addr string, before any) {
	t.Helper()
	for range 1000 {
		if now, _ := caller.connections.Load(addr); now != before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the connection was not replaced")
}

// Guards against calls that fail because one ping to a living peer was slow,
// and against a new connection with each slow ping.
func TestRefreshKeepsTheOldConnectionUntilTheNewOneStands(t *testing.T) {
	server, client := peerTLS(t, newCA(t), "n", true)
	caller := listen(t, "127.0.0.1:0", "caller", server, client)
	peer := listen(t, "127.0.0.1:0", "peer", server, client)
	addr := peer.Addr().String()
	_, err := ask(caller, addr, 10*time.Second)
	require.NoError(t, err)
	first, _ := caller.connections.Load(addr)
	caller.Refresh(addr)
	now, found := caller.connections.Load(addr)
	require.True(t, found, "the next call has to dial")
	require.NoError(t, now.(*connection).err)
	requireReplaced(t, caller, addr, first)
	require.NoError(t, first.(*connection).conn.Context().Err(), "calls in flight on the old connection were cut")
	require.Eventually(t, func() bool { return !caller.refreshDue(addr) }, 10*time.Second, time.Millisecond)
	require.True(t, caller.refreshDue("127.0.0.1:1"))
	caller.refreshes.Store(addr, time.Now().Add(-refreshInterval))
	require.True(t, caller.refreshDue(addr))
}
