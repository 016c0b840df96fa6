package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/decide/pacing"
	"mangostand.example/mangostand/pkg/lazymap"
)

// ClientRequest is a request that a Pool sends.
type ClientRequest struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ExpectContinue sends the header with Expect: 100-continue and the body only
	// after a 100 response. Until then the server cannot have executed the request.
	ExpectContinue bool
	// PaceBody, if not nil, is called with the size of the next part of a body that is
	// sent after a 100 response, and returns when that part may be sent.
	PaceBody func(bytes int)
	// MaxIdleTime is the longest time that a reused connection may have been idle.
	// Zero requires a new connection.
	MaxIdleTime time.Duration
	// OnInterimResponse, if not nil, is called with the status of each interim (1xx)
	// response.
	OnInterimResponse func(status int)
	// OnFirstResponse, if not nil, is called when the first byte of any response has
	// arrived, with the time since the header was written. It does not include the
	// time to open a connection.
	OnFirstResponse func(elapsed time.Duration)
	// AcceptResponse reports whether a response with this header belongs to the
	// request; nil accepts all. A response that does not belong to it is discarded.
	// Requests with and without AcceptResponse never share a connection, so that a
	// late copy of a response that identifies no request cannot follow a request that
	// needs proof.
	AcceptResponse func(http.Header) bool
	// IdentifiesNone, if not nil, reports whether a response with this header names no
	// request at all. Such a response is accepted if its connection has carried no
	// other request, and the connection is then not reused. On any other connection
	// it fails the request, see Error.Unidentified.
	IdentifiesNone func(http.Header) bool
}

// ClientResponse is the head of a response with its unread body.
type ClientResponse struct {
	Status int
	Header http.Header
	// ContentLength is the size of the body in bytes, -1 when it is not known.
	ContentLength int64
	// EndsWithConn is true when the body ends with its connection, so that a body cut short
	// by the end of the server looks whole. A reset of the connection is a read error.
	EndsWithConn bool
	// Body must be closed. A read error means that the response is incomplete.
	Body io.ReadCloser
}

// Error says why a request has no response.
type Error struct {
	// RequestSent is true when the server may have received the complete request.
	RequestSent bool
	// ConnRefused is true when no process listens at the address.
	ConnRefused bool
	// ConnClosed is true when the server closed or reset the connection before the
	// first byte of a response.
	ConnClosed bool
	// ResponseTooLarge is true when the response exceeds a limit of the Pool.
	ResponseTooLarge bool
	// Unidentified is true when a response named no request, on a connection that had
	// carried another request before.
	Unidentified bool
	Err          error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// DefaultMaxResponseHeaderBytes is the limit of a Pool that sets none.
const DefaultMaxResponseHeaderBytes = 256 << 10

// Pool sends requests and keeps idle connections per address for reuse. It never
// retries a request.
type Pool struct {
	// DialTimeout is the time limit for opening a connection.
	DialTimeout time.Duration
	// UserTimeout is the TCP user timeout of the connections: a connection fails
	// when written bytes are unacknowledged for longer. Zero keeps the kernel's
	// default.
	UserTimeout time.Duration
	// IdleTimeout is the age of an idle connection at which SweepIdleConns closes it.
	IdleTimeout time.Duration
	// MaxHeaderBytes is the largest header of a response in bytes, with all interim
	// responses before it. Zero means DefaultMaxResponseHeaderBytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest body of a response in bytes. Zero means no limit.
	MaxBodyBytes int64
	// ConnsOpened counts the connections that were opened.
	ConnsOpened atomic.Uint64

	idleByKey lazymap.Map[idleKey, idleStack]
}

// idleKey names the idle connections that a request may use.
type idleKey struct {
	addr string
	// checked is true for requests with AcceptResponse.
	checked bool
}

// idleStack holds the idle connections to one address, the latest on top. It is
// lock-free. Nodes are never reused, so a compare-and-swap of the head has no ABA
// problem.
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
	input     *limitedReader
	br        *bufio.Reader
	idleStack *idleStack
	idleSince time.Time
	// keepAliveTimeout is how long the server keeps an idle connection open, 0 when
	// it sent no Keep-Alive timeout.
	keepAliveTimeout time.Duration
	// gotStrayResponse is set after a response that belonged to another request.
	gotStrayResponse bool
	// reused is true when the connection has carried another request.
	reused bool
}

// keepAliveMargin is how long before the server's keep-alive timeout an idle
// connection is no longer used, so that no request is sent while the server closes
// the connection.
const keepAliveMargin = 1500 * time.Millisecond

// isReusable reports whether an idle connection can carry another request.
func (c *clientConn) isReusable(maxIdle time.Duration, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	if idle > maxIdle || (c.keepAliveTimeout > 0 && idle > c.keepAliveTimeout-keepAliveMargin) {
		return false
	}
	return c.br.Buffered() == 0 && isOpenAndIdle(c.netConn)
}

// getConn returns an idle connection or opens a new one.
func (p *Pool) getConn(ctx context.Context, key idleKey, maxIdle time.Duration) (*clientConn, error) {
	stack := p.idleByKey.Get(key)
	now := time.Now()
	for maxIdle > 0 {
		c := stack.pop()
		if c == nil {
			break
		}
		if c.isReusable(maxIdle, now) {
			c.reused = true
			return c, nil
		}
		_ = c.netConn.Close()
	}
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", key.addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	setUserTimeout(nc, p.UserTimeout)
	p.ConnsOpened.Add(1)
	input := &limitedReader{r: nc, remaining: -1}
	return &clientConn{netConn: nc, input: input, br: bufio.NewReaderSize(input, ioBufferBytes), idleStack: stack}, nil
}

// SweepIdleConns closes the connections that were idle for too long or that the
// server has closed. A controller calls it at intervals.
func (p *Pool) SweepIdleConns(now time.Time) {
	for _, stack := range p.idleByKey.All {
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
	}
}

// CloseIdleConns closes the idle connections to an address.
func (p *Pool) CloseIdleConns(addr string) {
	for _, checked := range [...]bool{false, true} {
		stack := p.idleByKey.Get(idleKey{addr, checked})
		for c := stack.pop(); c != nil; c = stack.pop() {
			_ = c.netConn.Close()
		}
	}
}

// Do sends a request once and reads the head of its response. The error is an
// *Error.
func (p *Pool) Do(ctx context.Context, addr string, req *ClientRequest) (*ClientResponse, error) {
	conn, err := p.getConn(ctx, idleKey{addr, req.AcceptResponse != nil}, req.MaxIdleTime)
	if err != nil {
		return nil, &Error{ConnRefused: isConnRefused(err), ConnClosed: isConnClosed(err), Err: err}
	}
	rt := &roundTrip{ctx: ctx, conn: conn, request: req, maxHeaderBytes: p.MaxHeaderBytes, maxBodyBytes: p.MaxBodyBytes}
	if rt.maxHeaderBytes <= 0 {
		rt.maxHeaderBytes = DefaultMaxResponseHeaderBytes
	}
	rt.stopCancelWatch = context.AfterFunc(ctx, func() { _ = conn.netConn.Close() })
	resp, err := rt.run()
	if err != nil {
		rt.stopCancelWatch()
		_ = conn.netConn.Close()
		return nil, &Error{
			RequestSent: rt.requestSent, ConnClosed: !rt.responseStarted && isConnClosed(err),
			ResponseTooLarge: errors.Is(err, errHeaderTooLarge) || errors.Is(err, errBodyTooLarge),
			Unidentified:     errors.Is(err, errUnidentified), Err: err,
		}
	}
	return resp, nil
}

// roundTrip is one request and its response on a connection.
type roundTrip struct {
	ctx     context.Context
	conn    *clientConn
	request *ClientRequest
	// maxHeaderBytes and maxBodyBytes are the limits of the Pool.
	maxHeaderBytes int
	maxBodyBytes   int64
	// stopCancelWatch cancels the function that closes the connection when ctx ends.
	// It returns false when ctx has already ended.
	stopCancelWatch func() bool
	// requestSent is set before the last bytes of the request are written.
	requestSent bool
	// bodyWritten receives the result of writing a body above maxInlineBodyBytes. It
	// is nil for smaller bodies, and once the result was received.
	bodyWritten chan error
	// writeErr is the error of a write beside the reads of the response.
	writeErr error
	// reusable is false when the connection must not carry another request.
	reusable bool
	// responseStarted is set when the first byte of a response arrives.
	responseStarted bool
}

// maxInlineBodyBytes is the largest body that is written before the response is
// read. A larger body is written concurrently, since a server may respond before it
// has read all of it.
const maxInlineBodyBytes = 16 << 10

func (rt *roundTrip) run() (*ClientResponse, error) {
	rt.reusable = true
	if err := rt.writeRequest(); err != nil {
		return nil, err
	}
	rt.conn.input.remaining = rt.maxHeaderBytes
	writtenAt := time.Now()
	for {
		if _, err := rt.conn.br.Peek(1); err != nil {
			return nil, errors.Annotate(err, "waiting for the response")
		}
		if !rt.responseStarted && rt.request.OnFirstResponse != nil {
			rt.request.OnFirstResponse(time.Since(writtenAt))
		}
		rt.responseStarted = true
		resp, err := http.ReadResponse(rt.conn.br, &http.Request{Method: rt.request.Method})
		if err != nil {
			if rt.conn.input.err == errHeaderTooLarge {
				err = errHeaderTooLarge
			}
			return nil, errors.Annotate(err, "reading the response header")
		}
		if IsInterimStatus(resp.StatusCode) {
			if err := rt.handleInterim(resp.StatusCode); err != nil {
				return nil, err
			}
			continue
		}
		accepted, err := rt.accept(resp.Header)
		if err != nil {
			return nil, err
		}
		if !accepted {
			if err := rt.discardStray(resp); err != nil {
				return nil, err
			}
			continue
		}
		if !IsFinalStatus(resp.StatusCode) {
			return nil, errors.Annotatef(errInvalidStatus, "status %03d", resp.StatusCode)
		}
		rt.conn.input.remaining = -1
		if rt.maxBodyBytes > 0 && resp.ContentLength > rt.maxBodyBytes {
			return nil, errors.Annotatef(errBodyTooLarge, "length %d", resp.ContentLength)
		}
		return rt.newResponse(resp), nil
	}
}

// errUnidentified is the error of a response that names no request, on a connection
// that has carried another request.
const errUnidentified = errors.ConstError("response without a request ID on a connection with an earlier request")

// accept reports whether a response belongs to the request.
func (rt *roundTrip) accept(header http.Header) (bool, error) {
	req := rt.request
	switch {
	case req.AcceptResponse == nil || req.AcceptResponse(header):
		return true, nil
	case req.IdentifiesNone == nil || !req.IdentifiesNone(header):
		return false, nil
	case rt.conn.reused:
		return false, errors.Trace(errUnidentified)
	}
	rt.reusable = false
	return true, nil
}

// maxStrayBodyBytes is the largest body of a response to another request that is
// read to find the response that follows it.
const maxStrayBodyBytes = 1 << 20

// discardStray reads and drops a response that belongs to another request. Its body
// does not count toward the limit of the header that is still to come.
func (rt *roundTrip) discardStray(resp *http.Response) error {
	rt.conn.gotStrayResponse = true
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("connection ends with the response to another request")
	}
	headerBytesLeft := rt.conn.input.remaining
	rt.conn.input.remaining = -1
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBodyBytes+1))
	rt.conn.input.remaining = headerBytesLeft
	if n > maxStrayBodyBytes {
		err = errBodyTooLarge
	}
	return errors.Annotate(err, "discarding the response to another request")
}

func (rt *roundTrip) handleInterim(status int) error {
	if rt.request.OnInterimResponse != nil {
		rt.request.OnInterimResponse(status)
	}
	if status != http.StatusContinue || !rt.request.ExpectContinue || rt.requestSent {
		return nil
	}
	rt.requestSent = true
	rest := rt.request.Body
	if rt.request.PaceBody != nil {
		for len(rest) > pacing.ChunkBytes {
			rt.request.PaceBody(pacing.ChunkBytes)
			var part bytes.Buffer
			_ = writeChunk(&part, rest[:pacing.ChunkBytes])
			if _, err := rt.conn.netConn.Write(part.Bytes()); err != nil {
				return errors.Annotate(err, "writing the request body")
			}
			rest = rest[pacing.ChunkBytes:]
		}
		rt.request.PaceBody(len(rest))
	}
	if len(rest) == 0 {
		_, err := io.WriteString(rt.conn.netConn, "0\r\n\r\n")
		return errors.Annotate(err, "writing the request body")
	}
	return errors.Annotate(writeLastChunk(rt.conn.netConn, rest), "writing the request body")
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
		return errors.Annotate(err, "writing the request header")
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

// writeTrackingSent writes bytes, and clears requestSent when none was written.
func (rt *roundTrip) writeTrackingSent(data []byte) error {
	n, err := rt.conn.netConn.Write(data)
	if n == 0 && err != nil {
		rt.requestSent = false
	}
	return errors.Annotate(err, "writing the request")
}

func (rt *roundTrip) newResponse(resp *http.Response) *ClientResponse {
	rt.reusable = rt.reusable && !resp.Close && !rt.conn.gotStrayResponse
	if rt.request.ExpectContinue && !rt.requestSent {
		// The final response came before a 100 response. An empty chunked body
		// completes the request, so that the connection can be reused.
		_, rt.writeErr = io.WriteString(rt.conn.netConn, "0\r\n\r\n")
		rt.reusable = rt.reusable && rt.writeErr == nil
	}
	if rt.bodyWritten != nil {
		select {
		case rt.writeErr = <-rt.bodyWritten:
			rt.bodyWritten = nil
			rt.reusable = rt.reusable && rt.writeErr == nil
		default:
			rt.reusable = false
		}
	}
	endsWithConn := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && bodyAllowed(rt.request.Method, resp.StatusCode)
	rt.reusable = rt.reusable && !endsWithConn
	rt.conn.keepAliveTimeout = keepAliveTimeout(resp.Header)
	return &ClientResponse{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, EndsWithConn: endsWithConn,
		Body: &responseBody{roundTrip: rt, body: resp.Body, endsWithConn: endsWithConn, complete: resp.ContentLength == 0 || !bodyAllowed(rt.request.Method, resp.StatusCode)},
	}
}

// responseBody returns the connection to the pool when it is closed after the
// complete body was read.
type responseBody struct {
	roundTrip *roundTrip
	body      io.ReadCloser
	// endsWithConn is that of ClientResponse.
	endsWithConn bool
	complete     bool
	bytesRead    int64
	closed       atomic.Bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.bytesRead += int64(n)
	if limit := b.roundTrip.maxBodyBytes; limit > 0 && b.bytesRead > limit {
		return 0, errBodyTooLarge
	}
	if err == io.EOF && b.endsWithConn {
		if lost := b.roundTrip.connLost(); lost != nil {
			return n, errors.Annotatef(io.ErrUnexpectedEOF, "connection lost while the request was written: %v", lost)
		}
	}
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// connLost returns the error with which the connection was lost, after the end of the
// stream was read, or nil if the server has closed it in order. The kernel reports the
// loss of a connection once. If a write received it, a read sees an ordinary end.
func (rt *roundTrip) connLost() error {
	if rt.bodyWritten != nil {
		// A server that has answered may never read the rest of the body. A write that
		// has received an error returns it in spite of the deadline.
		_ = rt.conn.netConn.SetWriteDeadline(time.Unix(1, 0))
		rt.writeErr, rt.bodyWritten = <-rt.bodyWritten, nil
	}
	if errors.Is(rt.writeErr, os.ErrDeadlineExceeded) || errors.Is(rt.writeErr, syscall.EPIPE) {
		// EPIPE: the server has closed its sending side before it ended the connection.
		return nil
	}
	return rt.writeErr
}

// Close returns the connection to the pool, or closes it when it cannot be reused.
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
