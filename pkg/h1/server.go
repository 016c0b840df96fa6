package h1

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/decide/idle"
	"mangostand.example/mangostand/pkg/guard"
)

// Limits bounds the size and the duration of requests.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// ReadHeaderTimeout is the time limit from the first byte of a request to the
	// end of its header.
	ReadHeaderTimeout time.Duration
}

const (
	// maxPipelinedRequests bounds the requests of a connection that are read while
	// responses to earlier ones are still to be written.
	maxPipelinedRequests = 64
	// readBodyTimeout is the time limit for a request body, in addition to
	// Limits.ReadHeaderTimeout.
	readBodyTimeout = 30 * time.Second
	// writeTimeout is the time limit for a caller to read a response.
	writeTimeout = 30 * time.Second
	// lingerTimeout is the time that a caller has to read the last response before
	// the connection is closed. Closing a socket with unread bytes resets the
	// connection, which can destroy that response.
	lingerTimeout = 500 * time.Millisecond
	// acceptRetryDelay is the pause after a failed Accept, in which connections can
	// end and free their descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler responds to a request. The context ends when the caller disconnects.
// Pipelined requests of a connection are handled concurrently; their responses are
// written in the order of the requests.
type Handler func(ctx context.Context, r *Request) *Response

// BodyBudget bounds the bytes of request bodies that are held in memory.
type BodyBudget interface {
	// Reserve counts a body of a size and reports whether there is room for it.
	Reserve(size int64) bool
	Release(size int64)
}

// Server accepts connections and passes their requests to a handler.
type Server struct {
	Handler Handler
	// Limits is called once for each request, so that the limits can change.
	Limits func() Limits
	// IdleTimeout returns how long a connection that has been idle since a time may
	// stay open. It is called again when that time has passed, so that a longer
	// timeout applies to connections that are idle already.
	IdleTimeout func(since time.Time) time.Duration
	// MaxConns is the number of open connections above which those that have been
	// idle for longest are closed; 0 means no limit.
	MaxConns int
	// ManualContinue leaves the 100 response to the handler, which calls SendInterim
	// and AwaitBody for requests with Expect: 100-continue. It is set on the listener
	// for other nodes.
	ManualContinue bool
	// Bodies bounds the bytes of the request bodies that are held, nil for no bound.
	// Servers can share it.
	Bodies BodyBudget
	// RefuseBody responds to a request whose body Bodies has no room for. nil responds
	// with status 503 only.
	RefuseBody func(r *Request) *Response
	Log        zerolog.Logger

	mu             sync.Mutex
	conns          map[*serverConn]struct{}
	draining       atomic.Bool
	activeRequests atomic.Int64
}

// Serve accepts connections until the listener is closed. When the process or the
// machine has no descriptors or buffers left, it closes idle connections and goes
// on after a pause.
func (s *Server) Serve(listener net.Listener) error {
	for {
		nc, err := listener.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isShortage(err):
			open := s.openConns()
			closed := s.closeLongestIdle(open - 1)
			s.Log.Warn().Err(err).Str("event", "accept_failed").Int("open", open).Int("closed_idle", closed).Send()
			time.Sleep(acceptRetryDelay)
		case errors.Is(err, syscall.ECONNABORTED), isTimeout(err):
			// The connection ended before it was accepted.
		default:
			return errors.Annotate(err, "accepting connections")
		}
	}
}

// isShortage reports whether an error of Accept means that descriptors or buffers are
// short, so that a later Accept can succeed.
func isShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

func (s *Server) startConn(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &serverConn{
		server: s, netConn: nc, ctx: ctx, cancel: cancel, openedAt: time.Now(),
		responses: make(chan *pendingResponse, maxPipelinedRequests),
	}
	c.input = &limitedReader{r: nc, remaining: -1}
	c.br = bufio.NewReaderSize(c.input, ioBufferBytes)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	open := len(s.conns)
	s.mu.Unlock()
	go c.readLoop()
	go c.writeLoop()
	if s.MaxConns > 0 && open > s.MaxConns {
		if closed := s.closeLongestIdle(s.MaxConns); closed > 0 {
			s.Log.Warn().Str("event", "idle_conns_closed").Int("open", open).Int("limit", s.MaxConns).Int("closed_idle", closed).Send()
		}
	}
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// openConns returns the number of open connections.
func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// listConns returns the open connections.
func (s *Server) listConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// closeLongestIdle closes idle connections while more than limit are open and
// returns how many it has closed.
func (s *Server) closeLongestIdle(limit int) int {
	conns := s.listConns()
	states := make([]idle.Conn, len(conns))
	for i, c := range conns {
		since, isIdle := c.idleSince()
		states[i] = idle.Conn{Since: since, Busy: !isIdle}
	}
	closed := 0
	for _, i := range idle.Evict(states, limit) {
		if conns[i].stopIfIdle() {
			conns[i].close()
			closed++
		}
	}
	return closed
}

// Drain makes each connection stop reading requests at its next response, and close
// after the responses to the requests that it has read.
func (s *Server) Drain() { s.draining.Store(true) }

// ActiveRequests returns the number of requests that have no complete response yet.
func (s *Server) ActiveRequests() int { return int(s.activeRequests.Load()) }

// CloseIdleConns closes the idle connections and returns how many other ones are
// open.
func (s *Server) CloseIdleConns() int {
	remaining := 0
	for _, c := range s.listConns() {
		if c.stopIfIdle() {
			c.close()
		} else {
			remaining++
		}
	}
	return remaining
}

// ioBufferBytes is the size of the read and write buffers of a connection. The
// header of a typical request fits in it.
const ioBufferBytes = 4 << 10

// serverConn is a connection from a caller. One goroutine reads requests, one
// writes responses, and each request is handled on a goroutine of its own.
type serverConn struct {
	server    *Server
	netConn   net.Conn
	input     *limitedReader
	br        *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	openedAt  time.Time
	responses chan *pendingResponse

	mu sync.Mutex
	// unanswered is the number of requests that were read and have no complete
	// response yet.
	unanswered int
	// receiving means that a request is being read.
	receiving bool
	// stopped means that no further request is accepted.
	stopped bool
	// lingering means that the last response was written; see linger.
	lingering bool
	// lastResponseAt is when the latest request was answered.
	lastResponseAt time.Time
}

// pendingResponse is the slot of a response in the write order of a connection.
type pendingResponse struct {
	// interim is set for a 100 response, which tells the caller to send the body of the
	// request that is being read. Its other fields are not used.
	interim bool
	// bodyReceived is set when the body has arrived, so that no 100 response is needed.
	bodyReceived atomic.Bool

	// request is nil for a request that could not be read.
	request    *Request
	method     string
	response   chan *Response
	closeAfter bool
}

// releaseBody releases the memory of the request body.
func (p *pendingResponse) releaseBody() {
	if p.request != nil {
		p.request.releaseBody()
	}
}

func (c *serverConn) close() {
	c.cancel()
	_ = c.netConn.Close()
}

// beginRequest counts a request that was read. It returns false when the connection
// accepts no more requests.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.unanswered++
	c.receiving = false
	c.server.activeRequests.Add(1)
	return true
}

func (c *serverConn) endRequest() {
	c.mu.Lock()
	c.unanswered--
	c.lastResponseAt = time.Now()
	c.mu.Unlock()
	c.server.activeRequests.Add(-1)
}

// isLastResponse reports whether the connection closes after the response that is
// about to be written. It stops the connection if the response requires that or the
// server is draining.
func (c *serverConn) isLastResponse(p *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.closeAfter || c.server.draining.Load() {
		c.stopped = true
	}
	return c.stopped && c.unanswered == 1
}

// isIdle reports whether no request is unanswered or being received. The caller
// holds mu.
func (c *serverConn) isIdle() bool { return c.unanswered == 0 && !c.receiving }

// startReceiving records that a request is being read.
func (c *serverConn) startReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = true
}

// stopReceiving records that a request has been read that was not dispatched.
func (c *serverConn) stopReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// stopIfIdle stops the connection if it is idle, and reports whether it did.
func (c *serverConn) stopIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() {
		return false
	}
	c.stopped = true
	return true
}

// idleSince returns the time of the latest response, or that of the start of the
// connection, and whether the connection is idle.
func (c *serverConn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastResponseAt.IsZero() {
		return c.openedAt, c.isIdle()
	}
	return c.lastResponseAt, c.isIdle()
}

// isStopped reports whether no further request is accepted.
func (c *serverConn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// setReadDeadline sets the time limit of reads. The limit of a connection that
// lingers stays.
func (c *serverConn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingering {
		_ = c.netConn.SetReadDeadline(deadline)
	}
}

// readLoop reads requests until the connection ends or is stopped. The disconnect
// of the caller cancels the requests that are being handled.
func (c *serverConn) readLoop() {
	defer close(c.responses)
	for c.readRequest() {
	}
	if c.ctx.Err() != nil {
		return
	}
	// Keeps reading without accepting requests, to detect when the caller
	// disconnects, and because closing a socket with unread bytes would reset the
	// connection and could destroy the last response.
	c.setReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.netConn)
	c.cancel()
}

// readRequest reads one request and reports whether another one may follow.
func (c *serverConn) readRequest() bool {
	if !c.awaitFirstByte() {
		return false
	}
	c.startReceiving()
	limits := c.server.Limits()
	received := time.Now()
	c.input.remaining = max(1, limits.MaxHeaderBytes-c.br.Buffered())
	c.setReadDeadline(received.Add(limits.ReadHeaderTimeout))
	parsed, err := http.ReadRequest(c.br)
	c.input.remaining = -1
	if err != nil {
		if c.input.err != nil {
			err = c.input.err
		}
		return c.rejectRequest(statusForReadError(err))
	}
	c.setReadDeadline(received.Add(limits.ReadHeaderTimeout + readBodyTimeout))
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header,
		ReceivedAt: received, conn: c,
	}
	closeAfter := parsed.Close
	expects, known := expectation(parsed)
	if !known {
		return c.rejectRequest(http.StatusExpectationFailed)
	}
	if expects && c.server.ManualContinue {
		return c.dispatchBeforeBody(r, parsed, limits, closeAfter)
	}
	if expects && parsed.ContentLength > int64(limits.MaxBodyBytes) {
		return c.rejectRequest(http.StatusRequestEntityTooLarge)
	}
	if size := parsed.ContentLength; size > 0 && size <= int64(limits.MaxBodyBytes) && !r.ReserveBody(size) {
		return c.refuseBody(r, parsed, expects, closeAfter)
	}
	var interim pendingResponse
	if expects && parsed.ContentLength != 0 && c.br.Buffered() == 0 {
		// The body may take as long as the responses to earlier requests.
		c.setReadDeadline(time.Time{})
		interim.interim = true
		c.responses <- &interim
	}
	body, status, err := readBody(r, parsed, limits.MaxBodyBytes)
	interim.bodyReceived.Store(true)
	if err != nil || status != 0 {
		r.releaseBody()
		if errors.Is(err, ErrBodyRefused) {
			return c.refuseBody(r, parsed, expects, closeAfter)
		}
		if status == 0 {
			return c.handleDisconnect()
		}
		return c.rejectRequest(status)
	}
	r.Body = body
	return c.dispatch(r, closeAfter) && !closeAfter
}

// expectation returns whether a request waits for a 100 response before it sends its
// body, and whether its expectation is known. HTTP/1.0 has no expectations (RFC 9110,
// section 10.1.1).
func expectation(r *http.Request) (expectsContinue, known bool) {
	value := r.Header.Get("Expect")
	if value == "" || !r.ProtoAtLeast(1, 1) {
		return false, true
	}
	expectsContinue = strings.EqualFold(value, "100-continue")
	return expectsContinue, expectsContinue
}

// awaitFirstByte waits for the first byte of the next request. It returns false
// when the connection has ended or is stopped, or was idle for too long. In the last
// case it closes the connection, so that the caller learns that a request which it
// sends now is not read.
func (c *serverConn) awaitFirstByte() bool {
	for c.br.Buffered() == 0 {
		since, isIdle := c.idleSince()
		timeout := c.server.IdleTimeout(since)
		switch {
		case !isIdle:
			since = time.Now()
		case time.Since(since) >= timeout && c.stopIfIdle():
			c.server.Log.Debug().Str("event", "idle_conn_closed").Dur("timeout", timeout).Send()
			c.linger()
			return false
		}
		c.setReadDeadline(since.Add(timeout))
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) {
			return c.handleDisconnect()
		}
		if c.isStopped() {
			return false
		}
	}
	return true
}

// handleDisconnect cancels the requests of the connection after the caller has
// disconnected, unless the connection is already stopped. It returns false.
func (c *serverConn) handleDisconnect() bool {
	if !c.isStopped() {
		c.cancel()
	}
	return false
}

// rejectRequest responds to a request that could not be read, and makes this the
// last response of the connection. It returns false.
func (c *serverConn) rejectRequest(status int) bool {
	if status == 0 {
		return c.handleDisconnect()
	}
	if c.beginRequest() {
		p := &pendingResponse{method: http.MethodGet, response: make(chan *Response, 1), closeAfter: true}
		p.response <- &Response{Status: status, BufferedBody: []byte(http.StatusText(status) + "\n")}
		c.responses <- p
	}
	return false
}

// refuseBody responds to a request whose body cannot be held, and discards the body. It
// reports whether another request may follow.
func (c *serverConn) refuseBody(r *Request, parsed *http.Request, expects, closeAfter bool) bool {
	// A caller that waits for a 100 response may send the body or not, so that the start
	// of the next request is not known.
	if !expects && closeAfter {
		// The connection lingers only briefly after its last response.
		if _, err := io.Copy(io.Discard, parsed.Body); err != nil {
			return c.handleDisconnect()
		}
	}
	if !c.beginRequest() {
		return false
	}
	response := &Response{Status: http.StatusServiceUnavailable}
	if c.server.RefuseBody != nil {
		response = c.server.RefuseBody(r)
	}
	p := &pendingResponse{method: r.Method, response: make(chan *Response, 1), closeAfter: expects || closeAfter}
	p.response <- response
	c.responses <- p
	if p.closeAfter {
		return false
	}
	c.startReceiving()
	if _, err := io.Copy(io.Discard, parsed.Body); err != nil {
		return c.handleDisconnect()
	}
	c.stopReceiving()
	return true
}

func (c *serverConn) dispatch(r *Request, closeAfter bool) bool {
	if !c.beginRequest() {
		r.releaseBody()
		return false
	}
	p := &pendingResponse{request: r, method: r.Method, response: make(chan *Response, 1), closeAfter: closeAfter}
	c.responses <- p
	go func() {
		defer guard.Recover(c.server.Log, "request handler", func() {
			p.response <- &Response{Status: http.StatusInternalServerError, BufferedBody: []byte("internal error\n")}
		})
		p.response <- c.server.Handler(c.ctx, r)
	}()
	return true
}

// dispatchBeforeBody passes a request to the handler before its body is received,
// then reads the body.
func (c *serverConn) dispatchBeforeBody(r *Request, parsed *http.Request, limits Limits, closeAfter bool) bool {
	r.awaitedBody = make(chan []byte, 1)
	if !c.dispatch(r, closeAfter) {
		return false
	}
	body, status, err := readBody(r, parsed, limits.MaxBodyBytes)
	if err != nil || status != 0 {
		return c.handleDisconnect()
	}
	r.awaitedBody <- body
	return !closeAfter
}

// writeLoop writes the responses in the order of their requests.
func (c *serverConn) writeLoop() {
	defer c.server.removeConn(c)
	defer c.close()
	w := bufio.NewWriterSize(c.netConn, ioBufferBytes)
	for p := range c.responses {
		if !c.writeNext(w, p) {
			for p := range c.responses {
				c.discardResponse(p)
			}
			return
		}
	}
}

// writeContinue writes a 100 response and limits the time for the body that follows. It
// reports whether another response may follow.
func (c *serverConn) writeContinue() bool {
	if c.ctx.Err() != nil || c.sendInterim(http.StatusContinue) != nil {
		c.close()
		return false
	}
	c.setReadDeadline(time.Now().Add(readBodyTimeout))
	return true
}

// writeNext writes one response and reports whether another one may follow. It
// counts the request as answered before it closes the connection.
func (c *serverConn) writeNext(w *bufio.Writer, p *pendingResponse) bool {
	if p.interim {
		return p.bodyReceived.Load() || c.writeContinue()
	}
	resp := <-p.response
	closeAfter := c.isLastResponse(p)
	sent := c.sendResponse(w, p, resp, closeAfter)
	p.releaseBody()
	c.endRequest()
	switch {
	case !sent:
		c.close()
	case closeAfter:
		c.linger()
	}
	return sent && !closeAfter
}

func (c *serverConn) sendResponse(w *bufio.Writer, p *pendingResponse, resp *Response, closeAfter bool) bool {
	if resp.Body != nil {
		defer resp.Body.Close()
	}
	if resp.Abort {
		c.server.Log.Warn().Str("event", "answer_cut").Str("method", p.method).Msg("handler aborted the response")
		return false
	}
	if c.ctx.Err() != nil {
		return false
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeResponse(w, p.method, resp, closeAfter); err != nil {
		c.server.Log.Warn().Err(err).Str("event", "answer_cut").Str("method", p.method).Int("status", resp.Status).
			Int64("length", resp.ContentLength).Bool("caller_left", c.ctx.Err() != nil).Send()
		return false
	}
	return true
}

// discardResponse waits for the response to a request whose connection has ended,
// and drops it.
func (c *serverConn) discardResponse(p *pendingResponse) {
	if p.interim {
		return
	}
	resp := <-p.response
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	p.releaseBody()
	c.endRequest()
}

// linger closes the sending side of the connection and limits how long the reader
// waits for the caller to close the other side.
func (c *serverConn) linger() {
	if closer, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// sendInterim writes an interim (1xx) response.
func (c *serverConn) sendInterim(status int) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	text := "HTTP/1.1 " + formatStatus(status) + "\r\n\r\n"
	_, err := io.WriteString(c.netConn, text)
	return errors.Trace(err)
}

// SendInterim writes an interim (1xx) response. Only handlers of connections without
// pipelining may call it, since it does not wait for the responses to earlier
// requests.
func (r *Request) SendInterim(status int) error { return r.conn.sendInterim(status) }

// AwaitsContinue reports whether the caller waits for a 100 response before it sends
// the body.
func (r *Request) AwaitsContinue() bool { return r.awaitedBody != nil }

// AwaitBody waits for the body of a request after SendInterim has sent the 100
// response.
func (r *Request) AwaitBody(ctx context.Context, timeout time.Duration) ([]byte, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case body := <-r.awaitedBody:
		return body, nil
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-timer.C:
		return nil, errors.New("timed out waiting for the request body")
	}
}
