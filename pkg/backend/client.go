// Package backend implements the HTTP client with which the executor calls the
// local backend server.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

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
	// maxIdleConns allows one idle connection per slot of a typical server.
	maxIdleConns = 64
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
	transport *http.Transport
}

// NewClient returns a client that opens at most maxConnections connections.
func NewClient(maxConnections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: min(maxConnections, maxIdleConns),
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Do sends a request at most once. The transport of net/http would retry a
// request that it takes for idempotent, but only if the body is absent or can be
// rewound with GetBody. newRequest therefore sets a body without GetBody.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	trace := &connectionTrace{}
	req, err := newRequest(trace.withTrace(ctx), r)
	if err != nil {
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if !trace.gotConn.Load() {
			return nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
		return nil, errors.Trace(err)
	}
	if !h1.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, errors.Errorf("invalid status %03d", resp.StatusCode)
	}
	removeHopByHopHeaders(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, ContentLength: resp.ContentLength}, nil
}

func newRequest(ctx context.Context, r *Request) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: r.Addr, Path: r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(r.Body))
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	removeHopByHopHeaders(req.Header)
	req.Header.Set(HeaderRequestID, r.RequestID)
	setIfNotEmpty(req.Header, HeaderCaller, r.Caller)
	setIfNotEmpty(req.Header, HeaderCallTree, r.TreeID)
	setIfNotEmpty(req.Header, HeaderIdempotencyKey, r.IdempotencyKey)
	req.Header.Set(HeaderCallDepth, strconv.Itoa(r.Depth+1))
	req.Header.Set(HeaderAttemptsLeft, strconv.Itoa(r.AttemptsLeft))
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
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
