package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ClientRequest is one request of a client.
type ClientRequest struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ExpectContinue sends the body only after the server has answered 100. Until then
	// the server cannot have started the request.
	ExpectContinue bool
	// MaxIdleTime is the longest time that a reused connection may have been idle;
	// zero asks for a new connection.
	MaxIdleTime time.Duration
	// OnInterimResponse is told about informational answers. It may be nil.
	OnInterimResponse func(status int)
	// AcceptResponse reports whether an answer belongs to this call; nil accepts all. An
	// answer that belongs to another call is skipped.
	AcceptResponse func(http.Header) bool
}

// ClientResponse is the head of an answer with its unread body.
type ClientResponse struct {
	Status int
	Header http.Header
	// ContentLength is the size of the body in bytes, -1 when not known.
	ContentLength int64
	// Body must be closed. A read error means that the answer is incomplete.
	Body io.ReadCloser
}

// Error is why a call has no answer.
type Error struct {
	// RequestSent is true when the server may have received the whole request.
	RequestSent bool
	// ConnRefused is true when nothing listens at the address.
	ConnRefused bool
	// ConnClosed is true when the server ended the connection before the first byte
	// of an answer.
	ConnClosed bool
	Err        error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps connections to any number of addresses. It never repeats a call.
type Pool struct {
	// DialTimeout bounds the time for a new connection.
	DialTimeout time.Duration
	// UserTimeout ends a connection whose bytes are not acknowledged.
	UserTimeout time.Duration
	// IdleTimeout closes connections that were idle for longer.
	IdleTimeout time.Duration
	// Opened counts the connections that were made.
	Opened atomic.Uint64

	hosts sync.Map // of address string to *idleStack
}

// idleStack holds idle connections of an address, the newest on top. Nodes are
// never reused, so compare-and-swap on the head is enough.
type idleStack struct{ head atomic.Pointer[idleNode] }

type idleNode struct {
	conn *clientConn
	next *idleNode
}

func (s *idleStack) push(c *clientConn) {
	n := &idleNode{conn: c}
	for {
		n.next = s.head.Load()
		if s.head.CompareAndSwap(n.next, n) {
			return
		}
	}
}

func (s *idleStack) pop() *clientConn {
	for {
		n := s.head.Load()
		if n == nil {
			return nil
		}
		if s.head.CompareAndSwap(n, n.next) {
			return n.conn
		}
	}
}

type clientConn struct {
	nc        net.Conn
	br        *bufio.Reader
	stack     *idleStack
	idleSince time.Time
	// keepAlive is how long the server keeps the connection, 0 when it did not
	// say.
	keepAlive time.Duration
	// mixed is set after an answer that belonged to another call.
	mixed bool
}

func (p *Pool) stack(addr string) *idleStack {
	if s, ok := p.hosts.Load(addr); ok {
		return s.(*idleStack)
	}
	s, _ := p.hosts.LoadOrStore(addr, &idleStack{})
	return s.(*idleStack)
}

// keepAliveMargin is left before the time at which a server closes an idle
// connection, so that a request does not cross the close.
const keepAliveMargin = 1500 * time.Millisecond

// usable reports whether an idle connection can carry a call.
func (c *clientConn) usable(maxIdle time.Duration, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	if idle > maxIdle || (c.keepAlive > 0 && idle > c.keepAlive-keepAliveMargin) {
		return false
	}
	return c.br.Buffered() == 0 && quiet(c.nc)
}

// obtain returns an idle connection or dials.
func (p *Pool) obtain(ctx context.Context, addr string, maxIdle time.Duration) (*clientConn, error) {
	stack := p.stack(addr)
	now := time.Now()
	for maxIdle > 0 {
		c := stack.pop()
		if c == nil {
			break
		}
		if c.usable(maxIdle, now) {
			return c, nil
		}
		_ = c.nc.Close()
	}
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	setUserTimeout(nc, p.UserTimeout)
	p.Opened.Add(1)
	return &clientConn{nc: nc, br: bufio.NewReaderSize(nc, readBufferSize), stack: stack}, nil
}

// SweepIdleConns closes idle connections that are too old. A controller calls it.
func (p *Pool) SweepIdleConns(now time.Time) {
	p.hosts.Range(func(_, v any) bool {
		stack := v.(*idleStack)
		var keep []*clientConn
		for c := stack.pop(); c != nil; c = stack.pop() {
			if c.usable(p.IdleTimeout, now) {
				keep = append(keep, c)
			} else {
				_ = c.nc.Close()
			}
		}
		for i := len(keep) - 1; i >= 0; i-- {
			stack.push(keep[i])
		}
		return true
	})
}

// CloseIdleConns closes the idle connections to an address.
func (p *Pool) CloseIdleConns(addr string) {
	stack := p.stack(addr)
	for c := stack.pop(); c != nil; c = stack.pop() {
		_ = c.nc.Close()
	}
}

// Do sends a call once and reads the head of its answer. The error is an
// *Error.
func (p *Pool) Do(ctx context.Context, addr string, call *ClientRequest) (*ClientResponse, error) {
	conn, err := p.obtain(ctx, addr, call.MaxIdleTime)
	if err != nil {
		return nil, &Error{ConnRefused: isRefused(err), ConnClosed: isClosed(err), Err: err}
	}
	x := &exchange{ctx: ctx, conn: conn, call: call}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.nc.Close() })
	answer, err := x.run()
	if err != nil {
		x.stop()
		_ = conn.nc.Close()
		return nil, &Error{RequestSent: x.sent, ConnClosed: !x.answered && isClosed(err), Err: err}
	}
	return answer, nil
}

// exchange is one call on one connection.
type exchange struct {
	ctx  context.Context
	conn *clientConn
	call *ClientRequest
	stop func() bool
	// sent is set before the bytes that complete the request are written.
	sent bool
	// writing is closed when a long body has been written.
	writing chan error
	// kept is false when the connection carries no further call.
	kept bool
	// answered is set by the first byte of an answer.
	answered bool
}

// longBody is the size in bytes above which a body is written while the answer
// is read, since a server may answer before it has read all of it.
const longBody = 16 << 10

func (x *exchange) run() (*ClientResponse, error) {
	x.kept = true
	if err := x.writeRequest(); err != nil {
		return nil, err
	}
	for {
		if _, err := x.conn.br.Peek(1); err != nil {
			return nil, errors.Annotate(err, "awaiting the answer")
		}
		x.answered = true
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, errors.Annotate(err, "reading the answer")
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			if err := x.interim(resp.StatusCode); err != nil {
				return nil, err
			}
			continue
		}
		if x.call.AcceptResponse != nil && !x.call.AcceptResponse(resp.Header) {
			if err := x.skip(resp); err != nil {
				return nil, err
			}
			continue
		}
		return x.answer(resp), nil
	}
}

// skip reads over an answer that belongs to another call.
func (x *exchange) skip(resp *http.Response) error {
	x.conn.mixed = true
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("answer of another call ends the connection")
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return errors.Annotate(err, "skipping the answer of another call")
}

func (x *exchange) interim(status int) error {
	if x.call.OnInterimResponse != nil {
		x.call.OnInterimResponse(status)
	}
	if status != http.StatusContinue || !x.call.ExpectContinue || x.sent {
		return nil
	}
	x.sent = true
	var buf bytes.Buffer
	if len(x.call.Body) > 0 {
		_ = writeChunk(&buf, x.call.Body)
	}
	buf.WriteString("0\r\n\r\n")
	_, err := x.conn.nc.Write(buf.Bytes())
	return errors.Annotate(err, "sending the body")
}

func (x *exchange) writeRequest() error {
	var buf bytes.Buffer
	call := x.call
	if err := appendHead(&buf, call.Method+" "+call.Target+" HTTP/1.1", call.Header); err != nil {
		return err
	}
	writeLine(&buf, "Host", call.Host)
	switch {
	case call.ExpectContinue:
		writeLine(&buf, "Expect", "100-continue")
		writeLine(&buf, "Transfer-Encoding", "chunked")
	case len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead:
		writeLine(&buf, "Content-Length", strconv.Itoa(len(call.Body)))
	}
	buf.WriteString("\r\n")
	if call.ExpectContinue {
		_, err := x.conn.nc.Write(buf.Bytes())
		return errors.Annotate(err, "sending the header")
	}
	x.sent = true
	if len(call.Body) <= longBody {
		buf.Write(call.Body)
		return x.writeShort(buf.Bytes())
	}
	if err := x.writeShort(buf.Bytes()); err != nil {
		return err
	}
	x.writing = make(chan error, 1)
	go func() {
		_, err := x.conn.nc.Write(call.Body)
		x.writing <- err
	}()
	return nil
}

// writeShort writes bytes and notes when none of them has left.
func (x *exchange) writeShort(data []byte) error {
	n, err := x.conn.nc.Write(data)
	if n == 0 && err != nil {
		x.sent = false
	}
	return errors.Annotate(err, "sending the request")
}

func (x *exchange) answer(resp *http.Response) *ClientResponse {
	x.kept = !resp.Close && !x.conn.mixed
	if x.call.ExpectContinue && !x.sent {
		// The server has answered without the body; an empty one keeps the
		// connection in step.
		_, err := io.WriteString(x.conn.nc, "0\r\n\r\n")
		x.kept = x.kept && err == nil
	}
	if x.writing != nil {
		select {
		case err := <-x.writing:
			x.kept = x.kept && err == nil
		default:
			x.kept = false
		}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && bodyAllowed(x.call.Method, resp.StatusCode) {
		x.kept = false
	}
	x.conn.keepAlive = keepAliveOf(resp.Header)
	return &ClientResponse{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Body: &answerBody{exchange: x, body: resp.Body, whole: resp.ContentLength == 0 || !bodyAllowed(x.call.Method, resp.StatusCode)},
	}
}

// answerBody returns its connection to the pool when it was read whole.
type answerBody struct {
	exchange *exchange
	body     io.ReadCloser
	whole    bool
	closed   atomic.Bool
}

// Read reads the body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close keeps the connection for another call or closes it.
func (b *answerBody) Close() error {
	if !b.closed.CompareAndSwap(false, true) {
		return nil
	}
	x := b.exchange
	canceled := !x.stop()
	if canceled || !b.whole || !x.kept || x.conn.br.Buffered() > 0 {
		return x.conn.nc.Close()
	}
	x.conn.idleSince = time.Now()
	x.conn.stack.push(x.conn)
	return nil
}
