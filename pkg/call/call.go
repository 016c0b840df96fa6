// Package call processes calls: at the entry, the node that receives a call
// from its caller, and at the executor, the node that runs it on its backend
// server. It reads sections of the board and does not depend on HTTP listeners.
// The encoding of the messages between nodes is left to pkg/wire; conversions to
// and from these messages are in codec.go, send.go and executor.go.
package call

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// MaxDepth is the largest allowed depth of nested calls in a call tree.
const MaxDepth = 7

// Request is a call as received by the entry.
type Request struct {
	ID      string
	Service string
	Method  string
	// Path is the path without the service name. It starts with a slash.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Caller identifies the caller.
	Caller string
	// Key is the idempotency key. It is empty if the caller sent none; the
	// entry then creates one for a non-idempotent call.
	Key string
	// Deadline is when the caller stops waiting. If it is zero, the deadline of
	// the route applies.
	Deadline time.Time
	Priority dynconf.Priority
	// PrioritySet is true if the caller sent a priority. Otherwise that of the
	// route applies.
	PrioritySet bool
	// TreeID identifies the call tree: a call of a client and all the nested
	// calls made on its behalf. If the caller sent none, the call is the root of
	// a new tree.
	TreeID string
	// Depth counts the calls above this one in the call tree.
	Depth int
	// AttemptsLeft is the remaining budget of the call tree for additional
	// attempts (retries and hedges), or -1 if the caller sent none.
	AttemptsLeft int

	// attemptBudget is the budget that additional attempts are taken from.
	// attemptsUsed counts those of this call and its nested calls.
	attemptBudget *board.TreeBudget
	attemptsUsed  atomic.Int64
}

// Result is the result of a call or of one of its attempts.
type Result struct {
	Outcome board.Outcome
	Reason  board.Reason
	// Status is the HTTP status for the caller.
	Status int
	Header http.Header
	// Body is nil if there is none. A read error means that the response is
	// incomplete and must not be forwarded as a complete one.
	Body io.ReadCloser
	// ContentLength is the size of the body in bytes, or -1 if unknown.
	ContentLength int64

	// Instance is the executor of the attempt that gave the result.
	Instance board.InstanceID
	// Attempts is the number of the last attempt, 0 if there was none.
	Attempts int
	// AttemptsUsed counts the additional attempts of this call and its nested
	// calls.
	AttemptsUsed  int
	ConfigVersion uint64
	LoadReport    board.LoadReport
	// Epoch is the executor's epoch of the service, or 0 if the executor sent
	// none.
	Epoch uint64

	// fromExecutor is true if the executor sent the result, and false if the
	// entry derived it, for example from a lost connection.
	fromExecutor bool
}

// NotRunResult returns the result of a call that provably did not run.
func NotRunResult(reason board.Reason) *Result {
	return &Result{Outcome: board.OutcomeNotRun, Reason: reason, Status: notRunStatus(reason)}
}

// UnknownResult returns the result of a call that may have run.
func UnknownResult(reason board.Reason) *Result {
	status := http.StatusBadGateway
	switch reason {
	case board.ReasonDeadlineExceeded:
		status = http.StatusGatewayTimeout
	case board.ReasonKeyExpired:
		status = http.StatusGone
	case board.ReasonKeyInProgress:
		status = http.StatusConflict
	case board.ReasonKeyHomeUnavailable:
		// The caller can safely retry with the same key and will get a response.
		status = http.StatusServiceUnavailable
	}
	return &Result{Outcome: board.OutcomeUnknown, Reason: reason, Status: status}
}

func notRunStatus(reason board.Reason) int {
	switch reason {
	case board.ReasonMalformedRequest, board.ReasonKeyTimeInFuture:
		return http.StatusBadRequest
	case board.ReasonNoRoute:
		return http.StatusNotFound
	case board.ReasonRetired:
		return http.StatusGone
	case board.ReasonQuarantined, board.ReasonKeyConflict:
		return http.StatusUnprocessableEntity
	case board.ReasonShedByPriority:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// outcomeFromStatus returns the outcome of a complete response.
func outcomeFromStatus(status int) board.Outcome {
	if status >= http.StatusInternalServerError {
		return board.OutcomeFailed
	}
	return board.OutcomeSucceeded
}
