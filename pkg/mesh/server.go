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
	// nonIdempotentMaxIdle is the longest idle time after which a connection is
	// reused for a non-idempotent call. A server may drop idle connections
	// without notice, and such a call cannot be retried after a reset.
	nonIdempotentMaxIdle = time.Second
	// executorBufferLimit is the size in bytes up to which a response is
	// buffered before it is passed on, so that a truncated one is not passed on
	// at all.
	executorBufferLimit = 1 << 20
)

// sendToServer sends one request to the backend server.
func (x *Executor) sendToServer(ctx context.Context, c *Call, server *board.BackendServer) *Result {
	header := c.Header
	if header == nil {
		header = http.Header{}
	}
	x.Codec.SetRequestHeader(header, RequestMetadata{ID: c.ID, ServerID: server.ID, CallerService: c.CallerService, Customer: c.Customer, TimeLeft: time.Until(c.Deadline)})
	maxIdle := x.Servers.IdleTimeout
	if !c.Idempotent {
		maxIdle = nonIdempotentMaxIdle
	}
	response, err := x.Servers.Do(ctx, server.Addr, &h1.ClientRequest{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body, MaxIdleTime: maxIdle,
		AcceptResponse: func(h http.Header) bool { return x.Codec.MatchesRequest(h, c.ID) },
		IdentifiesNone: x.Codec.IdentifiesNone,
	})
	if err != nil {
		return x.classifyServerError(ctx, err, server)
	}
	return x.readServerResponse(ctx, c, server, response)
}

// classifyServerError returns the result of a request that got no response.
func (x *Executor) classifyServerError(ctx context.Context, err error, server *board.BackendServer) *Result {
	var h1Err *h1.Error
	if !errors.As(err, &h1Err) {
		return unknown(board.ReasonConnectionLost)
	}
	if h1Err.ConnRefused {
		x.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventUnreachable, Server: *server})
	}
	if !h1Err.RequestSent {
		if ctx.Err() != nil {
			return notSent(board.ReasonCanceledByCaller)
		}
		return notSent(board.ReasonBackendDown)
	}
	if ctx.Err() != nil {
		return unknown(board.ReasonCanceledByCaller)
	}
	if h1Err.ResponseTooLarge {
		x.Log.Warn().Str("event", "response_too_large").Str("server", server.ID).Err(err).Send()
		return unknown(board.ReasonMalformedAnswer)
	}
	if h1Err.Unidentified {
		x.Log.Warn().Str("event", "response_unidentified").Str("server", server.ID).Err(err).Send()
		return unknown(board.ReasonMalformedAnswer)
	}
	return unknown(board.ReasonConnectionLost)
}

// claimsNotExecuted reports whether callers take a status for the promise that a call
// without retries was not executed and will not be.
func claimsNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readServerResponse reads the response of the backend server.
func (x *Executor) readServerResponse(ctx context.Context, c *Call, server *board.BackendServer, response *h1.ClientResponse) *Result {
	metadata := x.Codec.ParseResponse(response.Status, response.Header)
	if metadata.Load != nil {
		x.OnLoadReport(*metadata.Load)
	}
	if metadata.Warmup != nil && !metadata.Misdirected {
		x.OnWarmup(server, *metadata.Warmup)
	}
	if metadata.NotExecuted {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, executorBufferLimit))
		_ = response.Body.Close()
		reason := board.ReasonRejectedByServer
		if metadata.Misdirected {
			reason = board.ReasonAddressOfOtherServer
		}
		return &Result{Outcome: Rejected, Reason: reason}
	}
	if !metadata.Signed && response.Status < http.StatusMultipleChoices || !c.Idempotent && claimsNotExecuted(response.Status) {
		// Another component made the response, or it claims without proof that the call
		// was not executed. It does not tell whether the backend server executed the call.
		_ = response.Body.Close()
		return unknown(board.ReasonMalformedAnswer)
	}
	result := &Result{Outcome: Answered, Status: response.Status, Header: response.Header, Body: response.Body, Length: response.ContentLength, endsWithConn: response.EndsWithConn}
	if result.Length > executorBufferLimit {
		return result
	}
	return x.bufferServerResponse(ctx, c, result)
}

// bufferServerResponse buffers the body, so that a truncated one is not passed on.
func (x *Executor) bufferServerResponse(ctx context.Context, c *Call, result *Result) *Result {
	if err := result.bufferBody(executorBufferLimit); err != nil {
		switch {
		case ctx.Err() != nil:
			return unknown(board.ReasonCanceledByCaller)
		case h1.IsConnLost(err):
			// The process may have ended because of the call.
			return unknown(board.ReasonConnectionLost)
		}
		return unknown(board.ReasonMalformedAnswer)
	}
	if result.buffered {
		x.Board.CallStats.ForRule(c.Rule).AddResponseSize(result.Length)
	}
	return result
}

// bufferBody reads the body into memory, up to a limit in bytes. The rest of
// a longer body is read later from the connection.
func (r *Result) bufferBody(limit int64) error {
	var buf bytes.Buffer
	if r.Length > 0 {
		buf.Grow(int(r.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(r.Body, limit+1))
	if err != nil {
		r.closeBody()
		return errors.Trace(err)
	}
	if n > limit {
		r.Body = &partlyBufferedBody{Reader: io.MultiReader(&buf, r.Body), Closer: r.Body}
		return nil
	}
	_ = r.Body.Close()
	r.Body, r.Length, r.buffered = io.NopCloser(&buf), n, true
	return nil
}

// partlyBufferedBody is a body whose first part has been buffered.
type partlyBufferedBody struct {
	io.Reader
	io.Closer
}

// closeHook is a body that calls hook once when it is closed.
type closeHook struct {
	io.ReadCloser
	hook atomic.Pointer[func()]
}

// Close closes the body and calls the hook.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	if hook := c.hook.Swap(nil); hook != nil {
		(*hook)()
	}
	return err
}

// onClose returns a body that calls hook when it is closed. Without a body,
// hook is called at once.
func onClose(body io.ReadCloser, hook func()) io.ReadCloser {
	if body == nil {
		hook()
		return nil
	}
	c := &closeHook{ReadCloser: body}
	c.hook.Store(&hook)
	return c
}
