package peer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/wire"
)

// Guards against bytes of an exchange that are counted at one node only or in the
// wrong class. An Ack is the response to messages of both classes.
func TestTrafficIsCountedByClassAndType(t *testing.T) {
	server, client := tlsConfigs(t, newCA(t), "n", true)
	receiver, err := Listen("127.0.0.1:0", server, client, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = receiver.Close() })
	respondAck := func(_ context.Context, frame wire.Frame, stream *Stream) error {
		receiver.CountReceived(frame)
		return receiver.Respond(stream, wire.TypeAck, wire.Ack{})
	}
	handlers := map[wire.MessageType]Handler{wire.TypeRumor: respondAck, wire.TypeComplete: respondAck}
	go func() { _ = receiver.Serve(t.Context(), handlers) }()
	sender := startNamedTransport(t, "127.0.0.1:0", "from", server, client)
	for _, requestType := range []wire.MessageType{wire.TypeRumor, wire.TypeComplete, wire.TypeComplete} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		var response wire.Ack
		require.NoError(t, sender.Exchange(ctx, receiver.Addr().String(), requestType, wire.Rumors{From: "n"}, wire.TypeAck, &response))
		cancel()
	}
	rumor, complete := sender.Traffic.OfType(ClassControl, wire.TypeRumor), sender.Traffic.OfType(ClassKeys, wire.TypeComplete)
	require.Positive(t, rumor.Sent.Load())
	require.Equal(t, 2*rumor.Sent.Load(), complete.Sent.Load())
	require.Equal(t, rumor.Sent.Load(), sender.Traffic.Sent.Load())
	require.Equal(t, complete.Sent.Load(), sender.Traffic.Keys.Sent.Load())
	sender.Traffic.Each(func(class TrafficClass, message wire.MessageType, bytes *ByteCounters) {
		atReceiver := receiver.Traffic.OfType(class, message)
		require.Equal(t, bytes.Sent.Load(), atReceiver.Received.Load(), "%s %s", class, message)
		require.Equal(t, bytes.Received.Load(), atReceiver.Sent.Load(), "%s %s", class, message)
	})
	udp, connections := sender.WireTraffic()
	require.Equal(t, 1, connections)
	require.Greater(t, udp.SentBytes, sender.Traffic.Sent.Load()+sender.Traffic.Keys.Sent.Load())
}
