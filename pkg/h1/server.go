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
	// maxPipelined bounds the requests of one connection that are read ahead of
	// the first unanswered one.
	maxPipelined = 64
	// bodyTimeout bounds the time for a body once its header was read.
	bodyTimeout = 30 * time.Second
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

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining atomic.Bool
	active   atomic.Int64
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
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &serverConn{
		server: s, nc: nc, ctx: ctx, cancel: cancel,
		slots: make(chan *slot, maxPipelined),
	}
	c.input = &limitedReader{r: nc, left: -1}
	c.br = bufio.NewReaderSize(c.input, readBufferSize)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.read()
	go c.write()
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drain ends each connection: with its next answer it stops to read requests,
// and it closes after the last answer that is due.
func (s *Server) Drain() { s.draining.Store(true) }

// ActiveRequests returns the number of requests that are not answered yet.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// CloseIdleConns closes the connections on which no answer is due and returns how
// many connections are left.
func (s *Server) CloseIdleConns() int {
	s.mu.Lock()
	open := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	left := 0
	for _, c := range open {
		if c.stopWhenIdle() {
			c.close()
		} else {
			left++
		}
	}
	return left
}

// readBufferSize holds the header of a usual request, in bytes.
const readBufferSize = 4 << 10

// serverConn is one connection of a caller. One goroutine reads requests, one
// writes answers, and each request is handled on a goroutine of its own.
type serverConn struct {
	server *Server
	nc     net.Conn
	input  *limitedReader
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan *slot

	mu sync.Mutex
	// pending counts the requests that were read and not answered yet.
	pending int
	// stopped means that no further request is taken.
	stopped bool
	// lingering means that the last answer was written.
	lingering bool
	// lastEnd is when pending fell to zero.
	lastEnd time.Time
}

// slot is the place of one answer in the order of a connection.
type slot struct {
	method string
	answer chan *Response
	last   bool
}

func (c *serverConn) close() {
	c.cancel()
	_ = c.nc.Close()
}

// admit counts a request that was read. It returns false when the connection
// takes none any more.
func (c *serverConn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.pending++
	c.server.active.Add(1)
	return true
}

func (c *serverConn) done() {
	c.mu.Lock()
	c.pending--
	c.lastEnd = time.Now()
	c.mu.Unlock()
	c.server.active.Add(-1)
}

// isLast decides whether the answer that is about to be written closes the
// connection, and stops the connection if so.
func (c *serverConn) isLast(s *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.last || c.server.draining.Load() {
		c.stopped = true
	}
	return c.stopped && c.pending == 1
}

func (c *serverConn) stopWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return false
	}
	c.stopped = true
	return true
}

func (c *serverConn) idleSince(start time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastEnd.After(start) {
		return c.lastEnd, c.pending == 0
	}
	return start, c.pending == 0
}

// read parses requests until the connection ends. Its end cancels the requests
// that are being handled, unless the server itself has stopped the connection.
func (c *serverConn) read() {
	defer close(c.slots)
	for c.readOne() {
	}
	if c.ctx.Err() != nil {
		return
	}
	// Reads on without taking requests: the end of the caller cancels what it
	// still waits for, and bytes left unread would reset the last answer.
	c.mu.Lock()
	if !c.lingering {
		_ = c.nc.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.nc)
	c.cancel()
}

// readOne reads one request and reports whether another one may follow.
func (c *serverConn) readOne() bool {
	limits := c.server.Limits()
	if !c.awaitFirstByte(limits) {
		return false
	}
	received := time.Now()
	c.input.left = max(1, limits.MaxHeaderBytes-c.br.Buffered())
	_ = c.nc.SetReadDeadline(received.Add(limits.ReadHeaderTimeout))
	parsed, err := http.ReadRequest(c.br)
	c.input.left = -1
	if err != nil {
		if c.input.err != nil {
			err = c.input.err
		}
		return c.refuse(statusOfReadError(err))
	}
	_ = c.nc.SetReadDeadline(received.Add(limits.ReadHeaderTimeout + bodyTimeout))
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header,
		ReceivedAt: received, conn: c,
	}
	last := parsed.Close
	expects := parsed.Header.Get("Expect") != ""
	if expects && c.server.ManualContinue {
		return c.dispatchHeld(r, parsed, limits, last)
	}
	if expects {
		if err := c.interim(http.StatusContinue); err != nil {
			return c.gone()
		}
	}
	body, status, err := readBody(parsed, limits.MaxBodyBytes)
	if err != nil || status != 0 {
		if status == 0 {
			return c.gone()
		}
		return c.refuse(status)
	}
	r.Body = body
	return c.dispatch(r, last) && !last
}

// awaitFirstByte waits for the next request. It returns false when the
// connection has ended or was idle for too long.
func (c *serverConn) awaitFirstByte(limits Limits) bool {
	start := time.Now()
	for {
		if c.br.Buffered() > 0 {
			return true
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			return c.gone()
		}
		since, idle := c.idleSince(start)
		if idle && time.Since(since) >= limits.IdleTimeout && c.stopWhenIdle() {
			return false
		}
	}
}

// gone ends the connection because the caller has left.
func (c *serverConn) gone() bool {
	c.mu.Lock()
	stopped := c.stopped
	c.mu.Unlock()
	if !stopped {
		c.cancel()
	}
	return false
}

// refuse answers a request that could not be read and ends the connection.
func (c *serverConn) refuse(status int) bool {
	if status == 0 {
		return c.gone()
	}
	if c.admit() {
		s := &slot{method: http.MethodGet, answer: make(chan *Response, 1), last: true}
		s.answer <- &Response{Status: status, BufferedBody: []byte(http.StatusText(status) + "\n")}
		c.slots <- s
	}
	return false
}

func (c *serverConn) dispatch(r *Request, last bool) bool {
	if !c.admit() {
		return false
	}
	s := &slot{method: r.Method, answer: make(chan *Response, 1), last: last}
	c.slots <- s
	go func() { s.answer <- c.server.Handler(c.ctx, r) }()
	return true
}

// dispatchHeld hands a request to the handler before its body was sent, then
// reads the body.
func (c *serverConn) dispatchHeld(r *Request, parsed *http.Request, limits Limits, last bool) bool {
	r.body = make(chan []byte, 1)
	if !c.dispatch(r, last) {
		return false
	}
	body, status, err := readBody(parsed, limits.MaxBodyBytes)
	if err != nil || status != 0 {
		return c.gone()
	}
	r.body <- body
	return !last
}

// write sends the answers in the order of their requests.
func (c *serverConn) write() {
	defer c.server.forget(c)
	defer c.close()
	w := bufio.NewWriterSize(c.nc, readBufferSize)
	for s := range c.slots {
		if !c.writeOne(w, s) {
			for s := range c.slots {
				c.drop(s)
			}
			return
		}
	}
}

// writeOne sends one answer and reports whether another one may follow. The
// request counts as answered before the caller can see the connection end.
func (c *serverConn) writeOne(w *bufio.Writer, s *slot) bool {
	answer := <-s.answer
	last := c.isLast(s)
	sent := c.send(w, s, answer, last)
	c.done()
	switch {
	case !sent:
		c.close()
	case last:
		c.linger()
	}
	return sent && !last
}

func (c *serverConn) send(w *bufio.Writer, s *slot, answer *Response, last bool) bool {
	if answer.Body != nil {
		defer answer.Body.Close()
	}
	if answer.Broken {
		c.server.Log.Warn().Str("event", "answer_cut").Str("method", s.method).Msg("no answer can be given")
		return false
	}
	if c.ctx.Err() != nil {
		return false
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeResponse(w, s.method, answer, last); err != nil {
		c.server.Log.Warn().Err(err).Str("event", "answer_cut").Str("method", s.method).Int("status", answer.Status).
			Int64("length", answer.ContentLength).Bool("caller_left", c.ctx.Err() != nil).Send()
		return false
	}
	return true
}

// drop waits for the answer of a request whose connection has ended.
func (c *serverConn) drop(s *slot) {
	answer := <-s.answer
	if answer.Body != nil {
		_ = answer.Body.Close()
	}
	c.done()
}

// linger ends the sending side and bounds the time in which the reader waits
// for the caller to close.
func (c *serverConn) linger() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// interim sends an informational answer.
func (c *serverConn) interim(status int) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	text := "HTTP/1.1 " + httpStatus(status) + "\r\n\r\n"
	_, err := io.WriteString(c.nc, text)
	return errors.Trace(err)
}

// SendInterim sends an informational answer before the final one. Only a handler
// of a connection without pipelining may call it.
func (r *Request) SendInterim(status int) error { return r.conn.interim(status) }

// AwaitsContinue reports whether the caller waits for Interim before it sends the body.
func (r *Request) AwaitsContinue() bool { return r.body != nil }

// AwaitBody returns the body of a held request after Interim has released it.
func (r *Request) AwaitBody(ctx context.Context, wait time.Duration) ([]byte, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case body := <-r.body:
		return body, nil
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-timer.C:
		return nil, errors.New("the sender did not follow with the body")
	}
}
