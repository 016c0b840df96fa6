package retry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a second run of a call that must not run twice, and against
// attempts that no other instance could answer differently.
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

// Guards against an overload that is answered with free retries.
func TestOnlyInstanceStateRefusalsNeedNoToken(t *testing.T) {
	require.True(t, NeedsToken(board.OutcomeNotRun, board.ReasonOverloaded))
	require.True(t, NeedsToken(board.OutcomeFailed, ""))
	require.True(t, NeedsToken(board.OutcomeUnknown, board.ReasonBackendDown))
	require.False(t, NeedsToken(board.OutcomeNotRun, board.ReasonDraining))
	// A call that meets an epoch change, as during a drain, is tried again.
	for _, reason := range []board.Reason{board.ReasonStaleEpoch, board.ReasonGrantSealed} {
		require.True(t, Allowed(false, board.OutcomeNotRun, reason))
		require.False(t, NeedsToken(board.OutcomeNotRun, reason))
	}
}
