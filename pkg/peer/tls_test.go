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

const certValidity = time.Hour

// tlsConfigs issues a certificate from the CA in directory ca and returns TLS
// configurations that use it. isNode makes it the certificate of a node.
func tlsConfigs(t *testing.T, ca, name string, isNode bool) (server, client *tls.Config) {
	t.Helper()
	require.NoError(t, security.WriteCertificate(ca, name, isNode, nil, certValidity))
	server, client, err := security.LoadPeerTLS(security.TLSFiles{
		Cert: ca + "/" + name + ".pem", Key: ca + "/" + name + "-key.pem", CA: ca + "/" + security.CACertFile,
	})
	require.NoError(t, err)
	return server, client
}

func newCA(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, security.WriteCA(dir, certValidity))
	return dir
}

// startCountingTransport starts a transport that responds to Delta messages and
// counts them.
func startCountingTransport(t *testing.T, server, client *tls.Config) (*Transport, *atomic.Int64) {
	t.Helper()
	transport, err := Listen("127.0.0.1:0", server, client, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	var handled atomic.Int64
	handler := func(_ context.Context, _ wire.Frame, stream *Stream) error {
		handled.Add(1)
		return transport.Respond(stream, wire.TypeDelta, wire.Delta{})
	}
	go func() { _ = transport.Serve(t.Context(), map[wire.MessageType]Handler{wire.TypeDelta: handler}) }()
	return transport, &handled
}

func exchangeDelta(t *testing.T, sender *Transport, addr string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var response wire.Delta
	return sender.Exchange(ctx, addr, wire.TypeDelta, wire.Delta{}, wire.TypeDelta, &response)
}

// Guards against responding to a peer without the certificate of a node of the
// fleet, and against accepting responses from such a peer.
func TestOnlyFleetNodesAreServed(t *testing.T) {
	fleetCA, otherCA := newCA(t), newCA(t)
	server, client := tlsConfigs(t, fleetCA, "atelier-1", true)
	receiver, handled := startCountingTransport(t, server, client)

	memberServer, memberClient := tlsConfigs(t, fleetCA, "atelier-2", true)
	_, callerClient := tlsConfigs(t, fleetCA, "foreman", false)
	_, otherCAClient := tlsConfigs(t, otherCA, "atelier-1", true)
	otherCAClient.RootCAs = memberClient.RootCAs
	noCertClient := memberClient.Clone()
	noCertClient.Certificates = nil

	for name, config := range map[string]*tls.Config{
		"certificate of another CA": otherCAClient, "certificate of a caller": callerClient, "no certificate": noCertClient,
	} {
		sender, _ := startCountingTransport(t, memberServer, config)
		require.Error(t, exchangeDelta(t, sender, receiver.Addr().String()), name)
		require.Zero(t, handled.Load(), name)
	}
	sender, _ := startCountingTransport(t, memberServer, memberClient)
	require.NoError(t, exchangeDelta(t, sender, receiver.Addr().String()))
	require.Equal(t, int64(1), handled.Load())

	callerServer, _ := tlsConfigs(t, fleetCA, "impostor", false)
	callerNode, _ := startCountingTransport(t, callerServer, memberClient)
	require.Error(t, exchangeDelta(t, sender, callerNode.Addr().String()), "a server without a node's certificate")
}

// requireStreamRefused requires that err says that the peer refused the stream.
func requireStreamRefused(t *testing.T, err error) {
	t.Helper()
	var streamErr *quic.StreamError
	require.ErrorAs(t, err, &streamErr)
	require.True(t, streamErr.Remote)
	require.Equal(t, codeRefused, streamErr.ErrorCode)
}

// Guards against a malformed frame that stops the transport or closes the
// connection.
func TestMalformedFramesAreRefused(t *testing.T) {
	ca := newCA(t)
	server, client := tlsConfigs(t, ca, "atelier-1", true)
	receiver, handled := startCountingTransport(t, server, client)
	sender, _ := startCountingTransport(t, server, client)
	for _, data := range [][]byte{
		{}, {1}, {9, 1, 0, 0, 0, 0}, {1, 255, 0, 0, 0, 0}, {1, byte(wire.TypeDelta), 255, 255, 255, 255}, {1, byte(wire.TypeCall), 0, 0, 0, 1, 0},
	} {
		stream, err := sender.OpenStream(t.Context(), receiver.Addr().String())
		require.NoError(t, err)
		_, err = stream.Write(data)
		require.NoError(t, err)
		// The receiver may refuse the stream before it has read all data.
		if err := stream.Close(); err != nil {
			_, err = stream.Write(data)
			requireStreamRefused(t, err)
		}
		_, err = wire.ReadFrame(stream)
		requireStreamRefused(t, err)
	}
	require.Zero(t, handled.Load())
	require.NoError(t, exchangeDelta(t, sender, receiver.Addr().String()))
}
