package peer

import (
	"context"
	"crypto/tls"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/wire"
)

const validity = time.Hour

// peerTLS returns the configurations for a certificate of a CA directory.
func peerTLS(t *testing.T, ca, name string, node bool) (server, client *tls.Config) {
	t.Helper()
	require.NoError(t, security.WriteCertificate(ca, name, node, nil, validity))
	server, client, err := security.LoadPeerTLS(security.TLSFiles{
		Cert: ca + "/" + name + ".pem", Key: ca + "/" + name + "-key.pem", CA: ca + "/" + security.CACertFile,
	})
	require.NoError(t, err)
	return server, client
}

func newCA(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, security.WriteCA(dir, validity))
	return dir
}

// listen starts a transport that answers membership exchanges and counts them.
func listenTLS(t *testing.T, server, client *tls.Config) (*Transport, *atomic.Int64) {
	t.Helper()
	transport, err := Listen("127.0.0.1:0", server, client, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	var served atomic.Int64
	handler := func(_ context.Context, _ wire.Frame, stream *Stream) error {
		served.Add(1)
		return transport.Respond(stream, wire.TypeDelta, wire.Delta{})
	}
	go func() { _ = transport.Serve(t.Context(), map[wire.MessageType]Handler{wire.TypeDelta: handler}) }()
	return transport, &served
}

func exchange(t *testing.T, from *Transport, addr string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var answer wire.Delta
	return from.Exchange(ctx, addr, wire.TypeDelta, wire.Delta{}, wire.TypeDelta, &answer)
}

// Guards against a peer that gets an answer without a certificate of a node of
// the fleet, and against a node that trusts such a peer's answers.
func TestOnlyNodesOfTheFleetAreServed(t *testing.T) {
	fleet, stranger := newCA(t), newCA(t)
	server, client := peerTLS(t, fleet, "atelier-1", true)
	node, served := listenTLS(t, server, client)

	good, goodClient := peerTLS(t, fleet, "atelier-2", true)
	_, callerClient := peerTLS(t, fleet, "foreman", false)
	_, strangerClient := peerTLS(t, stranger, "atelier-1", true)
	strangerClient.RootCAs = goodClient.RootCAs
	bare := goodClient.Clone()
	bare.Certificates = nil

	for name, config := range map[string]*tls.Config{
		"certificate of another CA": strangerClient, "certificate of a caller": callerClient, "no certificate": bare,
	} {
		from, _ := listenTLS(t, good, config)
		require.Error(t, exchange(t, from, node.Addr().String()), name)
		require.Zero(t, served.Load(), name)
	}
	from, _ := listenTLS(t, good, goodClient)
	require.NoError(t, exchange(t, from, node.Addr().String()))
	require.Equal(t, int64(1), served.Load())

	callerServer, _ := peerTLS(t, fleet, "impostor", false)
	impostor, _ := listenTLS(t, callerServer, goodClient)
	require.Error(t, exchange(t, from, impostor.Addr().String()), "a server without a node's certificate")
}

// requireRefused requires that an error is the node's refusal of the stream.
func requireRefused(t *testing.T, err error) {
	t.Helper()
	var refusal *quic.StreamError
	require.ErrorAs(t, err, &refusal)
	require.True(t, refusal.Remote)
	require.Equal(t, codeRefused, refusal.ErrorCode)
}

// Guards against a malformed frame that stops a node or its connection.
func TestMalformedFramesAreRefused(t *testing.T) {
	ca := newCA(t)
	server, client := peerTLS(t, ca, "atelier-1", true)
	node, served := listenTLS(t, server, client)
	from, _ := listenTLS(t, server, client)
	for _, data := range [][]byte{
		{}, {1}, {9, 1, 0, 0, 0, 0}, {1, 255, 0, 0, 0, 0}, {1, byte(wire.TypeDelta), 255, 255, 255, 255}, {1, byte(wire.TypeCall), 0, 0, 0, 1, 0},
	} {
		stream, err := from.OpenStream(t.Context(), node.Addr().String())
		require.NoError(t, err)
		_, err = stream.Write(data)
		require.NoError(t, err)
		// The node refuses as soon as it can tell, which may be before the end.
		if err := stream.Close(); err != nil {
			_, err = stream.Write(data)
			requireRefused(t, err)
		}
		_, err = wire.ReadFrame(stream)
		requireRefused(t, err)
	}
	require.Zero(t, served.Load())
	require.NoError(t, exchange(t, from, node.Addr().String()))
}
