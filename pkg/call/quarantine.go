package call

import (
	"context"
	"io"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// maxLostConnections is the number of attempts of one call that may end with a
// lost connection. A request that crashes backend servers would otherwise
// reach a third one before the second death is known to all nodes.
const maxLostConnections = 2

// lostConnectionCount returns 1 when an attempt may have crashed its backend
// server, else 0.
func lostConnectionCount(result *Result) int {
	if result.Reason == board.ReasonConnectionLost {
		return 1
	}
	return 0
}

// isQuarantined reports whether the entry has to refuse a request. The digest is
// only computed while requests are suspected, since it costs about 1 ms for a
// body of 1 MB.
func (e *Entry) isQuarantined(req *Request) bool {
	quarantine := e.Board.Quarantine.Load()
	return !quarantine.Empty() && quarantine.Refuses(requestDigest(req), time.Now())
}

// isQuarantined reports whether the executor has to refuse a call.
func (x *Executor) isQuarantined(message *wire.Call) bool {
	quarantine := x.Board.Quarantine.Load()
	return !quarantine.Empty() && quarantine.Refuses(callDigest(message), time.Now())
}

// executionResult describes a call that runs on the backend server.
func executionResult(message *wire.Call, local *board.Local) board.Execution {
	return board.Execution{
		Kind: board.ExecutionLost, Digest: callDigest(message), Summary: callSummary(message),
		ServerIncarnation: local.Incarnation,
	}
}

// reportLostConnection tells the quarantine controller of a connection that broke while
// the call ran on the backend server.
func (x *Executor) reportLostConnection(message *wire.Call, local *board.Local) {
	x.Board.Executions.Post(executionResult(message, local))
}

// reportCompletion tells the quarantine controller that a suspected request got
// its whole answer.
func (x *Executor) reportCompletion(message *wire.Call, local *board.Local) {
	quarantine := x.Board.Quarantine.Load()
	if quarantine.Empty() {
		return
	}
	result := executionResult(message, local)
	result.Kind = board.ExecutionCompleted
	if quarantine.Suspects(result.Digest) {
		x.Board.Executions.Post(result)
	}
}

// observeResponseEnd reports how the answer of a call ends: whole, or cut while the call
// itself was not canceled.
func (x *Executor) observeResponseEnd(ctx context.Context, result *Result, message *wire.Call, local *board.Local) {
	if result.Body == nil {
		if result.Reason == board.ReasonConnectionLost {
			x.reportLostConnection(message, local)
		}
		return
	}
	result.Body = &observedBody{ReadCloser: result.Body, onEnd: func(err error) {
		switch {
		case err == io.EOF:
			x.reportCompletion(message, local)
		case ctx.Err() == nil:
			x.reportLostConnection(message, local)
		}
	}}
}

// observedBody calls ended once with the error that ends the body.
type observedBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func(error)
}

func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.onEnd(err) })
	}
	return n, err
}
