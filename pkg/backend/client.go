// Package backend implements the HTTP client with which the executor calls the
// local backend server.
package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/h1"
)

// ErrNotSent means that the request was not assigned a connection, so that the
// backend server cannot have received it.
const ErrNotSent = errors.ConstError("request not sent to the backend server")

// Names of the request headers that the backend server receives. It forwards
// those of the call tree on its nested calls. HeaderDeadlineMS holds the
// remaining time in milliseconds.
const (
	HeaderRequestID      = "Mangostand-Request-Id"
	HeaderCaller         = "Mangostand-Caller"
	HeaderDeadlineMS     = "Mangostand-Deadline-Ms"
	HeaderCallTree       = "Mangostand-Tree"
	HeaderCallDepth      = "Mangostand-Depth"
	HeaderAttemptsLeft   = "Mangostand-Attempts"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	dialTimeout = time.Second
	// maxIdleTime is the longest idle time of a connection that is used again, and
	// sweepInterval the interval at which older ones are closed.
	maxIdleTime   = time.Minute
	sweepInterval = time.Second
	// maxResponseHeaderBytes bounds the header of a response, so that a server that
	// sends one without end cannot fill the memory of the node.
	maxResponseHeaderBytes = 256 << 10
)

// Request is a call to the backend server.
type Request struct {
	Addr           string
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	RequestID      string
	Caller         string
	TreeID         string
	Depth          int
	AttemptsLeft   int
	IdempotencyKey string
}

// Response is the status and headers of a response with its unread body.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
}

// Client sends calls to the backend server. It is safe for concurrent use.
type Client struct {
	pool *h1.Pool
	// connections holds a value for each connection that a call uses.
	connections chan struct{}
}

// NewClient returns a client that uses at most maxConnections connections at once.
func NewClient(maxConnections int) *Client {
	return &Client{
		pool:        &h1.Pool{DialTimeout: dialTimeout, IdleTimeout: maxIdleTime, MaxHeaderBytes: maxResponseHeaderBytes},
		connections: make(chan struct{}, maxConnections),
	}
}

// Run closes idle connections until ctx ends.
func (c *Client) Run(ctx context.Context) {
	control.Every(ctx, sweepInterval, c.pool.SweepIdleConns)
}

// Name returns the controller name.
func (c *Client) Name() string { return "backend_connections" }

// Do sends a request at most once. A response belongs to the request if it names its
// ID. One without an ID is accepted only on a connection that has carried no other
// request, since a second copy of an earlier response could arrive on any other.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	select {
	case c.connections <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Annotatef(ErrNotSent, "%v", ctx.Err())
	}
	resp, err := c.pool.Do(ctx, r.Addr, newRequest(ctx, r))
	if err != nil {
		<-c.connections
		var h1Err *h1.Error
		if errors.As(err, &h1Err) && !h1Err.RequestSent {
			return nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
		return nil, errors.Trace(err)
	}
	removeHopByHopHeaders(resp.Header)
	body := &body{ReadCloser: resp.Body, release: sync.OnceFunc(func() { <-c.connections })}
	return &Response{Status: resp.Status, Header: resp.Header, Body: body, ContentLength: resp.ContentLength}, nil
}

// body is a response body that releases its connection when it is closed.
type body struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return errors.Trace(err)
}

func newRequest(ctx context.Context, r *Request) *h1.ClientRequest {
	target := url.URL{Path: r.Path, RawQuery: r.Query}
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	h1.RemoveHopByHopHeaders(header)
	// Host is written apart from the other fields.
	header.Del("Host")
	header.Set(HeaderRequestID, r.RequestID)
	setIfNotEmpty(header, HeaderCaller, r.Caller)
	setIfNotEmpty(header, HeaderCallTree, r.TreeID)
	setIfNotEmpty(header, HeaderIdempotencyKey, r.IdempotencyKey)
	header.Set(HeaderCallDepth, strconv.Itoa(r.Depth+1))
	header.Set(HeaderAttemptsLeft, strconv.Itoa(r.AttemptsLeft))
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return &h1.ClientRequest{
		Method: r.Method, Target: target.RequestURI(), Host: r.Addr, Header: header, Body: r.Body, MaxIdleTime: maxIdleTime,
		AcceptResponse: func(h http.Header) bool { return r.RequestID != "" && h.Get(HeaderRequestID) == r.RequestID },
		IdentifiesNone: func(h http.Header) bool { return h.Get(HeaderRequestID) == "" },
	}
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// 7.6.1).
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHopHeaders removes hopByHopHeaders and the headers that are listed in
// the Connection header.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
