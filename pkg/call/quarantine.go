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

// lostConnections returns 1 when an attempt may have crashed its backend
// server, else 0.
func lostConnections(result *Result) int {
	if result.Reason == board.ReasonConnectionLost {
		return 1
	}
	return 0
}

// quarantined reports whether the entry has to refuse a request. The digest is
// only computed while requests are suspected, since it costs about 1 ms for a
// body of 1 MB.
func (e *Entry) quarantined(req *Request) bool {
	quarantine := e.Board.Quarantine.Load()
	return !quarantine.Empty() && quarantine.IsQuarantined(digestOf(req), time.Now())
}

// quarantined reports whether the executor has to refuse a call.
func (x *Executor) quarantined(message *wire.Call) bool {
	quarantine := x.Board.Quarantine.Load()
	return !quarantine.Empty() && quarantine.IsQuarantined(digestOfCall(message), time.Now())
}

// execution describes a call that runs on the backend server.
func execution(message *wire.Call, local *board.LocalServer) board.ExecutionResult {
	return board.ExecutionResult{
		Kind: board.ExecutionConnectionLost, Digest: digestOfCall(message), Summary: summaryOf(message),
		ServerIncarnation: local.Incarnation,
	}
}

// reportLost tells the quarantine controller of a connection that broke while
// the call ran on the backend server.
func (x *Executor) reportLost(message *wire.Call, local *board.LocalServer) {
	x.Board.ExecutionResults.Post(execution(message, local))
}

// reportCompleted tells the quarantine controller that a suspected request got
// its whole answer.
func (x *Executor) reportCompleted(message *wire.Call, local *board.LocalServer) {
	quarantine := x.Board.Quarantine.Load()
	if quarantine.Empty() {
		return
	}
	done := execution(message, local)
	done.Kind = board.ExecutionCompleted
	if quarantine.IsSuspected(done.Digest) {
		x.Board.ExecutionResults.Post(done)
	}
}

// watchEnd reports how the answer of a call ends: whole, or cut while the call
// itself was not canceled.
func (x *Executor) watchEnd(ctx context.Context, result *Result, message *wire.Call, local *board.LocalServer) {
	if result.Body == nil {
		if result.Reason == board.ReasonConnectionLost {
			x.reportLost(message, local)
		}
		return
	}
	result.Body = &watchedBody{ReadCloser: result.Body, ended: func(err error) {
		switch {
		case err == io.EOF:
			x.reportCompleted(message, local)
		case ctx.Err() == nil:
			x.reportLost(message, local)
		}
	}}
}

// watchedBody calls ended once with the error that ends the body.
type watchedBody struct {
	io.ReadCloser
	once  sync.Once
	ended func(error)
}

func (w *watchedBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if err != nil {
		w.once.Do(func() { w.ended(err) })
	}
	return n, err
}
