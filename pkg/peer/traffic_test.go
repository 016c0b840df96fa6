package peer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/wire"
)

// Guards against bytes of an exchange that are counted on one side only or on
// the account of the wrong class: an Ack answers both rumors and completions.
func TestTrafficIsCountedByClassAndType(t *testing.T) {
	server, client := peerTLS(t, newCA(t), "n", true)
	node, err := Listen("127.0.0.1:0", server, client, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	acknowledge := func(_ context.Context, frame wire.Frame, stream *Stream) error {
		node.CountReceived(frame)
		return node.Respond(stream, wire.TypeAck, wire.Ack{})
	}
	handlers := map[wire.MessageType]Handler{wire.TypeRumor: acknowledge, wire.TypeComplete: acknowledge}
	go func() { _ = node.Serve(t.Context(), handlers) }()
	from := listen(t, "127.0.0.1:0", "from", server, client)
	for _, question := range []wire.MessageType{wire.TypeRumor, wire.TypeComplete, wire.TypeComplete} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		var answer wire.Ack
		require.NoError(t, from.Exchange(ctx, node.Addr().String(), question, wire.Rumors{From: "n"}, wire.TypeAck, &answer))
		cancel()
	}
	rumor, complete := from.Traffic.OfType(ClassControl, wire.TypeRumor), from.Traffic.OfType(ClassKeys, wire.TypeComplete)
	require.Positive(t, rumor.Sent.Load())
	require.Equal(t, 2*rumor.Sent.Load(), complete.Sent.Load())
	require.Equal(t, rumor.Sent.Load(), from.Traffic.Sent.Load())
	require.Equal(t, complete.Sent.Load(), from.Traffic.Keys.Sent.Load())
	from.Traffic.Each(func(class TrafficClass, message wire.MessageType, bytes *ByteCounters) {
		other := node.Traffic.OfType(class, message)
		require.Equal(t, bytes.Sent.Load(), other.Received.Load(), "%s %s", class, message)
		require.Equal(t, bytes.Received.Load(), other.Sent.Load(), "%s %s", class, message)
	})
	carried, connections := from.WireTraffic()
	require.Equal(t, 1, connections)
	require.Greater(t, carried.SentBytes, from.Traffic.Sent.Load()+from.Traffic.Keys.Sent.Load())
}
