package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// newMessages returns a zero value of each message type that the fuzz test decodes.
func newMessages() []any {
	return []any{new(Call), new(CallResponse), new(Delta), new(board.Rumor)}
}

// Guards against frames and messages from a peer that make the decoder panic, and
// against decoded messages that cannot be encoded again.
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

// Guards against accepting a frame header with an unsupported version, an unknown
// type or a size above the limit of its type.
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
