package retry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a second execution of a call that must not run twice, and
// against retries that every other instance would refuse as well.
func TestAllowed(t *testing.T) {
	for _, outcome := range []board.Outcome{board.OutcomeSucceeded, board.OutcomeFailed, board.OutcomeUnknown} {
		require.False(t, Allowed(false, outcome, ""), outcome.String())
	}
	require.True(t, Allowed(true, board.OutcomeFailed, ""))
	require.True(t, Allowed(true, board.OutcomeUnknown, board.ReasonConnectionLost))
	require.False(t, Allowed(true, board.OutcomeUnknown, board.ReasonCanceledByCaller))
	require.True(t, Allowed(false, board.OutcomeNotRun, board.ReasonOverloaded))
	require.False(t, Allowed(true, board.OutcomeNotRun, board.ReasonRetired))
	require.False(t, Allowed(true, board.OutcomeNotRun, board.ReasonQuarantined))
}

// Guards against retries without a token while the instances are overloaded.
func TestOnlyInstanceStateRefusalsNeedNoToken(t *testing.T) {
	require.True(t, NeedsToken(board.OutcomeNotRun, board.ReasonOverloaded))
	require.True(t, NeedsToken(board.OutcomeFailed, ""))
	require.True(t, NeedsToken(board.OutcomeUnknown, board.ReasonBackendDown))
	require.False(t, NeedsToken(board.OutcomeNotRun, board.ReasonDraining))
	// A call that meets an epoch change, as during a drain, is retried.
	for _, reason := range []board.Reason{board.ReasonStaleEpoch, board.ReasonGrantSealed} {
		require.True(t, Allowed(false, board.OutcomeNotRun, reason))
		require.False(t, NeedsToken(board.OutcomeNotRun, reason))
	}
}
