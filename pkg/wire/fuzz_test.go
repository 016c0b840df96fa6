package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// newMessages returns a fresh value of each message that is decoded from a frame.
func newMessages() []any {
	return []any{new(Call), new(CallResponse), new(Delta), new(board.Rumor)}
}

// Guards against a frame or message from a peer that crashes the node, and
// against a decoded message that cannot be encoded again.
func FuzzReadFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		for _, message := range newMessages() {
			if frame.Decode(message) != nil {
				continue
			}
			var again bytes.Buffer
			if err := WriteMessage(&again, TypeTransferPage, message); err != nil {
				require.ErrorIs(t, err, ErrTooLarge)
			}
		}
	})
}

// Guards against a header that claims a size, a type or a version that the
// protocol does not have.
func TestReadFrameRejectsInvalidHeaders(t *testing.T) {
	header := func(version, messageType byte, size ...byte) []byte {
		return append([]byte{version, messageType}, size...)
	}
	cases := []struct {
		data []byte
		err  error
	}{
		{header(ProtocolVersion+1, byte(TypeCall), 0, 0, 0, 0), ErrVersion},
		{header(ProtocolVersion, 0, 0, 0, 0, 0), ErrType},
		{header(ProtocolVersion, 255, 0, 0, 0, 0), ErrType},
		{header(ProtocolVersion, byte(TypeDelta), 0, 1, 0, 1), ErrTooLarge},
		{header(ProtocolVersion, byte(TypeCall), 255, 255, 255, 255), ErrTooLarge},
	}
	for _, c := range cases {
		_, err := ReadFrame(bytes.NewReader(c.data))
		require.ErrorIs(t, err, c.err)
	}
	_, err := ReadFrame(bytes.NewReader(header(ProtocolVersion, byte(TypeCall), 0, 16, 0, 0)))
	require.Error(t, err, "a frame without its payload")
}
