// Package retry decides which calls may be tried again and which attempts
// must be paid with a retry token.
package retry

import "mangostand.example/mangostand/pkg/board"

// Allowed reports whether a call may be sent to another instance after an
// attempt: any call after proof that it did not run, an idempotent call also
// after a failure.
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

// anotherInstanceMayRun reports whether another instance could run a call that one
// instance did not run for the reason.
func anotherInstanceMayRun(reason board.Reason) bool {
	switch reason {
	case board.ReasonOverloaded, board.ReasonShedByPriority:
		return true
	}
	return isInstanceStateReason(reason)
}

// isInstanceStateReason reports whether the reason is the state of one instance or the
// epoch of the attempt rather than load.
func isInstanceStateReason(reason board.Reason) bool {
	switch reason {
	case board.ReasonNoServer, board.ReasonDraining, board.ReasonBackendDown, board.ReasonExecutorUnreachable,
		board.ReasonWrongIncarnation, board.ReasonNodeStopping, board.ReasonStaleEpoch, board.ReasonGrantSealed:
		return true
	}
	return false
}

// NeedsToken reports whether a further attempt costs a retry token. Refusals
// for the state of an instance cost none: the entry learns the state from the
// refusal and sends no more calls there, so they cannot add up, and a token
// that is missing would fail calls during an ordinary drain.
func NeedsToken(outcome board.Outcome, reason board.Reason) bool {
	return outcome != board.OutcomeNotRun || !isInstanceStateReason(reason)
}
