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
	// unsafeMaxIdle is the longest idle time of a connection that carries a call
	// which may run once only. A server may drop idle connections without
	// notice, and such a call can't be repeated after a reset.
	unsafeMaxIdle = time.Second
	// wholeAnswer is the size in bytes up to which an answer is read whole
	// before it is passed on, so that a broken one is not passed on at all.
	wholeAnswer = 1 << 20
)

// send makes one request to the backend server.
func (x *Executor) send(ctx context.Context, c *Call, server *board.BackendServer) *Answer {
	header := c.Header
	if header == nil {
		header = http.Header{}
	}
	x.Codec.Outgoing(header, RequestMetadata{ID: c.ID, ServerID: server.ID, CallerService: c.CallerService, TimeLeft: time.Until(c.Deadline)})
	maxIdle := x.Servers.IdleTimeout
	if !c.Idempotent {
		maxIdle = unsafeMaxIdle
	}
	got, err := x.Servers.Do(ctx, server.Addr, &h1.Call{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body, MaxIdle: maxIdle,
		Mine: func(h http.Header) bool { return x.Codec.Mine(h, c.ID) },
	})
	if err != nil {
		return x.sendFailed(ctx, err, server)
	}
	return x.read(ctx, c, got)
}

// sendFailed classifies a send without an answer.
func (x *Executor) sendFailed(ctx context.Context, err error, server *board.BackendServer) *Answer {
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

// read takes the backend server's answer.
func (x *Executor) read(ctx context.Context, c *Call, got *h1.Answer) *Answer {
	reading := x.Codec.Reading(got.Status, got.Header)
	if reading.Load != nil {
		x.OnLoadReport(*reading.Load)
	}
	if reading.NotExecuted {
		_, _ = io.Copy(io.Discard, io.LimitReader(got.Body, wholeAnswer))
		_ = got.Body.Close()
		reason := board.ReasonRejectedByServer
		if reading.Misdirected {
			reason = board.ReasonAddressOfOtherServer
		}
		return &Answer{Outcome: Rejected, Reason: reason}
	}
	if !reading.Signed && got.Status < http.StatusMultipleChoices {
		// Not made by the backend server: the run is as open as without an answer.
		_ = got.Body.Close()
		return unknown(board.ReasonMalformedAnswer)
	}
	answer := &Answer{Outcome: Answered, Status: got.Status, Header: got.Header, Body: got.Body, Length: got.Length}
	if answer.Length > wholeAnswer {
		return answer
	}
	return x.readWhole(ctx, c, answer)
}

// readWhole reads the body, so that an incomplete one is told as such.
func (x *Executor) readWhole(ctx context.Context, c *Call, answer *Answer) *Answer {
	if err := answer.readWhole(wholeAnswer); err != nil {
		if ctx.Err() != nil {
			return unknown(board.ReasonCanceledByCaller)
		}
		return unknown(board.ReasonMalformedAnswer)
	}
	if answer.whole {
		x.Board.CallStats.ForRule(c.Rule).AddResponseSize(answer.Length)
	}
	return answer
}

// readWhole reads the body up to a limit in bytes. A longer one stays to be
// read.
func (a *Answer) readWhole(limit int64) error {
	var buf bytes.Buffer
	if a.Length > 0 {
		buf.Grow(int(a.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(a.Body, limit+1))
	if err != nil {
		a.close()
		return errors.Trace(err)
	}
	if n > limit {
		a.Body = &rest{Reader: io.MultiReader(&buf, a.Body), Closer: a.Body}
		return nil
	}
	_ = a.Body.Close()
	a.Body, a.Length, a.whole = io.NopCloser(&buf), n, true
	return nil
}

// rest is a body whose first part was read ahead.
type rest struct {
	io.Reader
	io.Closer
}

// closer runs done once when a body is closed.
type closer struct {
	io.ReadCloser
	done atomic.Pointer[func()]
}

// Close closes the body and runs what was to follow.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	if done := c.done.Swap(nil); done != nil {
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
	c := &closer{ReadCloser: body}
	c.done.Store(&done)
	return c
}
