package call

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// Guards against a status that HTTP does not have in the response of another node, which
// may run an earlier release that passes such statuses on.
func TestInvalidStatusOfAnotherNodeIsUnknown(t *testing.T) {
	for _, status := range []uint16{0, 99, 101, 600, 999} {
		result := decodeResponse(&wire.CallResponse{Outcome: board.OutcomeSucceeded, Status: status}, strings.NewReader("hi"))
		require.Equal(t, board.OutcomeUnknown, result.Outcome, "status %d", status)
		require.Equal(t, UnknownResult(board.ReasonMalformedAnswer).Status, result.Status)
		require.Nil(t, result.Body)
	}
}
