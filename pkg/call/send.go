package call

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// advanceAndSend advances the request record to sent and sends one attempt.
func (e *Entry) advanceAndSend(ctx context.Context, a *Attempt, endpoint *board.Endpoint, record *board.RequestRecord) *Result {
	record.Advance(board.RequestSent)
	return e.sendAttempt(ctx, a, endpoint)
}

// sendAttempt sends one attempt to an endpoint and updates the statistics of
// the endpoint. It does not access the request record, so two attempts of a
// request can run concurrently.
func (e *Entry) sendAttempt(ctx context.Context, a *Attempt, endpoint *board.Endpoint) *Result {
	started := time.Now()
	endpoint.CallStarted()
	a.delegatedAttempts = a.Request.attemptBudget.Delegate()
	result := e.sendToExecutor(ctx, a)
	returnUnusedAttempts(a, result)
	result.Instance = a.Executor.Instance
	result.Attempts = a.Number
	// A call without a body ends here, before the load report is recorded: the
	// report does not count this call any more.
	result.Body = onClose(result.Body, endpoint.CallEnded)
	e.recordFeedback(endpoint, a.Request.Service, result, time.Since(started))
	return result
}

// sendToExecutor sends an attempt to its executor, directly if that is the
// local one.
func (e *Entry) sendToExecutor(ctx context.Context, a *Attempt) *Result {
	if e.LocalExecutor != nil && a.Executor.Instance == e.LocalExecutor.Instance {
		return e.LocalExecutor.Execute(ctx, a.encode(time.Now(), e.Board.Config.Load().Version))
	}
	stream, err := e.Peers.OpenStream(ctx, a.Executor.PeerAddr)
	if err != nil {
		// Nothing was sent, so the executor cannot have started the call.
		if noResponseReason(ctx) == board.ReasonCanceledByCaller {
			return NotRunResult(board.ReasonCanceledByCaller)
		}
		return NotRunResult(board.ReasonExecutorUnreachable)
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	result := e.roundTrip(ctx, a, stream)
	result.Body = onClose(result.Body, func() {
		stop()
		stream.CancelRead(0)
	})
	return result
}

// roundTrip writes the call and reads the head of the response. Once a byte of
// the call may have been sent, only a response of the executor can prove that
// the call did not run.
func (e *Entry) roundTrip(ctx context.Context, a *Attempt, stream *peer.Stream) *Result {
	message := a.encode(time.Now(), e.Board.Config.Load().Version)
	if err := wire.WriteMessage(stream, wire.TypeCall, message); err != nil {
		stream.Abort()
		if errors.Is(err, wire.ErrTooLarge) {
			return NotRunResult(board.ReasonMalformedRequest)
		}
		return UnknownResult(noResponseReason(ctx))
	}
	_ = stream.Close()
	var head wire.CallResponse
	if err := wire.ReadMessage(stream, wire.TypeCallResponse, &head); err != nil {
		stream.Abort()
		return UnknownResult(noResponseReason(ctx))
	}
	if head.RequestID != a.Request.ID {
		// The response belongs to another request and must not reach this caller.
		stream.Abort()
		return UnknownResult(board.ReasonResponseIncomplete)
	}
	return decodeResponse(&head, stream)
}

// decodeResponse converts the head of an executor's response. An outcome that
// this node does not know becomes unknown.
func decodeResponse(head *wire.CallResponse, body io.Reader) *Result {
	result := &Result{
		Outcome: head.Outcome, Reason: board.Reason(head.Reason), Status: int(head.Status),
		Header: decodeHeader(head.Header), ContentLength: head.ContentLength,
		AttemptsUsed: int(head.AttemptsUsed), LoadReport: head.LoadReport, Epoch: head.Epoch, fromExecutor: true,
	}
	hasResponse := head.Outcome == board.OutcomeSucceeded || head.Outcome == board.OutcomeFailed
	if hasResponse && !h1.IsFinalStatus(result.Status) {
		return UnknownResult(board.ReasonMalformedAnswer)
	}
	switch head.Outcome {
	case board.OutcomeSucceeded, board.OutcomeFailed:
		result.Body = io.NopCloser(body)
	case board.OutcomeNotRun:
		result.Status = notRunStatus(result.Reason)
	default:
		result.Outcome = board.OutcomeUnknown
		result.Status = UnknownResult(result.Reason).Status
	}
	return result
}

// noResponseReason returns the reason why an attempt got no response.
func noResponseReason(ctx context.Context) board.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return board.ReasonDeadlineExceeded
	case ctx.Err() != nil:
		return board.ReasonCanceledByCaller
	}
	return board.ReasonConnectionLost
}
