// Package call holds the steps of a call at its entry and at its executor. It
// reads sections of the board and knows nothing of HTTP listeners or of the
// encoding between nodes beyond the conversions in codec.go.
package call

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// MaxDepth is the deepest nesting of calls that is carried.
const MaxDepth = 7

// Request is a call as its entry received it.
type Request struct {
	ID      string
	Service string
	Method  string
	// Path is the path below the service, starting with /.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Caller is the identity of the caller.
	Caller string
	// Key is the idempotency key that the caller sent, or "".
	Key string
	// Deadline is when the caller stops waiting; zero means that the route's
	// deadline applies.
	Deadline time.Time
	Priority dynconf.Priority
	// PrioritySet is true when the caller chose the priority.
	PrioritySet bool
	TreeID      string
	Depth       int
	// AttemptsLeft is the remaining budget of additional attempts of the call
	// tree, -1 when the caller sent none.
	AttemptsLeft int

	// attempts is the budget that additional attempts draw from; used counts
	// those that this call and its nested calls have spent.
	attempts *board.TreeBudget
	used     atomic.Int64
}

// Result is what the entry tells the caller.
type Result struct {
	Outcome board.Outcome
	Reason  board.Reason
	// Status is the HTTP status for the caller.
	Status int
	Header http.Header
	// Body is nil when there is none. A read error means that the answer is
	// incomplete and must not be passed off as whole.
	Body io.ReadCloser
	// ContentLength is the size of the body in bytes, -1 when not known.
	ContentLength int64

	Instance      board.InstanceID
	Attempts      int
	AttemptsUsed  int
	ConfigVersion uint64
	Load          board.LoadReport
	// Epoch is the executor's epoch of the service, 0 when it told none.
	Epoch uint64

	// answered is set when the executor sent the result, as opposed to a result
	// that the entry concluded from a lost connection.
	answered bool
}

// NotRunResult returns the result of a call that did not run.
func NotRunResult(reason board.Reason) *Result {
	return &Result{Outcome: board.OutcomeNotRun, Reason: reason, Status: statusOfNotRun(reason)}
}

// Unknown returns the result of a call that may have run.
func Unknown(reason board.Reason) *Result {
	status := http.StatusBadGateway
	switch reason {
	case board.ReasonDeadlineExceeded:
		status = http.StatusGatewayTimeout
	case board.ReasonKeyExpired:
		status = http.StatusGone
	case board.ReasonKeyInProgress:
		status = http.StatusConflict
	case board.ReasonKeyHomeUnavailable:
		// A repetition with the same key is safe and will be answered.
		status = http.StatusServiceUnavailable
	}
	return &Result{Outcome: board.OutcomeUnknown, Reason: reason, Status: status}
}

func statusOfNotRun(reason board.Reason) int {
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

// outcomeOfStatus returns the outcome of a whole answer.
func outcomeOfStatus(status int) board.Outcome {
	if status >= http.StatusInternalServerError {
		return board.OutcomeFailed
	}
	return board.OutcomeSucceeded
}
