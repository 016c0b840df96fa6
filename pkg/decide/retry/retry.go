// Package retry decides which calls may be retried and which attempts need a
// retry token.
package retry

import "mangostand.example/mangostand/pkg/board"

// Allowed reports whether a call may be sent to another instance after an
// attempt. Any call may be sent again if it provably did not run and another
// instance might run it. An idempotent call may also be sent again after a
// failure or an unknown outcome, unless its caller canceled it or its key has
// expired.
func Allowed(idempotent bool, outcome board.Outcome, reason board.Reason) bool {
	switch outcome {
	case board.OutcomeNotRun:
		return anotherInstanceMayRun(reason)
	case board.OutcomeFailed:
		return idempotent
	case board.OutcomeUnknown:
		return idempotent && reason != board.ReasonCanceledByCaller && reason != board.ReasonKeyExpired
	}
	return false
}

// anotherInstanceMayRun reports whether another instance might run a call that
// one instance refused for the reason.
func anotherInstanceMayRun(reason board.Reason) bool {
	switch reason {
	case board.ReasonOverloaded, board.ReasonShedByPriority:
		return true
	}
	return isInstanceStateReason(reason)
}

// isInstanceStateReason reports whether the reason for a refusal is the state
// of the instance or the epoch of the attempt, rather than load.
func isInstanceStateReason(reason board.Reason) bool {
	switch reason {
	case board.ReasonNoServer, board.ReasonDraining, board.ReasonBackendDown, board.ReasonExecutorUnreachable,
		board.ReasonWrongIncarnation, board.ReasonNodeStopping, board.ReasonStaleEpoch, board.ReasonGrantSealed:
		return true
	}
	return false
}

// NeedsToken reports whether another attempt needs a retry token. Refusals for
// the state of an instance need none. The entry node learns the state from the
// refusal and sends no more calls there, so such retries can't accumulate, and
// a lack of tokens would fail calls during an ordinary drain.
func NeedsToken(outcome board.Outcome, reason board.Reason) bool {
	return outcome != board.OutcomeNotRun || !isInstanceStateReason(reason)
}
