package call

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// send runs one attempt at the executor of a cell and updates the cell.
func (e *Entry) send(ctx context.Context, a *Attempt, cell *board.Endpoint, record *board.RequestRecord) *Result {
	record.Advance(board.RequestSent)
	return e.attempt(ctx, a, cell)
}

// attempt runs one attempt without touching the request record, so that two
// attempts of a request may run at once.
func (e *Entry) attempt(ctx context.Context, a *Attempt, cell *board.Endpoint) *Result {
	started := time.Now()
	cell.CallStarted()
	a.lent = a.Request.attempts.Delegate()
	result := e.sendTo(ctx, a)
	settle(a, result)
	result.Instance = a.Executor.Instance
	result.Attempts = a.Number
	// A call without a body has ended, and its report does not count it.
	result.Body = onClose(result.Body, cell.CallEnded)
	e.observe(cell, a.Request.Service, result, time.Since(started))
	return result
}

func (e *Entry) sendTo(ctx context.Context, a *Attempt) *Result {
	if e.LocalExecutor != nil && a.Executor.Instance == e.LocalExecutor.Instance {
		return e.LocalExecutor.Serve(ctx, a.encode(time.Now(), e.Board.Config.Load().Version))
	}
	stream, err := e.Peers.OpenStream(ctx, a.Executor.PeerAddr)
	if err != nil {
		// Nothing was written, so the executor cannot have started the call.
		if lostReason(ctx) == board.ReasonCanceledByCaller {
			return NotRunResult(board.ReasonCanceledByCaller)
		}
		return NotRunResult(board.ReasonExecutorUnreachable)
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	result := e.exchange(ctx, a, stream)
	result.Body = onClose(result.Body, func() {
		stop()
		stream.CancelRead(0)
	})
	return result
}

// exchange writes the call and reads the head of the answer. Once the first
// byte may have left, only the executor's word proves that it did not run.
func (e *Entry) exchange(ctx context.Context, a *Attempt, stream *peer.Stream) *Result {
	message := a.encode(time.Now(), e.Board.Config.Load().Version)
	if err := wire.WriteMessage(stream, wire.TypeCall, message); err != nil {
		stream.Abort()
		if errors.Is(err, wire.ErrTooLarge) {
			return NotRunResult(board.ReasonMalformedRequest)
		}
		return Unknown(lostReason(ctx))
	}
	_ = stream.Close()
	var head wire.CallResponse
	if err := wire.ReadMessage(stream, wire.TypeCallResponse, &head); err != nil {
		stream.Abort()
		return Unknown(lostReason(ctx))
	}
	if head.RequestID != a.Request.ID {
		// The answer belongs to another request and must not reach this caller.
		stream.Abort()
		return Unknown(board.ReasonResponseIncomplete)
	}
	return decodeResponse(&head, stream)
}

func decodeResponse(head *wire.CallResponse, body io.Reader) *Result {
	result := &Result{
		Outcome: head.Outcome, Reason: board.Reason(head.Reason), Status: int(head.Status),
		Header: decodeHeader(head.Header), ContentLength: head.ContentLength,
		AttemptsUsed: int(head.AttemptsUsed), Load: head.LoadReport, Epoch: head.Epoch, answered: true,
	}
	switch head.Outcome {
	case board.OutcomeSucceeded, board.OutcomeFailed:
		result.Body = io.NopCloser(body)
	case board.OutcomeNotRun:
		result.Status = statusOfNotRun(result.Reason)
	default:
		result.Outcome = board.OutcomeUnknown
		result.Status = Unknown(result.Reason).Status
	}
	return result
}

// lostReason says why an attempt got no answer.
func lostReason(ctx context.Context) board.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return board.ReasonDeadlineExceeded
	case ctx.Err() != nil:
		return board.ReasonCanceledByCaller
	}
	return board.ReasonConnectionLost
}
