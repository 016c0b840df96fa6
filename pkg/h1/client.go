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
	// ConnsOpened counts the connections that were made.
	ConnsOpened atomic.Uint64

	idleByAddr sync.Map // of address string to *idleStack
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
	netConn   net.Conn
	br        *bufio.Reader
	idleStack *idleStack
	idleSince time.Time
	// keepAliveTimeout is how long the server keeps the connection, 0 when it did not
	// say.
	keepAliveTimeout time.Duration
	// strayResponse is set after an answer that belonged to another call.
	strayResponse bool
}

func (p *Pool) idleStackFor(addr string) *idleStack {
	if s, ok := p.idleByAddr.Load(addr); ok {
		return s.(*idleStack)
	}
	s, _ := p.idleByAddr.LoadOrStore(addr, &idleStack{})
	return s.(*idleStack)
}

// keepAliveMargin is left before the time at which a server closes an idle
// connection, so that a request does not cross the close.
const keepAliveMargin = 1500 * time.Millisecond

// isReusable reports whether an idle connection can carry a call.
func (c *clientConn) isReusable(maxIdle time.Duration, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	if idle > maxIdle || (c.keepAliveTimeout > 0 && idle > c.keepAliveTimeout-keepAliveMargin) {
		return false
	}
	return c.br.Buffered() == 0 && isOpenAndIdle(c.netConn)
}

// getConn returns an idle connection or dials.
func (p *Pool) getConn(ctx context.Context, addr string, maxIdle time.Duration) (*clientConn, error) {
	stack := p.idleStackFor(addr)
	now := time.Now()
	for maxIdle > 0 {
		c := stack.pop()
		if c == nil {
			break
		}
		if c.isReusable(maxIdle, now) {
			return c, nil
		}
		_ = c.netConn.Close()
	}
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	setUserTimeout(nc, p.UserTimeout)
	p.ConnsOpened.Add(1)
	return &clientConn{netConn: nc, br: bufio.NewReaderSize(nc, ioBufferBytes), idleStack: stack}, nil
}

// SweepIdleConns closes idle connections that are too old. A controller calls it.
func (p *Pool) SweepIdleConns(now time.Time) {
	p.idleByAddr.Range(func(_, v any) bool {
		stack := v.(*idleStack)
		var keep []*clientConn
		for c := stack.pop(); c != nil; c = stack.pop() {
			if c.isReusable(p.IdleTimeout, now) {
				keep = append(keep, c)
			} else {
				_ = c.netConn.Close()
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
	stack := p.idleStackFor(addr)
	for c := stack.pop(); c != nil; c = stack.pop() {
		_ = c.netConn.Close()
	}
}

// Do sends a call once and reads the head of its answer. The error is an
// *Error.
func (p *Pool) Do(ctx context.Context, addr string, req *ClientRequest) (*ClientResponse, error) {
	conn, err := p.getConn(ctx, addr, req.MaxIdleTime)
	if err != nil {
		return nil, &Error{ConnRefused: isConnRefused(err), ConnClosed: isConnClosed(err), Err: err}
	}
	rt := &roundTrip{ctx: ctx, conn: conn, request: req}
	rt.stopCancelWatch = context.AfterFunc(ctx, func() { _ = conn.netConn.Close() })
	resp, err := rt.run()
	if err != nil {
		rt.stopCancelWatch()
		_ = conn.netConn.Close()
		return nil, &Error{RequestSent: rt.requestSent, ConnClosed: !rt.responseStarted && isConnClosed(err), Err: err}
	}
	return resp, nil
}

// roundTrip is one call on one connection.
type roundTrip struct {
	ctx             context.Context
	conn            *clientConn
	request         *ClientRequest
	stopCancelWatch func() bool
	// requestSent is set before the bytes that complete the request are written.
	requestSent bool
	// bodyWritten is closed when a long body has been written.
	bodyWritten chan error
	// reusable is false when the connection carries no further call.
	reusable bool
	// responseStarted is set by the first byte of an answer.
	responseStarted bool
}

// maxInlineBodyBytes is the size in bytes above which a body is written while the answer
// is read, since a server may answer before it has read all of it.
const maxInlineBodyBytes = 16 << 10

func (rt *roundTrip) run() (*ClientResponse, error) {
	rt.reusable = true
	if err := rt.writeRequest(); err != nil {
		return nil, err
	}
	for {
		if _, err := rt.conn.br.Peek(1); err != nil {
			return nil, errors.Annotate(err, "awaiting the answer")
		}
		rt.responseStarted = true
		resp, err := http.ReadResponse(rt.conn.br, &http.Request{Method: rt.request.Method})
		if err != nil {
			return nil, errors.Annotate(err, "reading the answer")
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			if err := rt.handleInterim(resp.StatusCode); err != nil {
				return nil, err
			}
			continue
		}
		if rt.request.AcceptResponse != nil && !rt.request.AcceptResponse(resp.Header) {
			if err := rt.discardStray(resp); err != nil {
				return nil, err
			}
			continue
		}
		return rt.newResponse(resp), nil
	}
}

// discardStray reads over an answer that belongs to another call.
func (rt *roundTrip) discardStray(resp *http.Response) error {
	rt.conn.strayResponse = true
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("answer of another call ends the connection")
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return errors.Annotate(err, "skipping the answer of another call")
}

func (rt *roundTrip) handleInterim(status int) error {
	if rt.request.OnInterimResponse != nil {
		rt.request.OnInterimResponse(status)
	}
	if status != http.StatusContinue || !rt.request.ExpectContinue || rt.requestSent {
		return nil
	}
	rt.requestSent = true
	var buf bytes.Buffer
	if len(rt.request.Body) > 0 {
		_ = writeChunk(&buf, rt.request.Body)
	}
	buf.WriteString("0\r\n\r\n")
	_, err := rt.conn.netConn.Write(buf.Bytes())
	return errors.Annotate(err, "sending the body")
}

func (rt *roundTrip) writeRequest() error {
	var buf bytes.Buffer
	req := rt.request
	if err := writeHead(&buf, req.Method+" "+req.Target+" HTTP/1.1", req.Header); err != nil {
		return err
	}
	writeHeaderField(&buf, "Host", req.Host)
	switch {
	case req.ExpectContinue:
		writeHeaderField(&buf, "Expect", "100-continue")
		writeHeaderField(&buf, "Transfer-Encoding", "chunked")
	case len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead:
		writeHeaderField(&buf, "Content-Length", strconv.Itoa(len(req.Body)))
	}
	buf.WriteString("\r\n")
	if req.ExpectContinue {
		_, err := rt.conn.netConn.Write(buf.Bytes())
		return errors.Annotate(err, "sending the header")
	}
	rt.requestSent = true
	if len(req.Body) <= maxInlineBodyBytes {
		buf.Write(req.Body)
		return rt.writeTrackingSent(buf.Bytes())
	}
	if err := rt.writeTrackingSent(buf.Bytes()); err != nil {
		return err
	}
	rt.bodyWritten = make(chan error, 1)
	go func() {
		_, err := rt.conn.netConn.Write(req.Body)
		rt.bodyWritten <- err
	}()
	return nil
}

// writeTrackingSent writes bytes and notes when none of them has left.
func (rt *roundTrip) writeTrackingSent(data []byte) error {
	n, err := rt.conn.netConn.Write(data)
	if n == 0 && err != nil {
		rt.requestSent = false
	}
	return errors.Annotate(err, "sending the request")
}

func (rt *roundTrip) newResponse(resp *http.Response) *ClientResponse {
	rt.reusable = !resp.Close && !rt.conn.strayResponse
	if rt.request.ExpectContinue && !rt.requestSent {
		// The server has answered without the body; an empty one keeps the
		// connection in step.
		_, err := io.WriteString(rt.conn.netConn, "0\r\n\r\n")
		rt.reusable = rt.reusable && err == nil
	}
	if rt.bodyWritten != nil {
		select {
		case err := <-rt.bodyWritten:
			rt.reusable = rt.reusable && err == nil
		default:
			rt.reusable = false
		}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && bodyAllowed(rt.request.Method, resp.StatusCode) {
		rt.reusable = false
	}
	rt.conn.keepAliveTimeout = keepAliveTimeout(resp.Header)
	return &ClientResponse{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Body: &responseBody{roundTrip: rt, body: resp.Body, complete: resp.ContentLength == 0 || !bodyAllowed(rt.request.Method, resp.StatusCode)},
	}
}

// responseBody returns its connection to the pool when it was read whole.
type responseBody struct {
	roundTrip *roundTrip
	body      io.ReadCloser
	complete  bool
	closed    atomic.Bool
}

// Read reads the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close keeps the connection for another call or closes it.
func (b *responseBody) Close() error {
	if !b.closed.CompareAndSwap(false, true) {
		return nil
	}
	rt := b.roundTrip
	canceled := !rt.stopCancelWatch()
	if canceled || !b.complete || !rt.reusable || rt.conn.br.Buffered() > 0 {
		return rt.conn.netConn.Close()
	}
	rt.conn.idleSince = time.Now()
	rt.conn.idleStack.push(rt.conn)
	return nil
}
