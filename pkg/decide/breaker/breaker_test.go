package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Guards against outcomes that count towards the breaker in the wrong class.
func TestClassify(t *testing.T) {
	cases := []struct {
		outcome board.Outcome
		reason  board.Reason
		status  int
		want    Class
	}{
		{board.OutcomeSucceeded, "", 200, Success},
		{board.OutcomeSucceeded, "", 404, Success},
		{board.OutcomeSucceeded, "", 408, Failure},
		{board.OutcomeSucceeded, "", 429, Failure},
		{board.OutcomeFailed, "", 503, Failure},
		{board.OutcomeUnknown, board.ReasonConnectionLost, 0, Failure},
		{board.OutcomeUnknown, board.ReasonDeadlineExceeded, 0, Failure},
		{board.OutcomeUnknown, board.ReasonCanceledByCaller, 0, Neutral},
		{board.OutcomeNotRun, board.ReasonExecutorUnreachable, 0, Failure},
		{board.OutcomeNotRun, board.ReasonOverloaded, 0, Rejection},
		{board.OutcomeNotRun, board.ReasonShedByPriority, 0, Rejection},
		{board.OutcomeNotRun, board.ReasonDraining, 0, Neutral},
		{board.OutcomeNotRun, board.ReasonKeyConflict, 0, Neutral},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Classify(c.outcome, c.reason, c.status), "%v %s %d", c.outcome, c.reason, c.status)
	}
}

// Guards against a breaker that opens after few calls, closes without a trial or
// stays half-open after its trial has timed out.
func TestStateTransitions(t *testing.T) {
	config := dynconf.Default().Breaker
	next := func(state board.BreakerState, age time.Duration, successes, failures uint64, taken bool) board.BreakerState {
		return Next(state, age, Counts{Successes: successes, Failures: failures}, taken, config)
	}
	require.Equal(t, board.BreakerClosed, next(board.BreakerClosed, 0, 0, uint64(config.MinCalls)-1, false))
	require.Equal(t, board.BreakerClosed, next(board.BreakerClosed, 0, 6, 5, false))
	require.Equal(t, board.BreakerOpen, next(board.BreakerClosed, 0, 5, 5, false))
	require.Equal(t, board.BreakerOpen, next(board.BreakerOpen, config.OpenDuration/2, 0, 0, false))
	require.Equal(t, board.BreakerHalfOpen, next(board.BreakerOpen, config.OpenDuration, 0, 0, false))
	require.Equal(t, board.BreakerHalfOpen, next(board.BreakerHalfOpen, 0, 3, 0, false), "successes from before the trial")
	require.Equal(t, board.BreakerClosed, next(board.BreakerHalfOpen, 0, 1, 0, true))
	require.Equal(t, board.BreakerOpen, next(board.BreakerHalfOpen, 0, 1, 1, true))
	require.True(t, TrialTimedOut(trialTimeout, Counts{}, true))
	require.False(t, TrialTimedOut(trialTimeout, Counts{}, false))
}
