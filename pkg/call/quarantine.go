package call

import (
	"context"
	"io"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/wire"
)

// maxLostConnections is the number of lost connections after which a call is
// not retried. Otherwise a request that crashes backend servers would reach a
// third one before all nodes know of the second crash.
const maxLostConnections = 2

// lostConnectionCount returns 1 if an attempt may have crashed its backend
// server, and 0 otherwise.
func lostConnectionCount(result *Result) int {
	if result.Reason == board.ReasonConnectionLost {
		return 1
	}
	return 0
}

// isQuarantined reports whether the entry must refuse a request. The digest is
// only computed while the quarantine has entries, since it takes about 1 ms for
// a body of 1 MB.
func (e *Entry) isQuarantined(req *Request) bool {
	quarantine := e.Board.Quarantine.Load()
	return !quarantine.Empty() && quarantine.IsQuarantined(requestDigest(req), time.Now())
}

// isQuarantined reports whether the executor must refuse a call.
func (x *Executor) isQuarantined(message *wire.Call) bool {
	quarantine := x.Board.Quarantine.Load()
	return !quarantine.Empty() && quarantine.IsQuarantined(callDigest(message), time.Now())
}

// connectionLostResult returns the event which reports that the connection to the
// backend server was lost while a call ran.
func connectionLostResult(message *wire.Call, local *board.LocalServer) board.ExecutionResult {
	return board.ExecutionResult{
		Kind: board.ExecutionConnectionLost, Digest: callDigest(message), Summary: callSummary(message),
		ServerIncarnation: local.Incarnation,
	}
}

// reportLostConnection notifies the quarantine controller that the connection
// to the backend server was lost while a call ran.
func (x *Executor) reportLostConnection(message *wire.Call, local *board.LocalServer) {
	x.Board.ExecutionResults.Post(connectionLostResult(message, local))
}

// reportCompletion notifies the quarantine controller if the call is a
// suspected request and has got its complete response.
func (x *Executor) reportCompletion(message *wire.Call, local *board.LocalServer) {
	quarantine := x.Board.Quarantine.Load()
	if quarantine.Empty() {
		return
	}
	result := connectionLostResult(message, local)
	result.Kind = board.ExecutionCompleted
	if quarantine.IsSuspected(result.Digest) {
		x.Board.ExecutionResults.Post(result)
	}
}

// observeResponseEnd makes the body of a result report to the quarantine
// controller how the response ends: complete, or incomplete although the call
// was not canceled.
func (x *Executor) observeResponseEnd(ctx context.Context, result *Result, message *wire.Call, local *board.LocalServer) {
	if result.Body == nil {
		if result.Reason == board.ReasonConnectionLost {
			x.reportLostConnection(message, local)
		}
		return
	}
	result.Body = h1.ObserveEnd(result.Body, func(err error) {
		switch {
		case err == io.EOF:
			x.reportCompletion(message, local)
		case ctx.Err() == nil:
			x.reportLostConnection(message, local)
		}
	})
}
