package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes and BodyBytes are the largest header and body.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// ReadHeaderTimeout bounds the time from the first byte of a request to the end
	// of its header.
	ReadHeaderTimeout time.Duration
	// IdleTimeout closes a connection without requests.
	IdleTimeout time.Duration
}

const (
	// maxPipelinedRequests bounds the requests of one connection that are read ahead of
	// the first unanswered one.
	maxPipelinedRequests = 64
	// readBodyTimeout bounds the time for a body once its header was read.
	readBodyTimeout = 30 * time.Second
	// writeTimeout bounds the time that a caller takes to read one answer.
	writeTimeout = 30 * time.Second
	// lingerTimeout is left to a caller to read the last answer before a
	// connection with unread bytes is closed, which would reset it.
	lingerTimeout = 500 * time.Millisecond
)

// Handler answers one request. The context ends when the caller has gone.
// Requests of one connection are handled concurrently and answered in order.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections and passes their requests to a handler.
type Server struct {
	Handler Handler
	// Limits is asked once for each request, so that it may change.
	Limits func() Limits
	// ManualContinue lets the handler release requests with Expect: 100-continue itself
	// by Interim and AwaitBody. It is used between nodes.
	ManualContinue bool
	Log            zerolog.Logger

	mu             sync.Mutex
	conns          map[*serverConn]struct{}
	draining       atomic.Bool
	activeRequests atomic.Int64
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		nc, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			return errors.Annotate(err, "accepting connections")
		}
		s.startConn(nc)
	}
}

func (s *Server) startConn(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &serverConn{
		server: s, netConn: nc, ctx: ctx, cancel: cancel,
		responses: make(chan *pendingResponse, maxPipelinedRequests),
	}
	c.input = &limitedReader{r: nc, remaining: -1}
	c.br = bufio.NewReaderSize(c.input, ioBufferBytes)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.readLoop()
	go c.writeLoop()
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drain ends each connection: with its next answer it stops to read requests,
// and it closes after the last answer that is due.
func (s *Server) Drain() { s.draining.Store(true) }

// ActiveRequests returns the number of requests that are not answered yet.
func (s *Server) ActiveRequests() int { return int(s.activeRequests.Load()) }

// CloseIdleConns closes the connections on which no answer is due and returns how
// many connections are left.
func (s *Server) CloseIdleConns() int {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	remaining := 0
	for _, c := range conns {
		if c.stopWhenIdle() {
			c.close()
		} else {
			remaining++
		}
	}
	return remaining
}

// ioBufferBytes holds the header of a usual request, in bytes.
const ioBufferBytes = 4 << 10

// serverConn is one connection of a caller. One goroutine reads requests, one
// writes answers, and each request is handled on a goroutine of its own.
type serverConn struct {
	server    *Server
	netConn   net.Conn
	input     *limitedReader
	br        *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	responses chan *pendingResponse

	mu sync.Mutex
	// unanswered counts the requests that were read and not answered yet.
	unanswered int
	// stopped means that no further request is taken.
	stopped bool
	// lingering means that the last answer was written.
	lingering bool
	// lastResponseAt is when pending fell to zero.
	lastResponseAt time.Time
}

// pendingResponse is the place of one answer in the order of a connection.
type pendingResponse struct {
	method     string
	response   chan *Response
	closeAfter bool
}

func (c *serverConn) close() {
	c.cancel()
	_ = c.netConn.Close()
}

// beginRequest counts a request that was read. It returns false when the connection
// takes none any more.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.unanswered++
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

// closesAfter decides whether the answer that is about to be written closes the
// connection, and stops the connection if so.
func (c *serverConn) closesAfter(p *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.closeAfter || c.server.draining.Load() {
		c.stopped = true
	}
	return c.stopped && c.unanswered == 1
}

func (c *serverConn) stopWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 {
		return false
	}
	c.stopped = true
	return true
}

func (c *serverConn) idleSince(start time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastResponseAt.After(start) {
		return c.lastResponseAt, c.unanswered == 0
	}
	return start, c.unanswered == 0
}

// readLoop parses requests until the connection ends. Its end cancels the requests
// that are being handled, unless the server itself has stopped the connection.
func (c *serverConn) readLoop() {
	defer close(c.responses)
	for c.readRequest() {
	}
	if c.ctx.Err() != nil {
		return
	}
	// Reads on without taking requests: the end of the caller cancels what it
	// still waits for, and bytes left unread would reset the last answer.
	c.mu.Lock()
	if !c.lingering {
		_ = c.netConn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.netConn)
	c.cancel()
}

// readRequest reads one request and reports whether another one may follow.
func (c *serverConn) readRequest() bool {
	limits := c.server.Limits()
	if !c.awaitFirstByte(limits) {
		return false
	}
	received := time.Now()
	c.input.remaining = max(1, limits.MaxHeaderBytes-c.br.Buffered())
	_ = c.netConn.SetReadDeadline(received.Add(limits.ReadHeaderTimeout))
	parsed, err := http.ReadRequest(c.br)
	c.input.remaining = -1
	if err != nil {
		if c.input.err != nil {
			err = c.input.err
		}
		return c.rejectRequest(statusForReadError(err))
	}
	_ = c.netConn.SetReadDeadline(received.Add(limits.ReadHeaderTimeout + readBodyTimeout))
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header,
		ReceivedAt: received, conn: c,
	}
	closeAfter := parsed.Close
	expects := parsed.Header.Get("Expect") != ""
	if expects && c.server.ManualContinue {
		return c.dispatchBeforeBody(r, parsed, limits, closeAfter)
	}
	if expects {
		if err := c.sendInterim(http.StatusContinue); err != nil {
			return c.handleDisconnect()
		}
	}
	body, status, err := readBody(parsed, limits.MaxBodyBytes)
	if err != nil || status != 0 {
		if status == 0 {
			return c.handleDisconnect()
		}
		return c.rejectRequest(status)
	}
	r.Body = body
	return c.dispatch(r, closeAfter) && !closeAfter
}

// awaitFirstByte waits for the next request. It returns false when the
// connection has ended or was idle for too long.
func (c *serverConn) awaitFirstByte(limits Limits) bool {
	start := time.Now()
	for {
		if c.br.Buffered() > 0 {
			return true
		}
		_ = c.netConn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			return c.handleDisconnect()
		}
		since, idle := c.idleSince(start)
		if idle && time.Since(since) >= limits.IdleTimeout && c.stopWhenIdle() {
			return false
		}
	}
}

// handleDisconnect ends the connection because the caller has left.
func (c *serverConn) handleDisconnect() bool {
	c.mu.Lock()
	stopped := c.stopped
	c.mu.Unlock()
	if !stopped {
		c.cancel()
	}
	return false
}

// rejectRequest answers a request that could not be read and ends the connection.
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

func (c *serverConn) dispatch(r *Request, closeAfter bool) bool {
	if !c.beginRequest() {
		return false
	}
	p := &pendingResponse{method: r.Method, response: make(chan *Response, 1), closeAfter: closeAfter}
	c.responses <- p
	go func() { p.response <- c.server.Handler(c.ctx, r) }()
	return true
}

// dispatchBeforeBody hands a request to the handler before its body was sent, then
// reads the body.
func (c *serverConn) dispatchBeforeBody(r *Request, parsed *http.Request, limits Limits, closeAfter bool) bool {
	r.heldBody = make(chan []byte, 1)
	if !c.dispatch(r, closeAfter) {
		return false
	}
	body, status, err := readBody(parsed, limits.MaxBodyBytes)
	if err != nil || status != 0 {
		return c.handleDisconnect()
	}
	r.heldBody <- body
	return !closeAfter
}

// writeLoop sends the answers in the order of their requests.
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

// writeNext sends one answer and reports whether another one may follow. The
// request counts as answered before the caller can see the connection end.
func (c *serverConn) writeNext(w *bufio.Writer, p *pendingResponse) bool {
	resp := <-p.response
	closeAfter := c.closesAfter(p)
	sent := c.sendResponse(w, p, resp, closeAfter)
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
		c.server.Log.Warn().Str("event", "answer_cut").Str("method", p.method).Msg("no answer can be given")
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

// discardResponse waits for the answer of a request whose connection has ended.
func (c *serverConn) discardResponse(p *pendingResponse) {
	resp := <-p.response
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	c.endRequest()
}

// linger ends the sending side and bounds the time in which the reader waits
// for the caller to close.
func (c *serverConn) linger() {
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// sendInterim sends an informational answer.
func (c *serverConn) sendInterim(status int) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	text := "HTTP/1.1 " + formatStatus(status) + "\r\n\r\n"
	_, err := io.WriteString(c.netConn, text)
	return errors.Trace(err)
}

// SendInterim sends an informational answer before the final one. Only a handler
// of a connection without pipelining may call it.
func (r *Request) SendInterim(status int) error { return r.conn.sendInterim(status) }

// AwaitsContinue reports whether the caller waits for Interim before it sends the body.
func (r *Request) AwaitsContinue() bool { return r.heldBody != nil }

// AwaitBody returns the body of a held request after Interim has released it.
func (r *Request) AwaitBody(ctx context.Context, timeout time.Duration) ([]byte, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case body := <-r.heldBody:
		return body, nil
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-timer.C:
		return nil, errors.New("the sender did not follow with the body")
	}
}
