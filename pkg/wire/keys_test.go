package wire

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against times that lose their fraction on the way: a record would be
// dropped, or a horizon passed, up to a second early.
func TestTimesKeepTheirFraction(t *testing.T) {
	sent := Seal{ID: board.KeyID{Key: "k"}, ExpiresAt: time.Unix(1_800_000_000, 987_654_321).UTC()}
	var buffer bytes.Buffer
	require.NoError(t, WriteMessage(&buffer, TypeSeal, sent))
	var received Seal
	require.NoError(t, ReadMessage(&buffer, TypeSeal, &received))
	require.True(t, sent.ExpiresAt.Equal(received.ExpiresAt))
}

// Guards against a malformed rumor that stops the epoch controller.
func TestMalformedEpochRumorIsRefused(t *testing.T) {
	_, err := DecodeEpochRumor(board.Rumor{Kind: board.RumorEpoch, Payload: []byte{0xff, 0x00}})
	require.Error(t, err)
}
