package mesh

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/h1"
)

const (
	// nonIdempotentMaxIdle is the longest idle time of a connection that carries a call
	// which may run once only. A server may drop idle connections without
	// notice, and such a call can't be repeated after a reset.
	nonIdempotentMaxIdle = time.Second
	// executorBufferLimit is the size in bytes up to which an answer is read whole
	// before it is passed on, so that a broken one is not passed on at all.
	executorBufferLimit = 1 << 20
)

// sendToServer makes one request to the backend server.
func (x *Executor) sendToServer(ctx context.Context, c *Call, server *board.BackendServer) *Result {
	header := c.Header
	if header == nil {
		header = http.Header{}
	}
	x.Codec.Outgoing(header, RequestMetadata{ID: c.ID, ServerID: server.ID, CallerService: c.CallerService, TimeLeft: time.Until(c.Deadline)})
	maxIdle := x.Servers.IdleTimeout
	if !c.Idempotent {
		maxIdle = nonIdempotentMaxIdle
	}
	got, err := x.Servers.Do(ctx, server.Addr, &h1.Call{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body, MaxIdle: maxIdle,
		Mine: func(h http.Header) bool { return x.Codec.Mine(h, c.ID) },
	})
	if err != nil {
		return x.classifyServerError(ctx, err, server)
	}
	return x.readServerResponse(ctx, c, got)
}

// classifyServerError classifies a send without an answer.
func (x *Executor) classifyServerError(ctx context.Context, err error, server *board.BackendServer) *Result {
	var failed *h1.Error
	if !errors.As(err, &failed) {
		return unknown(board.ReasonConnectionLost)
	}
	if failed.Refused {
		x.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventUnreachable, Server: *server})
	}
	if !failed.Sent {
		if ctx.Err() != nil {
			return notSent(board.ReasonCanceledByCaller)
		}
		return notSent(board.ReasonBackendDown)
	}
	if ctx.Err() != nil {
		return unknown(board.ReasonCanceledByCaller)
	}
	return unknown(board.ReasonConnectionLost)
}

// readServerResponse takes the backend server's answer.
func (x *Executor) readServerResponse(ctx context.Context, c *Call, got *h1.Answer) *Result {
	reading := x.Codec.Reading(got.Status, got.Header)
	if reading.Load != nil {
		x.OnLoadReport(*reading.Load)
	}
	if reading.NotExecuted {
		_, _ = io.Copy(io.Discard, io.LimitReader(got.Body, executorBufferLimit))
		_ = got.Body.Close()
		reason := board.ReasonRejectedByServer
		if reading.Misdirected {
			reason = board.ReasonAddressOfOtherServer
		}
		return &Result{Outcome: Rejected, Reason: reason}
	}
	if !reading.Signed && got.Status < http.StatusMultipleChoices {
		// Not made by the backend server: the run is as open as without an answer.
		_ = got.Body.Close()
		return unknown(board.ReasonMalformedAnswer)
	}
	answer := &Result{Outcome: Answered, Status: got.Status, Header: got.Header, Body: got.Body, Length: got.Length}
	if answer.Length > executorBufferLimit {
		return answer
	}
	return x.bufferServerResponse(ctx, c, answer)
}

// bufferServerResponse reads the body, so that an incomplete one is told as such.
func (x *Executor) bufferServerResponse(ctx context.Context, c *Call, answer *Result) *Result {
	if err := answer.bufferBody(executorBufferLimit); err != nil {
		if ctx.Err() != nil {
			return unknown(board.ReasonCanceledByCaller)
		}
		return unknown(board.ReasonMalformedAnswer)
	}
	if answer.buffered {
		x.Board.CallStats.ForRule(c.Rule).AddResponseSize(answer.Length)
	}
	return answer
}

// bufferBody reads the body up to a limit in bytes. A longer one stays to be
// read.
func (a *Result) bufferBody(limit int64) error {
	var buf bytes.Buffer
	if a.Length > 0 {
		buf.Grow(int(a.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(a.Body, limit+1))
	if err != nil {
		a.closeBody()
		return errors.Trace(err)
	}
	if n > limit {
		a.Body = &partlyBufferedBody{Reader: io.MultiReader(&buf, a.Body), Closer: a.Body}
		return nil
	}
	_ = a.Body.Close()
	a.Body, a.Length, a.buffered = io.NopCloser(&buf), n, true
	return nil
}

// partlyBufferedBody is a body whose first part was read ahead.
type partlyBufferedBody struct {
	io.Reader
	io.Closer
}

// closeHook runs done once when a body is closed.
type closeHook struct {
	io.ReadCloser
	hook atomic.Pointer[func()]
}

// Close closes the body and runs what was to follow.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	if done := c.hook.Swap(nil); done != nil {
		(*done)()
	}
	return err
}

// onClose runs done when the body is closed, or at once when there is none.
func onClose(body io.ReadCloser, done func()) io.ReadCloser {
	if body == nil {
		done()
		return nil
	}
	c := &closeHook{ReadCloser: body}
	c.hook.Store(&done)
	return c
}
